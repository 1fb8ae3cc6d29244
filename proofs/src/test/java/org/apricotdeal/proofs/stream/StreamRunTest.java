package org.apricotdeal.proofs.stream;

import java.util.Set;

import org.apricotdeal.lab.soak.RunFailure;
import org.apricotdeal.lab.soak.StreamRun;
import org.apricotdeal.policy.stream.StreamFault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

/** Runs the randomised stream simulation with fixed seeds and verifies that its checks detect injected faults. */
public final class StreamRunTest {
    private static final int SEEDS_WITH_FAULT = 5;
    private static final Set<String> EXPECTED = Set.of("answer-whole", "answer-belongs", "stream-contiguous");

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}, {9L}, {10L}};
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {{StreamFault.TAKE_LATE_TOKENS}, {StreamFault.SKIP_ON_RESUME}, {StreamFault.FINISH_EARLY}
        };
    }

    @Test(dataProvider = "seeds")
    public void deliversCompleteAnswers(long seed) {
        String report = new StreamRun().run(seed);
        assertTrue(report.contains("whole"), report);
    }

    @Test(dataProvider = "faults")
    public void detectsInjectedFault(StreamFault fault) {
        for (long seed = 1; seed <= SEEDS_WITH_FAULT; seed++) {
            try {
                new StreamRun(fault).run(seed);
            } catch (RunFailure failure) {
                assertTrue(EXPECTED.contains(failure.invariant()), failure.getMessage());
                assertTrue(failure.getMessage().contains("StreamsSoak --seeds " + seed), failure.getMessage());
                return;
            }
        }
        fail("no seed up to " + SEEDS_WITH_FAULT + " found " + fault);
    }
}
