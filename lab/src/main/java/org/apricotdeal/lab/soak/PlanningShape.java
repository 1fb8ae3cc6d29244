package org.apricotdeal.lab.soak;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;

/**
 * The fleet that a run starts with, drawn from its seed: 2 to 4 nodes, 12 to 24 VMs in 2 or 3 fabric domains, one or two
 * models whose engines honour or ignore fencing numbers.
 *
 * @param nodes the nodes
 * @param vms the VMs
 * @param models the models
 */
record PlanningShape(List<NodeId> nodes, List<Vm> vms, List<ModelEntry> models) {
    static final FailureDomainId FAILURE_DOMAIN = new FailureDomainId("east-1");
    static final int ACCELERATORS_PER_VM = 8;

    private static final long ORDER_MAX_DELAY_MILLIS = 1_500;
    private static final long LOAD_TIMEOUT_MILLIS = 30_000;

    static PlanningShape draw(UniformRandomProvider random) {
        List<NodeId> nodes = new ArrayList<>();
        int nodeCount = 2 + random.nextInt(3);
        for (int i = 1; i <= nodeCount; i++) {
            nodes.add(new NodeId("node-" + i));
        }
        int modelCount = 1 + random.nextInt(2);
        int fabricCount = 2 + random.nextInt(2);
        int vmsPerReplica = modelCount == 1 ? 3 + random.nextInt(2) : 3;
        int vmsPerFabric = modelCount == 1 ? 6 + random.nextInt(3) : 3 + random.nextInt(2);
        List<ModelEntry> models = new ArrayList<>();
        List<Vm> vms = new ArrayList<>();
        for (int m = 0; m < modelCount; m++) {
            UpstreamId id = new UpstreamId("model-" + (char) ('a' + m));
            int total = fabricCount * vmsPerFabric;
            int wanted = Math.max(1, total / vmsPerReplica - random.nextInt(2));
            OrderCheck check = random.nextBoolean() ? OrderCheck.HONOURS_FENCING : OrderCheck.IGNORES_FENCING;
            models.add(new ModelEntry(
                    id,
                    "owner",
                    vmsPerReplica,
                    wanted,
                    8,
                    LOAD_TIMEOUT_MILLIS,
                    check,
                    ORDER_MAX_DELAY_MILLIS,
                    "",
                    m + 1.0));
            for (int f = 1; f <= fabricCount; f++) {
                for (int i = 1; i <= vmsPerFabric; i++) {
                    vms.add(vm(new VmId("vm-" + (char) ('a' + m) + "-" + f + "-" + i), "fabric-" + f, id));
                }
            }
        }
        return new PlanningShape(nodes, vms, models);
    }

    static Vm vm(VmId id, String fabric, UpstreamId model) {
        return new Vm(
                id, FAILURE_DOMAIN, new FabricDomainId(fabric), model, id + ":9000", ACCELERATORS_PER_VM, VmState.LIVE);
    }

    ModelEntry model(UpstreamId id) {
        for (ModelEntry model : models) {
            if (model.id().equals(id)) {
                return model;
            }
        }
        throw new IllegalArgumentException("no model " + id);
    }
}
