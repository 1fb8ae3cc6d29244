package org.apricotdeal.proofs.kernel;

import org.apricotdeal.kernel.time.HybridClock;
import org.apricotdeal.kernel.time.HybridTime;
import org.apricotdeal.lab.sim.Scheduler;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests {@link HybridClock}. */
public final class HybridClockTest {
    @Test
    public void followsRemoteClockThatRunsAhead() {
        HybridClock clock = new HybridClock(new Scheduler(1));
        HybridTime first = clock.next();
        HybridTime remote = new HybridTime(first.wallMillis() + 500, 3);
        clock.observe(remote);
        HybridTime second = clock.next();
        assertTrue(second.compareTo(remote) > 0, second + " is not after " + remote);
    }
}
