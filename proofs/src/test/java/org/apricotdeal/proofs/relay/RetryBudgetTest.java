package org.apricotdeal.proofs.relay;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.policy.RetryBudget;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** The nodes of a fleet together stay within the shared bound on repeats, however many there are. */
public final class RetryBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.1;
    private static final int ALLOWANCE = 24;
    private static final UpstreamId SHOP = new UpstreamId("shop");
    private static final UpstreamId CHAT = new UpstreamId("chat");

    private static int repeats(int expectedNodes, int registered, int requests) {
        int sum = 0;
        for (int node = 0; node < registered; node++) {
            RetryBudget budget = new RetryBudget(WINDOW_MILLIS, RATIO, ALLOWANCE, expectedNodes);
            budget.setNodeCount(registered, 0);
            for (int i = 0; i < requests / registered; i++) {
                budget.recordRequest(SHOP, 0);
            }
            while (budget.tryRetry(SHOP, 0)) {
                sum++;
            }
        }
        return sum;
    }

    @Test
    public void fleetOfMoreNodesThanExpectedKeepsTheBound() {
        assertTrue(repeats(4, 12, 0) <= ALLOWANCE, "12 nodes made " + repeats(4, 12, 0));
        assertTrue(repeats(4, 12, 240) <= ALLOWANCE + RATIO * 240, "12 nodes made " + repeats(4, 12, 240));
    }

    @Test
    public void expectedFleetUsesTheWholeAllowance() {
        assertEquals(repeats(4, 4, 0), ALLOWANCE);
    }

    @Test
    public void nodesThatAreNotRegisteredKeepTheirPart() {
        assertEquals(repeats(4, 1, 0), ALLOWANCE / 4);
    }

    /** Requests for a busy upstream once let another one's be repeated as often as they were many. */
    @Test
    public void requestsForOneUpstreamAreNoLeaveToRepeatThoseForAnother() {
        RetryBudget budget = new RetryBudget(WINDOW_MILLIS, RATIO, ALLOWANCE, 4);
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest(CHAT, 0);
        }
        int repeats = 0;
        while (budget.tryRetry(SHOP, 0)) {
            repeats++;
        }
        assertEquals(repeats, ALLOWANCE / 4);
    }

    /** Nodes that are cut off keep their part, and what they sent counts for a window; so the others may not take it at once. */
    @Test
    public void partsOfNodesThatAreNoLongerCountedAreFreeAfterAWindow() {
        RetryBudget budget = new RetryBudget(WINDOW_MILLIS, RATIO, ALLOWANCE, 4);
        budget.setNodeCount(12, 0);
        budget.setNodeCount(8, 1_000);
        assertTrue(budget.tryRetry(SHOP, 2_000), "a first repeat of 24 / 12");
        assertTrue(budget.tryRetry(SHOP, 2_000), "a second repeat of 24 / 12");
        assertTrue(!budget.tryRetry(SHOP, 2_000), "a third repeat of 24 / 12");
        assertTrue(budget.tryRetry(SHOP, 11_500), "a third repeat of 24 / 8");
    }

    /** A node that starts does not know the fleet; its first count replaces what it took for granted. */
    @Test
    public void firstCountReplacesACautiousGuess() {
        RetryBudget budget = new RetryBudget(WINDOW_MILLIS, RATIO, ALLOWANCE, 4);
        budget.assumeNodeCount(400);
        assertTrue(!budget.tryRetry(SHOP, 0));
        budget.setNodeCount(12, 0);
        assertTrue(budget.tryRetry(SHOP, 0));
    }

    @Test
    public void windowSlides() {
        RetryBudget budget = new RetryBudget(WINDOW_MILLIS, RATIO, 1, 1);
        assertTrue(budget.tryRetry(SHOP, 0));
        assertTrue(!budget.tryRetry(SHOP, WINDOW_MILLIS - 1));
        assertTrue(budget.tryRetry(SHOP, WINDOW_MILLIS));
    }
}
