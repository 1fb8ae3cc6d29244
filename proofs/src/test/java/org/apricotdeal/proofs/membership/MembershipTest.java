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

/** Tests {@link Membership} with many nodes on virtual time. */
public final class MembershipTest {
    private static final long RUN_MILLIS = 10_000;
    private static final long DETECTION_MILLIS = 6_000;
    private static final long MAX_CONTROL_BYTES_PER_SECOND = 5_000;

    /** Policy by which a VM becomes suspect after a silence of one probe period. */
    private static final PolicyEntry PROBE_PERIOD_POLICY =
            new PolicyEntry("test", CallerWeighting.WEIGHTED, 0.1, Membership.MIN_PROBE_PERIOD_MILLIS, 1_500, 2.0);

    @Test
    public void everyNodeReportsEveryVmAliveWithThreeProbers() {
        MembershipSimulation simulation = new MembershipSimulation(12, 48);
        simulation.run(RUN_MILLIS);
        for (VmId vm : simulation.vms()) {
            assertTrue(simulation.allNodesReport(vm, Health.ALIVE), vm + " is not reported alive by every node");
            long probers = simulation.nodes().stream()
                    .filter(n -> simulation.membership(n).probedVms().contains(vm))
                    .count();
            assertEquals(probers, 3, "probers of " + vm);
        }
    }

    @Test
    public void everyNodeDetectsFailureAndRecoveryInTime() {
        MembershipSimulation simulation = new MembershipSimulation(12, 48);
        simulation.run(RUN_MILLIS);
        VmId vm = simulation.vms().get(5);
        simulation.network().stopped(vm.value(), true);
        simulation.run(DETECTION_MILLIS);
        assertTrue(simulation.allNodesReport(vm, Health.FAILED));
        simulation.network().stopped(vm.value(), false);
        simulation.restart(vm);
        simulation.run(DETECTION_MILLIS);
        assertTrue(simulation.allNodesReport(vm, Health.ALIVE));
        for (NodeId node : simulation.nodes()) {
            assertEquals(simulation.report(node, vm).state().bootId(), "boot-2");
        }
    }

    @Test
    public void vmStaysAliveWhenOneProberIsCutOffFromIt() {
        MembershipSimulation simulation = new MembershipSimulation(12, 48);
        simulation.run(RUN_MILLIS);
        VmId vm = simulation.vms().get(5);
        NodeId prober = prober(simulation, vm);
        simulation.clearReportedHealth();
        simulation.network().cut(prober.value(), vm.value(), true);
        simulation.run(RUN_MILLIS);
        for (NodeId node : simulation.nodes()) {
            assertEquals(simulation.reportedHealth(node), Set.of(Health.ALIVE), "health reported by " + node);
        }
    }

    @Test
    public void otherNodesTakeOverProbesOfFailedNodes() {
        MembershipSimulation simulation = new MembershipSimulation(12, 48);
        simulation.run(RUN_MILLIS);
        VmId vm = simulation.vms().get(5);
        for (int i = 0; i < 3; i++) {
            simulation.network().stopped(prober(simulation, vm).value(), true);
        }
        simulation.run(DETECTION_MILLIS);
        simulation.restart(vm);
        simulation.run(DETECTION_MILLIS);
        assertTrue(simulation.allNodesReport(vm, Health.ALIVE));
        for (NodeId node : simulation.nodes()) {
            EngineState state = simulation.report(node, vm).state();
            assertTrue(
                    simulation.network().isStopped(node.value())
                            || state.bootId().equals("boot-2"),
                    node + ": " + state);
        }
    }

    @Test
    public void restartedNodeReceivesAllStatesAgain() {
        MembershipSimulation simulation = new MembershipSimulation(12, 48);
        simulation.run(RUN_MILLIS);
        NodeId node = simulation.nodes().getFirst();
        simulation.nodes().forEach(peer -> simulation.network().cut(node.value(), peer.value(), true));
        simulation.restart(node);
        simulation.vms().subList(0, 3).forEach(simulation::restart);
        simulation.run(2_000);
        simulation.network().healAll();
        simulation.run(RUN_MILLIS);
        for (VmId vm : simulation.vms()) {
            VmReport report = simulation.report(node, vm);
            assertTrue(report != null && report.health() == Health.ALIVE, vm + " is " + report);
        }
    }

    /**
     * Guards against VMs that became suspect between two probes although they answered each of them. The replicas of such
     * VMs received no orders.
     */
    @Test
    public void vmThatAnswersEachProbeIsNeverSuspect() {
        MembershipSimulation simulation = new MembershipSimulation(1, 3);
        NodeId node = simulation.nodes().getFirst();
        simulation
                .membership(node)
                .step(simulation.nowMillis(), new MembershipEvent.PolicyChanged(PROBE_PERIOD_POLICY));
        simulation.run(RUN_MILLIS);
        simulation.clearReportedHealth();
        simulation.run(RUN_MILLIS);
        assertEquals(simulation.reportedHealth(node), Set.of(Health.ALIVE));
    }

    @Test
    public void resumedNodeReportsNoVmAsFailed() {
        assertEquals(reportedHealthAfterPause(), Set.of(Health.ALIVE));
    }

    @Test
    public void ignoreOwnGapFaultMakesResumedNodeReportFailures() {
        assertTrue(reportedHealthAfterPause(MembershipFault.IGNORE_OWN_GAP).contains(Health.FAILED));
    }

    @Test
    public void reportsStayYoungerThanDetectionTime() {
        MembershipSimulation simulation = new MembershipSimulation(12, 48);
        simulation.run(RUN_MILLIS);
        long oldest = 0;
        for (int i = 0; i < 50; i++) {
            simulation.run(100);
            for (NodeId node : simulation.nodes()) {
                for (VmId vm : simulation.vms()) {
                    VmReport report = simulation.report(node, vm);
                    oldest = Math.max(oldest, report.ageMillis(simulation.nowMillis()));
                }
            }
        }
        System.out.println("membership: oldest report " + oldest + " ms");
        assertTrue(oldest < 3_000, "oldest report " + oldest + " ms");
    }

    @Test
    public void controlTrafficOfThirtyNodesStaysWithinLimit() {
        MembershipSimulation simulation = new MembershipSimulation(30, 110);
        simulation.run(RUN_MILLIS);
        long probesBefore = simulation.probes();
        long bytesBefore = simulation.heartbeatBytes();
        long heartbeatsBefore = simulation.heartbeats();
        int seconds = 60;
        for (int i = 0; i < seconds; i++) {
            if (i % 20 == 0) {
                simulation.restart(simulation.vms().get(i));
            }
            simulation.run(1_000);
        }
        long bytes = (simulation.heartbeatBytes() - bytesBefore) / seconds / 30;
        double probes = (double) (simulation.probes() - probesBefore) / seconds / 30;
        long heartbeats = (simulation.heartbeats() - heartbeatsBefore) / seconds / 30;
        System.out.println("membership: 30 nodes, 110 VMs: " + bytes
                + " bytes of heartbeats per second and node (estimated for" + " Thrift's compact protocol), in "
                + heartbeats + " heartbeats; " + probes + " probes per second");
        assertTrue(bytes < MAX_CONTROL_BYTES_PER_SECOND, bytes + " bytes per second");
    }

    private static Set<Health> reportedHealthAfterPause(MembershipFault... faults) {
        MembershipSimulation simulation = new MembershipSimulation(1, 12, faults);
        simulation.run(RUN_MILLIS);
        NodeId node = simulation.nodes().getFirst();
        simulation.network().paused(node.value(), true);
        simulation.run(RUN_MILLIS);
        simulation.clearReportedHealth();
        simulation.network().paused(node.value(), false);
        simulation.run(2_000);
        assertFalse(simulation.reportedHealth(node).isEmpty());
        return simulation.reportedHealth(node);
    }

    private static NodeId prober(MembershipSimulation simulation, VmId vm) {
        for (NodeId node : simulation.nodes()) {
            if (!simulation.network().isStopped(node.value())
                    && simulation.membership(node).probedVms().contains(vm)) {
                return node;
            }
        }
        throw new IllegalStateException("no node probes " + vm);
    }
}
