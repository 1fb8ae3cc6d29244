package org.apricotdeal.proofs.planning;

import java.util.EnumSet;
import java.util.Set;

import org.apricotdeal.kernel.misc.InvariantViolation;
import org.apricotdeal.lab.soak.PlanningFigures;
import org.apricotdeal.lab.soak.PlanningRun;
import org.apricotdeal.policy.planning.PlannerFault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

/** Drives {@link PlanningRun} over fixed seeds, and checks that its invariants catch deliberate faults. */
public final class PlanningRunTest {
    private static final long FIRST_SEED = 1;
    private static final long LAST_SEED = 10;
    private static final long MOST_SEEDS_TO_CATCH = 20;

    @Test
    public void invariantsHoldOverFixedSeeds() {
        PlanningFigures sum = PlanningFigures.NONE;
        for (long seed = FIRST_SEED; seed <= LAST_SEED; seed++) {
            PlanningRun run = new PlanningRun(seed, Set.of());
            try {
                sum = sum.plus(run.run());
            } catch (InvariantViolation e) {
                System.out.println(run.trace());
                fail("seed " + seed + ": " + e.getMessage(), e);
            }
        }
        System.out.println("planning: " + sum);
        assertTrue(sum.servableChecks() > 0 && sum.orderChecks() > 0, "nothing was checked: " + sum);
    }

    @DataProvider
    public Object[][] deliberateFaults() {
        return new Object[][] {
            {PlannerFault.ORDER_BEFORE_COMMIT, "order-after-commit"},
            {PlannerFault.JOIN_WITHOUT_RELEASE, "vm-in-one-replica"},
            {PlannerFault.SHARE_MEMBER, "vm-in-one-replica"},
            {PlannerFault.ADOPT_OLDER_PLAN, "plan-version-monotonic"},
            {PlannerFault.IGNORE_LOST_MEMBER, "replica-whole"},
            {PlannerFault.SKIP_REPAIR, "repair-converges"},
            {PlannerFault.IGNORE_LEASE, "order-under-lease"},
        };
    }

    @Test(dataProvider = "deliberateFaults")
    public void deliberateFaultIsCaught(PlannerFault fault, String invariant) {
        for (long seed = FIRST_SEED; seed <= MOST_SEEDS_TO_CATCH; seed++) {
            try {
                new PlanningRun(seed, EnumSet.of(fault)).run();
            } catch (InvariantViolation e) {
                if (e.invariant().equals(invariant)) {
                    return;
                }
                fail(fault + " was caught by " + e.invariant() + " instead of " + invariant, e);
            }
        }
        fail(fault + " was not caught in " + MOST_SEEDS_TO_CATCH + " seeds");
    }
}
