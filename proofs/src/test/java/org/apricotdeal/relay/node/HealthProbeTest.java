package org.apricotdeal.relay.node;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.atomic.AtomicLong;

import org.apricotdeal.relay.health.LocalHealth;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what a node knows of its own delay. */
public final class HealthProbeTest {
    private static final long PERIOD_MILLIS = 200;

    private final ManualClock clock = new ManualClock();
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final LocalHealth health = new LocalHealth();
    private final AtomicLong connectTimeoutMillis = new AtomicLong();
    private final HealthProbe probe =
            new HealthProbe(health, tasks::add, connectTimeoutMillis::set, clock, PERIOD_MILLIS);

    @Test
    public void delayIsThatOfTheSlowestThread() {
        probe.tick();
        clock.advance(30);
        tasks.remove().run();
        assertEquals(delayMillis(), 30, "of the reading thread");
        clock.advance(PERIOD_MILLIS + 50);
        probe.tick();
        assertEquals(delayMillis(), 80, "of the calling thread");
        assertEquals(connectTimeoutMillis.get(), RelayClients.CONNECT_TIMEOUT_MILLIS + 2 * 80);
        for (int i = 0; i < 3; i++) {
            clock.advance(PERIOD_MILLIS);
            probe.tick();
        }
        assertEquals(delayMillis(), 3 * PERIOD_MILLIS, "of the reading thread, which stands still");
        tasks.remove().run();
        clock.advance(5 * PERIOD_MILLIS);
        assertEquals(delayMillis(), 0, "a second later");
    }

    @Test
    public void processorTimeOfThreadIsThatOfTheKernel() {
        long startNanos = System.nanoTime();
        long before = ThreadTimes.millisByName().values().stream()
                .mapToLong(Long::longValue)
                .sum();
        while (System.nanoTime() - startNanos < 100_000_000L) {
            Thread.onSpinWait();
        }
        long after = ThreadTimes.millisByName().values().stream()
                .mapToLong(Long::longValue)
                .sum();
        assertTrue(after > before, before + " ms, then " + after);
    }

    private long delayMillis() {
        return health.delayMillis(clock.monotonicMillis());
    }
}
