package org.apricotdeal.proofs.spread;

import org.apricotdeal.lab.soak.CatalogueRun;
import org.apricotdeal.lab.soak.RunFailure;
import org.apricotdeal.policy.spread.SpreadFault;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

/** Runs the randomised catalogue simulation with fixed seeds and verifies that its checks detect injected faults. */
public final class CatalogueRunTest {
    private static final int SEEDS_WITH_FAULT = 4;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}, {9L}, {10L}};
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {SpreadFault.ADOPT_OLDER, "catalogue-monotonic"},
            {SpreadFault.NO_PEERS, "catalogue-in-force"},
            {SpreadFault.IGNORE_DIGEST, "catalogue-accepted"},
            {SpreadFault.GUESS, "catalogue-accepted"}
        };
    }

    @Test(dataProvider = "seeds")
    public void appliesEveryAcceptedChangeOnAllNodes(long seed) {
        String report = new CatalogueRun().run(seed);
        assertTrue(report.contains("in force everywhere"), report);
    }

    @Test(dataProvider = "faults")
    public void detectsInjectedFault(SpreadFault fault, String invariant) {
        for (long seed = 1; seed <= SEEDS_WITH_FAULT; seed++) {
            try {
                new CatalogueRun(fault).run(seed);
            } catch (RunFailure failure) {
                assertEquals(failure.invariant(), invariant, failure.getMessage());
                assertTrue(failure.getMessage().contains("CatalogueSoak --seeds " + seed), failure.getMessage());
                return;
            }
        }
        fail("no seed up to " + SEEDS_WITH_FAULT + " found " + fault);
    }
}
