package org.apricotdeal.proofs.claims;

import java.util.Set;

import org.apricotdeal.lab.soak.BookingRun;
import org.apricotdeal.lab.soak.RunFailure;
import org.apricotdeal.policy.call.CallFault;
import org.apricotdeal.policy.claims.ClaimFault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

/** Runs the randomised booking simulation with fixed seeds and verifies that its checks detect injected faults. */
public final class BookingRunTest {
    private static final int SEEDS_WITH_FAULT = 8;
    private static final Set<String> AT_MOST_ONCE = Set.of("booking-at-most-once", "not-run-never-runs");
    private static final Set<String> ANSWERS = Set.of("answer-belongs");

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}};
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {ClaimFault.GRANT_BEFORE_SWAP, CallFault.NONE, AT_MOST_ONCE},
            {ClaimFault.ASSUME_LOST_SWAP_DONE, CallFault.NONE, AT_MOST_ONCE},
            {ClaimFault.GRANT_AFTER_REFUSAL, CallFault.NONE, AT_MOST_ONCE},
            {ClaimFault.ADVANCE_WITHOUT_WAITING, CallFault.NONE, AT_MOST_ONCE},
            {ClaimFault.CLAIM_LATE_COPY, CallFault.NONE, AT_MOST_ONCE},
            {ClaimFault.TAKE_OVER_UNKNOWN, CallFault.NONE, AT_MOST_ONCE},
            {ClaimFault.IGNORE_REQUEST_HASH, CallFault.NONE, ANSWERS},
            {ClaimFault.NONE, CallFault.RETRY_UNKNOWN, AT_MOST_ONCE},
            {ClaimFault.NONE, CallFault.UNKNOWN_AS_NOT_RUN, AT_MOST_ONCE}
        };
    }

    @Test(dataProvider = "seeds")
    public void runsEveryBookingAtMostOnce(long seed) {
        String report = new BookingRun().run(seed);
        assertTrue(report.contains("executions"), report);
    }

    @Test
    public void isDeterministicForASeed() {
        assertEquals(new BookingRun().run(1), new BookingRun().run(1));
    }

    @Test(dataProvider = "faults")
    public void detectsInjectedFault(ClaimFault claimFault, CallFault callFault, Set<String> expected) {
        for (long seed = 1; seed <= SEEDS_WITH_FAULT; seed++) {
            try {
                new BookingRun(claimFault, callFault).run(seed);
            } catch (RunFailure failure) {
                assertTrue(expected.contains(failure.invariant()), failure.getMessage());
                assertTrue(failure.getMessage().contains("ClaimsSoak --seeds " + seed), failure.getMessage());
                return;
            }
        }
        fail("no seed up to " + SEEDS_WITH_FAULT + " found " + claimFault + " " + callFault);
    }
}
