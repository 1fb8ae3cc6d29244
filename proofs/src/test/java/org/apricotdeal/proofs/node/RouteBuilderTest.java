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

/**
 * Tests that {@link RouteBuilder} excludes a target after a failed attempt until all VMs of the target have been observed
 * again.
 */
public final class RouteBuilderTest {
    private static final NodeId NODE = new NodeId("node1");
    private static final FailureDomainId FAILURE_DOMAIN = new FailureDomainId("fd1");
    private static final UpstreamId MODEL = new UpstreamId("quote");
    private static final ReplicaId REPLICA = new ReplicaId("quote-1");
    private static final TargetId TARGET = TargetId.of(REPLICA, 1);
    private static final List<VmId> MEMBERS = List.of(new VmId("vm1"), new VmId("vm2"));
    private static final long NOW_MILLIS = 10_000;

    @Test
    public void servableReplicaIsTarget() {
        assertEquals(targetCount(9_900, 9_900, Map.of()), 1);
    }

    @Test
    public void failedTargetIsExcludedUntilAllItsVmsAreObserved() {
        assertEquals(targetCount(9_900, 9_900, Map.of(TARGET, 9_950L)), 0);
        assertEquals(targetCount(9_960, 9_900, Map.of(TARGET, 9_950L)), 0);
        assertEquals(targetCount(9_960, 9_970, Map.of(TARGET, 9_950L)), 1);
    }

    @Test
    public void failureOfOtherGenerationIsIgnored() {
        assertEquals(targetCount(9_900, 9_900, Map.of(TargetId.of(REPLICA, 2), 9_950L)), 1);
    }

    private static int targetCount(
            long firstObservedMillis, long secondObservedMillis, Map<TargetId, Long> failedAtMillis) {
        ModelEntry model = new ModelEntry(MODEL, "test", 2, 1, 16, 60_000, OrderCheck.HONOURS_FENCING, 500, "", 1.0);
        Catalogue catalogue = Catalogue.of(1, "first", List.of(model));
        List<PlannedMember> members =
                MEMBERS.stream().map(vm -> new PlannedMember(vm, "boot")).toList();
        PlannedReplica replica = new PlannedReplica(REPLICA, 1, MODEL, members, false);
        Plan empty = Plan.empty(FAILURE_DOMAIN, NODE);
        Plan plan =
                new Plan(1, FAILURE_DOMAIN, NODE, 2, List.of(replica), empty.spares(), empty.resting(), empty.nodes());
        Map<VmId, Vm> listedVms = new TreeMap<>();
        Map<VmId, VmReport> reports = new TreeMap<>();
        List<Long> observedMillis = List.of(firstObservedMillis, secondObservedMillis);
        for (int i = 0; i < MEMBERS.size(); i++) {
            VmId vm = MEMBERS.get(i);
            listedVms.put(
                    vm,
                    new Vm(vm, FAILURE_DOMAIN, new FabricDomainId("fabric1"), MODEL, "127.0.0.1:1", 8, VmState.LIVE));
            EngineState state =
                    new EngineState(vm, "boot", EnginePhase.JOINED, REPLICA, 1, MEMBERS, 1, MODEL, EngineLoad.NONE);
            reports.put(vm, new VmReport(vm, Health.ALIVE, state, observedMillis.get(i), false));
        }
        RouteBuilder.Inputs inputs = new RouteBuilder.Inputs(catalogue, List.of(NODE), failedAtMillis);
        return new RouteBuilder(NODE)
                .build(NOW_MILLIS, plan, listedVms, reports, inputs)
                .routes()
                .size();
    }
}
