package org.apricotdeal.relay.node;

import java.util.concurrent.Executor;

import org.apricotdeal.kernel.time.Clock;

/**
 * Checks whether the thread that reads from upstreams, the store and other nodes still gets to its tasks. A node on which it
 * does not is of no use to callers, although its other threads still answer. Each check leaves a task for the next one.
 */
final class SelectorProbe {
    /** Time for the task of a check; the platform checks readiness once per second. */
    private static final long MAX_DELAY_MILLIS = 500;

    private final Executor selector;
    private final Clock clock;
    private volatile long sentMillis = -1;

    SelectorProbe(Executor selector, Clock clock) {
        this.selector = selector;
        this.clock = clock;
    }

    /** Returns whether the task of the previous check was run, or may still be in time, and starts a new one. */
    synchronized boolean isResponsive() {
        long nowMillis = clock.monotonicMillis();
        if (sentMillis >= 0) {
            return nowMillis - sentMillis < MAX_DELAY_MILLIS;
        }
        sentMillis = nowMillis;
        selector.execute(() -> sentMillis = -1);
        return true;
    }
}
