package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.model.UpstreamVm;

/** Derives what requests can be sent to: replicas that serve with every member well, and plain services' VMs. */
public final class TargetBuilder {
    private TargetBuilder() {}

    /**
     * Derives the targets.
     *
     * @param table the VMs
     * @param catalogue the catalogue in force
     * @param nowMillis time
     * @return the targets
     */
    public static List<Target> build(VmTable table, RelayCatalogue catalogue, long nowMillis) {
        List<Target> targets = new ArrayList<>();
        for (UpstreamEntry upstream : catalogue.upstreams().values()) {
            List<UpstreamVm> vms = table.all().stream()
                    .filter(vm -> vm.upstream().equals(upstream.id()))
                    .toList();
            if (upstream.engine().isPresent()) {
                addReplicas(table, upstream, upstream.engine().get(), vms, nowMillis, targets);
            } else {
                addServices(table, upstream, vms, nowMillis, targets);
            }
        }
        return targets;
    }

    private static void addReplicas(
            VmTable table,
            UpstreamEntry upstream,
            EngineProfile engine,
            List<UpstreamVm> vms,
            long nowMillis,
            List<Target> targets) {
        for (ReplicaGroups.ReplicaGroup formation : ReplicaGroups.of(vms, engine)) {
            if (!formation.open() || !formation.ready() || !allAvailable(table, formation, nowMillis)) {
                continue;
            }
            UpstreamVm head = formation.head().orElseThrow();
            targets.add(new Target(
                    new TargetId(head.id(), formation.id().number()),
                    new QueueId(upstream.id(), Optional.of(formation.model())),
                    head.address(),
                    head.failureDomain(),
                    engine.slotsPerReplica(),
                    formation.members().stream().map(UpstreamVm::id).toList()));
        }
    }

    private static boolean allAvailable(VmTable table, ReplicaGroups.ReplicaGroup formation, long nowMillis) {
        for (UpstreamVm member : formation.members()) {
            if (!isAvailable(table, member, nowMillis)) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAvailable(VmTable table, UpstreamVm vm, long nowMillis) {
        return !vm.leaving() && !table.isUnresponsive(vm.id()) && !table.isSuspected(vm.id(), nowMillis);
    }

    private static void addServices(
            VmTable table, UpstreamEntry upstream, List<UpstreamVm> vms, long nowMillis, List<Target> targets) {
        for (UpstreamVm vm : vms) {
            if (!isAvailable(table, vm, nowMillis)) {
                continue;
            }
            List<VmId> members = List.of(vm.id());
            targets.add(new Target(
                    new TargetId(vm.id(), vm.startedWallMillis()),
                    new QueueId(upstream.id(), Optional.empty()),
                    vm.address(),
                    vm.failureDomain(),
                    vm.slots(),
                    members));
        }
    }
}
