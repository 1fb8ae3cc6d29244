package org.apricotdeal.proofs.planning;

import org.apricotdeal.kernel.misc.InvariantViolation;
import org.apricotdeal.lab.soak.PlanningFigures;
import org.apricotdeal.lab.soak.PlanningMutations;
import org.apricotdeal.lab.soak.PlanningRun;
import org.apricotdeal.lab.soak.RunFailure;
import org.apricotdeal.policy.membership.MembershipFault;
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
            PlanningRun run = new PlanningRun(seed, PlanningMutations.NONE);
            try {
                sum = sum.plus(run.run());
            } catch (InvariantViolation e) {
                throw new RunFailure(seed, e, run.traceLines(), PlanningRun.COMMAND + seed);
            }
        }
        System.out.println("planning: " + sum);
        assertTrue(sum.servableChecks() > 0 && sum.orderChecks() > 0, "nothing was checked: " + sum);
    }

    @DataProvider
    public Object[][] deliberateFaults() {
        return new Object[][] {
            {PlanningMutations.of(PlannerFault.ORDER_BEFORE_COMMIT), "order-after-commit"},
            {PlanningMutations.of(PlannerFault.JOIN_WITHOUT_RELEASE), "vm-in-one-replica"},
            {PlanningMutations.of(PlannerFault.SHARE_MEMBER), "vm-in-one-replica"},
            {PlanningMutations.of(PlannerFault.ADOPT_OLDER_PLAN), "plan-version-monotonic"},
            {PlanningMutations.of(PlannerFault.IGNORE_LOST_MEMBER), "replica-whole"},
            {PlanningMutations.of(PlannerFault.SKIP_REPAIR), "repair-converges"},
            {PlanningMutations.of(MembershipFault.TRUST_RECEIPT_TIME), "replica-whole"},
            {PlanningMutations.of(PlannerFault.IGNORE_LEASE), "order-under-lease"},
        };
    }

    @Test(dataProvider = "deliberateFaults")
    public void deliberateFaultIsCaught(PlanningMutations fault, String invariant) {
        for (long seed = FIRST_SEED; seed <= MOST_SEEDS_TO_CATCH; seed++) {
            try {
                new PlanningRun(seed, fault).run();
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
