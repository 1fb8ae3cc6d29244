package org.apricotdeal.relay.node;

import java.util.ArrayDeque;
import java.util.Queue;

import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that a node whose reading thread is stuck does not report that it is ready (review/1). */
public final class SelectorProbeTest {
    private static final long CHECK_PERIOD_MILLIS = 1_000;

    private final ManualClock clock = new ManualClock();
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final SelectorProbe probe = new SelectorProbe(tasks::add, clock);

    @Test
    public void stuckThreadIsReportedUntilItRunsAgain() {
        assertTrue(probe.isResponsive());
        runTasks();
        clock.advance(CHECK_PERIOD_MILLIS);
        assertTrue(probe.isResponsive());
        clock.advance(CHECK_PERIOD_MILLIS);
        assertFalse(probe.isResponsive());
        clock.advance(CHECK_PERIOD_MILLIS);
        assertFalse(probe.isResponsive());
        runTasks();
        assertTrue(probe.isResponsive());
    }

    private void runTasks() {
        while (!tasks.isEmpty()) {
            tasks.remove().run();
        }
    }
}
