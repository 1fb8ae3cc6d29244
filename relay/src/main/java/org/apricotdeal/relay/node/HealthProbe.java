package org.apricotdeal.relay.node;

import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.health.LocalHealth;

/**
 * Measures how late the threads of this node are: the one that calls it periodically, and the one that reads from upstreams,
 * the store and other nodes. A task that the reading thread has not run yet counts with its age. Connections get the time to
 * open that the delay calls for.
 */
final class HealthProbe {
    private final LocalHealth health;
    private final Executor selector;
    private final LongConsumer connectTimeout;
    private final Clock clock;
    private final long periodMillis;
    private long lastMillis = -1;
    private volatile long submittedMillis = -1;

    /**
     * Creates a probe.
     *
     * @param health receives the delays
     * @param selector runs tasks on the reading thread
     * @param connectTimeout takes the time in milliseconds within which connections have to open
     * @param clock clock
     * @param periodMillis time between two calls of {@link #tick} on a node that is not late
     */
    HealthProbe(LocalHealth health, Executor selector, LongConsumer connectTimeout, Clock clock, long periodMillis) {
        this.health = health;
        this.selector = selector;
        this.connectTimeout = connectTimeout;
        this.clock = clock;
        this.periodMillis = periodMillis;
    }

    /** Extends a timeout by the time by which this node may be late with the call and its reply. */
    long extend(long timeoutMillis) {
        return health.extend(timeoutMillis, clock.monotonicMillis());
    }

    /** Takes the time of the calling thread, and lets the reading thread take its own. */
    void tick() {
        long nowMillis = clock.monotonicMillis();
        if (lastMillis >= 0) {
            health.recordDelay(Math.max(0, nowMillis - lastMillis - periodMillis), nowMillis);
        }
        lastMillis = nowMillis;
        connectTimeout.accept(extend(RelayClients.CONNECT_TIMEOUT_MILLIS));
        long pendingMillis = submittedMillis;
        if (pendingMillis >= 0) {
            health.recordDelay(nowMillis - pendingMillis, nowMillis);
            return;
        }
        submittedMillis = nowMillis;
        selector.execute(() -> {
            long ranMillis = clock.monotonicMillis();
            health.recordDelay(ranMillis - nowMillis, ranMillis);
            submittedMillis = -1;
        });
    }
}
