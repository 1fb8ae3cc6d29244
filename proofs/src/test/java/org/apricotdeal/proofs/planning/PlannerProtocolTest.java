package org.apricotdeal.proofs.planning;

import java.util.List;

import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.policy.planning.PlannerFault;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the planner's protocol with the store and with engines that ignore fencing numbers. */
public final class PlannerProtocolTest {
    private static final long SETTLE_MILLIS = 20_000;

    @Test
    public void settlesSwapWithLostReplyByReading() {
        PlannerBench bench = bench(OrderCheck.HONOURS_FENCING).start("node-1");
        bench.loseSwapReplies(true);
        bench.run(SETTLE_MILLIS);
        assertEquals(bench.replicas(), List.of("a1 a2"));
        assertTrue(bench.isSettled());
    }

    @Test
    public void nextPlannerContinuesWherePlannerStoppedBetweenPlanAndOrders() {
        PlannerBench bench = bench(OrderCheck.HONOURS_FENCING).start("node-1");
        bench.holdOrders(true);
        bench.run(SETTLE_MILLIS);
        assertEquals(bench.replicas(), List.of("a1 a2"));
        assertFalse(bench.isSettled());
        bench.holdOrders(false);
        bench.lapseLease();
        bench.start("node-2").run(SETTLE_MILLIS);
        assertEquals(bench.replicas(), List.of("a1 a2"));
        assertTrue(bench.isSettled());
    }

    @Test
    public void sendsNothingAfterLeaseLapsed() {
        PlannerBench bench = bench(OrderCheck.HONOURS_FENCING).start("node-1");
        bench.run(SETTLE_MILLIS);
        bench.storeAway(true);
        bench.run(10_000);
        int sentBefore = bench.sent().size();
        bench.down("a2");
        bench.run(10_000);
        assertFalse(bench.planner().isPlanner());
        assertEquals(bench.sent().size(), sentBefore, "orders were sent: " + bench.sent());
    }

    @Test
    public void waitsOutEarlierOrdersToEnginesThatIgnoreFencing() {
        assertTrue(shortestOrderGapMillis() >= PlannerBench.ORDER_DELAY_MILLIS, "waited too short");
    }

    @Test
    public void shortGapIsSeenWithoutTheRest() {
        assertTrue(shortestOrderGapMillis(PlannerFault.SKIP_REST) < PlannerBench.ORDER_DELAY_MILLIS);
    }

    @Test
    public void newPlannerRestsBeforeItsFirstOrderToEnginesThatIgnoreFencing() {
        PlannerBench bench = bench(OrderCheck.IGNORES_FENCING).start("node-1");
        bench.run(SETTLE_MILLIS);
        bench.lapseLease();
        bench.down("a2");
        int sentBefore = bench.sent().size();
        long startMillis = bench.nowMillis();
        bench.start("node-2").run(SETTLE_MILLIS);
        long firstMillis = bench.sent().get(sentBefore).atMillis();
        assertTrue(firstMillis - startMillis >= PlannerBench.ORDER_DELAY_MILLIS, "first order at " + firstMillis);
        assertTrue(bench.isSettled());
    }

    /** Loses a member right after the first joins, and returns the shortest time between two orders to one VM. */
    private static long shortestOrderGapMillis(PlannerFault... faults) {
        PlannerBench bench = bench(OrderCheck.IGNORES_FENCING).start("node-1", faults);
        while (!bench.planner().isPlanner() || bench.replicas().isEmpty() || !bench.isSettled()) {
            bench.run(100);
        }
        bench.down("a2");
        bench.run(SETTLE_MILLIS);
        long shortest = Long.MAX_VALUE;
        for (int i = 0; i < bench.sent().size(); i++) {
            for (int j = i + 1; j < bench.sent().size(); j++) {
                PlannerBench.Sent one = bench.sent().get(i);
                PlannerBench.Sent other = bench.sent().get(j);
                if (one.order().vm().equals(other.order().vm())) {
                    shortest = Math.min(shortest, other.atMillis() - one.atMillis());
                }
            }
        }
        return shortest;
    }

    private static PlannerBench bench(OrderCheck orderCheck) {
        return new PlannerBench(orderCheck, 2, 1).vms("f1", "a1", "a2", "a3");
    }
}
