package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.ModelDemand;
import org.apricotdeal.relay.policy.PlannedOrder;
import org.apricotdeal.relay.policy.VmTable;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Under load, VMs of replicas are lost permanently in pairs, and empty VMs are added later. Since both models have
 * equal shares, the replicas of both must decrease together.
 */
public final class ModelBalanceTest {
    private static final ModelId LARGE = new ModelId("m0");
    private static final ModelId SMALL = new ModelId("m1");
    private static final int SEEDS = 20;
    private static final long START_MILLIS = 19_000;
    private static final long LOSS_INTERVAL_MILLIS = 5_000;
    private static final long LOSSES_END_MILLIS = 25_000;
    private static final long FIRST_ARRIVALS_MILLIS = 10_000;
    private static final long ARRIVALS_END_MILLIS = 30_000;
    private static final long END_MILLIS = 45_000;
    private static final long STEP_MILLIS = 500;

    private static final double SAMPLES = (END_MILLIS - LOSS_INTERVAL_MILLIS) / (double) STEP_MILLIS;

    /** Minimum ratio for equal shares, less the remainder that replicas of four or eight VMs cannot use. */
    private static final double MIN_VM_RATIO = 0.75;

    /** Share of the weight store that a failure domain of this size may use. */
    private static final double LOAD_SHARE = 0.5;

    /**
     * Guards against a fault in which the large model, with replicas of four or eight VMs, kept a third as many VMs
     * as the small one. Replicas of two could be formed again from any two survivors.
     *
     * @param shape size of the fleet and of the large model's replicas
     * @param seed seed for the losses
     */
    @Test(dataProvider = "fleets")
    public void largeModelKeepsItsShareOfServingVms(SimFleet.Shape shape, long seed) {
        SimFleet fleet = startedFleet(seed, shape);
        long startMillis = fleet.nowMillis;
        double large = 0;
        double small = 0;
        StringBuilder history = new StringBuilder();
        for (long atMillis = 0; atMillis < END_MILLIS; atMillis += STEP_MILLIS) {
            if (atMillis % LOSS_INTERVAL_MILLIS == 0) {
                applyLossesAndArrivals(fleet, shape, atMillis);
            }
            fleet.run(STEP_MILLIS);
            if (atMillis >= LOSS_INTERVAL_MILLIS) {
                large += fleet.servingReplicas("m0") * shape.largeReplica();
                small += fleet.servingReplicas("m1") * 2;
            }
            if (atMillis % 2_500 == 0) {
                history.append("\n  ")
                        .append(fleet.nowMillis - startMillis)
                        .append(" ms: ")
                        .append(fleet.servingReplicas("m0"));
                history.append(" large, ").append(fleet.servingReplicas("m1")).append(" small");
            }
        }
        String summary = String.format(
                "on average %.1f VMs serve the large model and %.1f the small one; %d loads%s",
                large / SAMPLES, small / SAMPLES, fleet.stageOrders(), history);
        assertTrue(large >= MIN_VM_RATIO * small, summary);
    }

    /** A fleet without losses closes no replica, even if there is little demand for a model. */
    @Test
    public void fleetWithoutLossesClosesNoReplica() {
        SimFleet fleet = startedFleet(1, SimFleet.Shape.SMALL);
        fleet.run(END_MILLIS);
        assertEquals(fleet.closeOrders(), 0);
        assertEquals(fleet.servingReplicas("m0"), 3);
        assertEquals(fleet.servingReplicas("m1"), 6);
    }

    /** VMs move to the model that is in demand, and then stay there. */
    @Test
    public void replicasFollowDemand() {
        SimFleet fleet = startedFleet(2, SimFleet.Shape.SMALL);
        fleet.demand = new ModelDemand(Map.of(LARGE, 0.8, SMALL, 0.2), Set.of(LARGE));
        fleet.run(2 * END_MILLIS);
        assertTrue(fleet.servingReplicas("m0") > 3, fleet.describe());
        assertTrue(fleet.servingReplicas("m1") >= 1, fleet.describe());
        long closes = fleet.closeOrders();
        fleet.run(END_MILLIS);
        assertEquals(fleet.closeOrders(), closes, "replicas were closed although the demand did not change");
    }

    /** No replica is closed for a model that refuses no requests. */
    @Test
    public void modelWithoutRefusalsPreemptsNoReplica() {
        SimFleet fleet = startedFleet(2, SimFleet.Shape.SMALL);
        fleet.demand = new ModelDemand(Map.of(LARGE, 0.8, SMALL, 0.2), Set.of());
        fleet.run(END_MILLIS);
        assertEquals(fleet.closeOrders(), 0);
    }

    /**
     * Guards against a fault in which a planner that took over ordered loads at VMs that were loading for its predecessor, again
     * and again, and none at the others.
     *
     * @param shape size of the fleet and of the large model's replicas
     * @param seed seed of the run
     */
    @Test(dataProvider = "fleets")
    public void successorRepeatedLoadsAndOrderedNoOthers(SimFleet.Shape shape, long seed) {
        SimFleet fleet = startedFleet(seed, shape);
        fleet.loadShare = 2;
        fleet.demand = new ModelDemand(Map.of(LARGE, 0.9, SMALL, 0.1), Set.of());
        SimVm loading = fleet.add(0);
        fleet.run(12 * STEP_MILLIS);
        assertTrue(loading.report().busy(), "the first load has not begun");
        fleet.demand = new ModelDemand(Map.of(LARGE, 0.1, SMALL, 0.9), Set.of());
        fleet.handOverPlanning();
        SimVm blank = fleet.add(1);
        fleet.run(8 * STEP_MILLIS);
        assertEquals(fleet.refusedStageOrders(), 0, "loads were ordered at VMs that were loading");
        assertTrue(blank.report().busy(), "a blank VM waits for its load");
    }

    /** Guards against survivors of a replica waiting for a load that they do not execute, for they reported that they joined. */
    @Test
    public void survivorOfReplicaWasTakenForLoading() {
        SimFleet fleet = new SimFleet(1, SimFleet.Shape.SMALL, 1);
        SimVm vm = fleet.liveVms().getFirst();
        VmTable table = new VmTable();
        table.applyEntry(vm.entry(), 0);
        ReplicaId replica = new ReplicaId("m1.p-1");
        vm.handleOrder(0, 0, new ReplicaOrder.Join(replica, 1, SMALL, List.of(vm.id)));
        vm.tick(1);
        assertTrue(vm.report().busy());
        table.applyReport(vm.id, vm.report(), 1);
        UpstreamVm member = table.find(vm.id).orElseThrow();
        assertTrue(member.group().isPresent());
        PlannedOrder leave =
                new PlannedOrder(member, member.orderCount(), new ReplicaOrder.Leave(replica, 1), "a member is gone");
        table.applyReply(leave, OrderReply.HOLDS, 2);
        assertFalse(table.find(vm.id).orElseThrow().busy());
    }

    private static SimFleet startedFleet(long seed, SimFleet.Shape shape) {
        SimFleet fleet = new SimFleet(seed, shape);
        fleet.loadShare = LOAD_SHARE;
        fleet.beginStartup();
        fleet.run(START_MILLIS);
        fleet.endStartup();
        return fleet;
    }

    private static void applyLossesAndArrivals(SimFleet fleet, SimFleet.Shape shape, long atMillis) {
        int count = shape.vmsPerFabric() / 5;
        if (atMillis < LOSSES_END_MILLIS) {
            List<SimVm> members = new ArrayList<>(
                    fleet.liveVms().stream().filter(vm -> vm.group.isPresent()).toList());
            for (int i = 0; i < count && !members.isEmpty(); i++) {
                fleet.kill(members.remove(fleet.random.nextInt(members.size())));
            }
        }
        if (atMillis >= FIRST_ARRIVALS_MILLIS && atMillis < ARRIVALS_END_MILLIS) {
            for (int i = 0; i < count; i++) {
                fleet.add(fleet.random.nextInt(3));
            }
        }
    }

    @DataProvider
    public Object[][] fleets() {
        Object[][] fleets = new Object[2 * SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            fleets[2 * i] = new Object[] {SimFleet.Shape.SMALL, (long) i};
            fleets[2 * i + 1] = new Object[] {SimFleet.Shape.GROWN, (long) i};
        }
        return fleets;
    }
}
