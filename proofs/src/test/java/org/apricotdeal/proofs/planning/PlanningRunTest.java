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

/** Runs {@link PlanningRun} with fixed seeds, and checks that its invariants detect injected faults. */
public final class PlanningRunTest {
    private static final long FIRST_SEED = 1;
    private static final long LAST_SEED = 10;
    private static final long MAX_SEEDS_TO_DETECT = 20;

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
        assertTrue(sum.servableChecks() > 0 && sum.orderChecks() > 0, "no invariant was checked: " + sum);
    }

    @DataProvider
    public Object[][] injectedFaults() {
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

    @Test(dataProvider = "injectedFaults")
    public void invariantsDetectInjectedFault(PlanningMutations fault, String invariant) {
        for (long seed = FIRST_SEED; seed <= MAX_SEEDS_TO_DETECT; seed++) {
            try {
                new PlanningRun(seed, fault).run();
            } catch (InvariantViolation e) {
                if (e.invariant().equals(invariant)) {
                    return;
                }
                fail(fault + " was detected by " + e.invariant() + " instead of " + invariant, e);
            }
        }
        fail(fault + " was not detected in " + MAX_SEEDS_TO_DETECT + " seeds");
    }
}
