package org.apricotdeal.proofs.planning;

import java.util.List;

import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.policy.planning.PlannerFault;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the planner's protocol with the store and with engines that honour or ignore fencing numbers. */
public final class PlannerProtocolTest {
    private static final long RUN_MILLIS = 20_000;

    @Test
    public void readsRecordAfterSwapReplyIsLost() {
        PlannerFixture fixture = fixture(OrderCheck.HONOURS_FENCING).startPlanner("node-1");
        fixture.loseSwapReplies(true);
        fixture.run(RUN_MILLIS);
        assertEquals(fixture.describeReplicas(), List.of("a1 a2"));
        assertTrue(fixture.allMembersJoined());
    }

    @Test
    public void newPlannerSendsOrdersOfPlanCommittedByPredecessor() {
        PlannerFixture fixture = fixture(OrderCheck.HONOURS_FENCING).startPlanner("node-1");
        fixture.dropOrders(true);
        fixture.run(RUN_MILLIS);
        assertEquals(fixture.describeReplicas(), List.of("a1 a2"));
        assertFalse(fixture.allMembersJoined());
        fixture.dropOrders(false);
        fixture.expireLease();
        fixture.startPlanner("node-2").run(RUN_MILLIS);
        assertEquals(fixture.describeReplicas(), List.of("a1 a2"));
        assertTrue(fixture.allMembersJoined());
    }

    @Test
    public void sendsNoOrdersAfterLeaseExpires() {
        PlannerFixture fixture = fixture(OrderCheck.HONOURS_FENCING).startPlanner("node-1");
        fixture.run(RUN_MILLIS);
        fixture.storeUnavailable(true);
        fixture.run(10_000);
        int sentBefore = fixture.sentOrders().size();
        fixture.down("a2");
        fixture.run(10_000);
        assertFalse(fixture.planner().isPlanner());
        assertEquals(
                fixture.sentOrders().size(), sentBefore, "orders were sent without a lease: " + fixture.sentOrders());
    }

    @Test
    public void waitsForEarlierOrdersToEnginesThatIgnoreFencing() {
        assertTrue(
                shortestOrderGapMillis() >= PlannerFixture.ORDER_DELAY_MILLIS,
                "the wait between two orders to a VM was too short");
    }

    @Test
    public void skipRestFaultShortensOrderGap() {
        assertTrue(shortestOrderGapMillis(PlannerFault.SKIP_REST) < PlannerFixture.ORDER_DELAY_MILLIS);
    }

    @Test
    public void newPlannerWaitsBeforeFirstOrderToEnginesThatIgnoreFencing() {
        PlannerFixture fixture = fixture(OrderCheck.IGNORES_FENCING).startPlanner("node-1");
        fixture.run(RUN_MILLIS);
        fixture.expireLease();
        fixture.down("a2");
        int sentBefore = fixture.sentOrders().size();
        long startMillis = fixture.nowMillis();
        fixture.startPlanner("node-2").run(RUN_MILLIS);
        long firstMillis = fixture.sentOrders().get(sentBefore).atMillis();
        assertTrue(firstMillis - startMillis >= PlannerFixture.ORDER_DELAY_MILLIS, "first order at " + firstMillis);
        assertTrue(fixture.allMembersJoined());
    }

    /** Fails a member right after the first joins, and returns the shortest time between two orders to the same VM. */
    private static long shortestOrderGapMillis(PlannerFault... faults) {
        PlannerFixture fixture = fixture(OrderCheck.IGNORES_FENCING).startPlanner("node-1", faults);
        while (!fixture.planner().isPlanner() || fixture.describeReplicas().isEmpty() || !fixture.allMembersJoined()) {
            fixture.run(100);
        }
        fixture.down("a2");
        fixture.run(RUN_MILLIS);
        long shortest = Long.MAX_VALUE;
        for (int i = 0; i < fixture.sentOrders().size(); i++) {
            for (int j = i + 1; j < fixture.sentOrders().size(); j++) {
                PlannerFixture.SentOrder earlier = fixture.sentOrders().get(i);
                PlannerFixture.SentOrder later = fixture.sentOrders().get(j);
                if (earlier.order().vm().equals(later.order().vm())) {
                    shortest = Math.min(shortest, later.atMillis() - earlier.atMillis());
                }
            }
        }
        return shortest;
    }

    private static PlannerFixture fixture(OrderCheck orderCheck) {
        return new PlannerFixture(orderCheck, 2, 1).addVms("f1", "a1", "a2", "a3");
    }
}
