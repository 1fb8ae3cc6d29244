package org.apricotdeal.proofs.relay;

import org.apricotdeal.lab.soak.RunFailure;
import org.apricotdeal.lab.soak.TargetsFault;
import org.apricotdeal.lab.soak.TargetsRun;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.fail;

/** Runs {@link TargetsRun} with fixed seeds, and checks that its invariants detect injected faults. */
public final class TargetsRunTest {
    private static final long LAST_SEED = 5;
    private static final long MAX_SEEDS_TO_DETECT = 20;

    @Test
    public void invariantsHoldOverFixedSeeds() {
        for (long seed = 1; seed <= LAST_SEED; seed++) {
            System.out.println("targets " + seed + ": " + new TargetsRun().run(seed));
        }
    }

    @DataProvider
    public Object[][] injectedFaults() {
        return new Object[][] {
            {TargetsFault.LAST_WORD_WINS, "evacuations-monotonic"},
            {TargetsFault.ORDER_BY_NUMBER_ALONE, "evacuations-monotonic"},
            {TargetsFault.PEERS_TELL_NOTHING, "evacuation-obeyed"},
            {TargetsFault.EVACUATIONS_NOT_OBEYED, "evacuation-obeyed"},
            {TargetsFault.COLD_VMS_NOT_LIMITED, "cold-rate-held"},
            {TargetsFault.WHOLE_BOUND_FOR_EACH_SET, "cold-rate-held"},
            {TargetsFault.NO_WAIT_AFTER_RESTART, "cold-rate-held"},
        };
    }

    @Test(dataProvider = "injectedFaults")
    public void invariantsDetectInjectedFault(TargetsFault fault, String invariant) {
        for (long seed = 1; seed <= MAX_SEEDS_TO_DETECT; seed++) {
            try {
                new TargetsRun(fault).run(seed);
            } catch (RunFailure e) {
                assertEquals(e.invariant(), invariant, e.getMessage());
                return;
            }
        }
        fail(fault + " was not detected in " + MAX_SEEDS_TO_DETECT + " seeds");
    }
}
