package org.apricotdeal.proofs.relay;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.policy.RetryBudget;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that all nodes of a fleet together stay within the shared retry limit, whatever their number. */
public final class RetryBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.1;
    private static final int ALLOWANCE = 24;
    private static final UpstreamId SHOP = new UpstreamId("shop");
    private static final UpstreamId CHAT = new UpstreamId("chat");

    private static int countRetries(int expectedNodes, int registered, int requests) {
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
    public void moreNodesThanExpectedKeepTheSharedBound() {
        assertTrue(countRetries(4, 12, 0) <= ALLOWANCE, "12 nodes made " + countRetries(4, 12, 0));
        assertTrue(countRetries(4, 12, 240) <= ALLOWANCE + RATIO * 240, "12 nodes made " + countRetries(4, 12, 240));
    }

    @Test
    public void expectedNodesUseTheWholeAllowance() {
        assertEquals(countRetries(4, 4, 0), ALLOWANCE);
    }

    @Test
    public void unregisteredNodesKeepTheirShare() {
        assertEquals(countRetries(4, 1, 0), ALLOWANCE / 4);
    }

    /** Guards against a fault in which requests for a busy upstream allowed as many retries for another upstream. */
    @Test
    public void requestsForOneUpstreamAllowNoRetriesForAnother() {
        RetryBudget budget = new RetryBudget(WINDOW_MILLIS, RATIO, ALLOWANCE, 4);
        for (int i = 0; i < 1_000; i++) {
            budget.recordRequest(CHAT, 0);
        }
        int retries = 0;
        while (budget.tryRetry(SHOP, 0)) {
            retries++;
        }
        assertEquals(retries, ALLOWANCE / 4);
    }

    /**
     * Disconnected nodes keep their share, and what they sent counts for a window, so the other nodes must not use
     * it at once.
     */
    @Test
    public void sharesOfRemovedNodesAreFreeAfterAWindow() {
        RetryBudget budget = new RetryBudget(WINDOW_MILLIS, RATIO, ALLOWANCE, 4);
        budget.setNodeCount(12, 0);
        budget.setNodeCount(8, 1_000);
        assertTrue(budget.tryRetry(SHOP, 2_000), "first retry of 24 / 12");
        assertTrue(budget.tryRetry(SHOP, 2_000), "second retry of 24 / 12");
        assertTrue(!budget.tryRetry(SHOP, 2_000), "third retry of 24 / 12");
        assertTrue(budget.tryRetry(SHOP, 11_500), "third retry of 24 / 8");
    }

    /** A starting node does not know the size of the fleet; its first count replaces the assumed one. */
    @Test
    public void firstCountReplacesAssumedNodeCount() {
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
