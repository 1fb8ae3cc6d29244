package org.apricotdeal.proofs.membership;

import java.util.Set;

import org.apricotdeal.catalogue.model.CallerWeighting;
import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.Membership;
import org.apricotdeal.policy.membership.MembershipEvent;
import org.apricotdeal.policy.membership.MembershipFault;
import org.apricotdeal.policy.membership.VmReport;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests membership with many nodes on virtual time. */
public final class MembershipTest {
    private static final long SETTLE_MILLIS = 10_000;
    private static final long DETECT_MILLIS = 6_000;
    private static final long CONTROL_BYTES_PER_SECOND = 5_000;

    /** A VM counts as suspect after a silence as long as the time between two probes. */
    private static final PolicyEntry PROBE_PERIOD_POLICY =
            new PolicyEntry("test", CallerWeighting.WEIGHTED, 0.1, Membership.PROBE_MILLIS, 1_500, 2.0);

    @Test
    public void everyNodeSeesEveryVmAliveThroughFewProbers() {
        MembershipFleet fleet = new MembershipFleet(12, 48);
        fleet.run(SETTLE_MILLIS);
        for (VmId vm : fleet.vms()) {
            assertTrue(fleet.allSee(vm, Health.ALIVE), vm + " is not seen alive");
            long probers = fleet.nodes().stream()
                    .filter(n -> fleet.node(n).probed().contains(vm))
                    .count();
            assertEquals(probers, 3, "probers of " + vm);
        }
    }

    @Test
    public void everyNodeLearnsOfLossAndReturnInTime() {
        MembershipFleet fleet = new MembershipFleet(12, 48);
        fleet.run(SETTLE_MILLIS);
        VmId vm = fleet.vms().get(5);
        fleet.network().stopped(vm.value(), true);
        fleet.run(DETECT_MILLIS);
        assertTrue(fleet.allSee(vm, Health.FAILED));
        fleet.network().stopped(vm.value(), false);
        fleet.restart(vm);
        fleet.run(DETECT_MILLIS);
        assertTrue(fleet.allSee(vm, Health.ALIVE));
        for (NodeId node : fleet.nodes()) {
            assertEquals(fleet.report(node, vm).state().bootId(), "boot-2");
        }
    }

    @Test
    public void vmStaysAliveWhenOneProberIsCutOffFromIt() {
        MembershipFleet fleet = new MembershipFleet(12, 48);
        fleet.run(SETTLE_MILLIS);
        VmId vm = fleet.vms().get(5);
        NodeId prober = prober(fleet, vm);
        fleet.clearVerdicts();
        fleet.network().cut(prober.value(), vm.value(), true);
        fleet.run(SETTLE_MILLIS);
        for (NodeId node : fleet.nodes()) {
            assertEquals(fleet.verdicts(node), Set.of(Health.ALIVE), "verdicts of " + node);
        }
    }

    @Test
    public void othersProbeInPlaceOfLostNodes() {
        MembershipFleet fleet = new MembershipFleet(12, 48);
        fleet.run(SETTLE_MILLIS);
        VmId vm = fleet.vms().get(5);
        for (int i = 0; i < 3; i++) {
            fleet.network().stopped(prober(fleet, vm).value(), true);
        }
        fleet.run(DETECT_MILLIS);
        fleet.restart(vm);
        fleet.run(DETECT_MILLIS);
        assertTrue(fleet.allSee(vm, Health.ALIVE));
        for (NodeId node : fleet.nodes()) {
            EngineState state = fleet.report(node, vm).state();
            assertTrue(fleet.network().isStopped(node.value()) || state.bootId().equals("boot-2"), node + ": " + state);
        }
    }

    @Test
    public void restartedNodeLearnsAllAgain() {
        MembershipFleet fleet = new MembershipFleet(12, 48);
        fleet.run(SETTLE_MILLIS);
        NodeId node = fleet.nodes().getFirst();
        fleet.nodes().forEach(peer -> fleet.network().cut(node.value(), peer.value(), true));
        fleet.restart(node);
        fleet.vms().subList(0, 3).forEach(fleet::restart);
        fleet.run(2_000);
        fleet.network().healAll();
        fleet.run(SETTLE_MILLIS);
        for (VmId vm : fleet.vms()) {
            VmReport report = fleet.report(node, vm);
            assertTrue(report != null && report.health() == Health.ALIVE, vm + " is " + report);
        }
    }

    /** Guards against VMs suspected between two probes, whose replicas got no orders. */
    @Test
    public void vmThatAnswersEachProbeIsNeverSuspect() {
        MembershipFleet fleet = new MembershipFleet(1, 3);
        NodeId node = fleet.nodes().getFirst();
        fleet.node(node).step(fleet.nowMillis(), new MembershipEvent.PolicyChanged(PROBE_PERIOD_POLICY));
        fleet.run(SETTLE_MILLIS);
        fleet.clearVerdicts();
        fleet.run(SETTLE_MILLIS);
        assertEquals(fleet.verdicts(node), Set.of(Health.ALIVE));
    }

    @Test
    public void pausedNodeHoldsNobodyForFailedWhenItWakes() {
        assertEquals(verdictsAfterPause(), Set.of(Health.ALIVE));
    }

    @Test
    public void withoutOwnGapPausedNodeWouldHoldOthersForFailed() {
        assertTrue(verdictsAfterPause(MembershipFault.IGNORE_OWN_GAP).contains(Health.FAILED));
    }

    @Test
    public void reportsAreNoOlderThanTheDetectionWindowWhileAllIsWell() {
        MembershipFleet fleet = new MembershipFleet(12, 48);
        fleet.run(SETTLE_MILLIS);
        long oldest = 0;
        for (int i = 0; i < 50; i++) {
            fleet.run(100);
            for (NodeId node : fleet.nodes()) {
                for (VmId vm : fleet.vms()) {
                    VmReport report = fleet.report(node, vm);
                    oldest = Math.max(oldest, report.ageMillis(fleet.nowMillis()));
                }
            }
        }
        System.out.println("membership: oldest report " + oldest + " ms");
        assertTrue(oldest < 3_000, "oldest report " + oldest + " ms");
    }

    @Test
    public void fitsControlTrafficOfThirtyNodesAndManyVms() {
        MembershipFleet fleet = new MembershipFleet(30, 110);
        fleet.run(SETTLE_MILLIS);
        long probesBefore = fleet.probes();
        long bytesBefore = fleet.heartbeatBytes();
        long heartbeatsBefore = fleet.heartbeats();
        int seconds = 60;
        for (int i = 0; i < seconds; i++) {
            if (i % 20 == 0) {
                fleet.restart(fleet.vms().get(i));
            }
            fleet.run(1_000);
        }
        long bytes = (fleet.heartbeatBytes() - bytesBefore) / seconds / 30;
        double probes = (double) (fleet.probes() - probesBefore) / seconds / 30;
        long heartbeats = (fleet.heartbeats() - heartbeatsBefore) / seconds / 30;
        System.out.println("membership: 30 nodes, 110 VMs: " + bytes
                + " bytes of heartbeats a second and node (counted by" + " the compact encoding's rules), in "
                + heartbeats + " heartbeats; " + probes + " probes a second");
        assertTrue(bytes < CONTROL_BYTES_PER_SECOND, bytes + " bytes a second");
    }

    private static Set<Health> verdictsAfterPause(MembershipFault... faults) {
        MembershipFleet fleet = new MembershipFleet(1, 12, faults);
        fleet.run(SETTLE_MILLIS);
        NodeId node = fleet.nodes().getFirst();
        fleet.network().paused(node.value(), true);
        fleet.run(SETTLE_MILLIS);
        fleet.clearVerdicts();
        fleet.network().paused(node.value(), false);
        fleet.run(2_000);
        assertFalse(fleet.verdicts(node).isEmpty());
        return fleet.verdicts(node);
    }

    private static NodeId prober(MembershipFleet fleet, VmId vm) {
        for (NodeId node : fleet.nodes()) {
            if (!fleet.network().isStopped(node.value())
                    && fleet.node(node).probed().contains(vm)) {
                return node;
            }
        }
        throw new IllegalStateException("nobody probes " + vm);
    }
}
