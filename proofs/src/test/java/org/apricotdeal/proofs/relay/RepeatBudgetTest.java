package org.apricotdeal.proofs.relay;

import org.apricotdeal.relay.policy.RepeatBudget;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** The nodes of a fleet together stay within the shared bound on repeats, however many there are. */
public final class RepeatBudgetTest {
    private static final long WINDOW_MILLIS = 10_000;
    private static final double RATIO = 0.1;
    private static final int ALLOWANCE = 24;

    private static int repeats(int expectedNodes, int registered, int requests) {
        int sum = 0;
        for (int node = 0; node < registered; node++) {
            RepeatBudget budget = new RepeatBudget(WINDOW_MILLIS, RATIO, ALLOWANCE, expectedNodes);
            budget.setNodes(registered);
            for (int i = 0; i < requests / registered; i++) {
                budget.requested(0);
            }
            while (budget.tryRepeat(0)) {
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

    @Test
    public void windowSlides() {
        RepeatBudget budget = new RepeatBudget(WINDOW_MILLIS, RATIO, 1, 1);
        assertTrue(budget.tryRepeat(0));
        assertTrue(!budget.tryRepeat(WINDOW_MILLIS - 1));
        assertTrue(budget.tryRepeat(WINDOW_MILLIS));
    }
}
