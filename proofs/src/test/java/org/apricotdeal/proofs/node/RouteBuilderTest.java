package org.apricotdeal.proofs.node;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.node.fleet.RouteBuilder;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.VmReport;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.planning.PlannedMember;
import org.apricotdeal.policy.planning.PlannedReplica;
import org.apricotdeal.policy.routing.TargetId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Tests {@link RouteBuilder}: a target whose attempt failed takes no requests until all its VMs were seen since. */
public final class RouteBuilderTest {
    private static final NodeId NODE = new NodeId("node1");
    private static final FailureDomainId DOMAIN = new FailureDomainId("fd1");
    private static final UpstreamId MODEL = new UpstreamId("quote");
    private static final ReplicaId REPLICA = new ReplicaId("quote-1");
    private static final TargetId TARGET = TargetId.of(REPLICA, 1);
    private static final List<VmId> MEMBERS = List.of(new VmId("vm1"), new VmId("vm2"));
    private static final long NOW_MILLIS = 10_000;

    @Test
    public void wholeReplicaIsTarget() {
        assertEquals(targets(9_900, 9_900, Map.of()), 1);
    }

    @Test
    public void failedTargetWaitsForAllItsVms() {
        assertEquals(targets(9_900, 9_900, Map.of(TARGET, 9_950L)), 0);
        assertEquals(targets(9_960, 9_900, Map.of(TARGET, 9_950L)), 0);
        assertEquals(targets(9_960, 9_970, Map.of(TARGET, 9_950L)), 1);
    }

    @Test
    public void failureOfAnotherGenerationDoesNotCount() {
        assertEquals(targets(9_900, 9_900, Map.of(TargetId.of(REPLICA, 2), 9_950L)), 1);
    }

    private static int targets(long firstSeenMillis, long secondSeenMillis, Map<TargetId, Long> failedAtMillis) {
        ModelEntry model = new ModelEntry(MODEL, "test", 2, 1, 16, 60_000, OrderCheck.HONOURS_FENCING, 500, "", 1.0);
        Catalogue catalogue = Catalogue.of(1, "first", List.of(model));
        List<PlannedMember> members =
                MEMBERS.stream().map(vm -> new PlannedMember(vm, "boot")).toList();
        PlannedReplica replica = new PlannedReplica(REPLICA, 1, MODEL, members, false);
        Plan empty = Plan.empty(DOMAIN, NODE);
        Plan plan = new Plan(1, DOMAIN, NODE, 2, List.of(replica), empty.spares(), empty.resting(), empty.nodes());
        Map<VmId, Vm> listed = new TreeMap<>();
        Map<VmId, VmReport> reports = new TreeMap<>();
        List<Long> seenMillis = List.of(firstSeenMillis, secondSeenMillis);
        for (int i = 0; i < MEMBERS.size(); i++) {
            VmId vm = MEMBERS.get(i);
            listed.put(vm, new Vm(vm, DOMAIN, new FabricDomainId("fabric1"), MODEL, "127.0.0.1:1", 8, VmState.LIVE));
            EngineState state =
                    new EngineState(vm, "boot", EnginePhase.JOINED, REPLICA, 1, MEMBERS, 1, MODEL, EngineLoad.NONE);
            reports.put(vm, new VmReport(vm, Health.ALIVE, state, seenMillis.get(i), false));
        }
        RouteBuilder.Inputs inputs = new RouteBuilder.Inputs(catalogue, List.of(NODE), failedAtMillis);
        return new RouteBuilder(NODE)
                .build(NOW_MILLIS, plan, listed, reports, inputs)
                .routes()
                .size();
    }
}
