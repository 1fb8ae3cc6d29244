package org.apricotdeal.relay.policy;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses when refused callers should return.
 *
 * <p>Load pattern: many callers are refused at once, by an overload or by the loss of all targets. Callers of an overload
 * return when slots become free for them ({@link QueueState#scheduleReturn}); callers without a target return after a
 * repair, spread at random.
 */
final class ReturnTimes {
    /** Bounds of the retry delay if no target is available; a repair takes about two seconds. */
    static final long MIN_NO_TARGET_RETRY_MILLIS = 800;

    private static final long MAX_NO_TARGET_RETRY_MILLIS = 2_000;

    /** Maximum retry delay, as a share of the time that the caller has left. */
    private static final double MAX_RETRY_AFTER_SHARE = 1.0 / 3;

    private final UniformRandomProvider random;

    /**
     * Creates the choice of return times.
     *
     * @param random seeded random source
     */
    ReturnTimes(UniformRandomProvider random) {
        this.random = random;
    }

    /** Returns the delay of a caller for whom there is no target: after a repair, and not while all VMs are paused. */
    long withoutTargetMillis(QueueState queue, long nowMillis) {
        long repairMillis =
                MIN_NO_TARGET_RETRY_MILLIS + random.nextLong(MAX_NO_TARGET_RETRY_MILLIS - MIN_NO_TARGET_RETRY_MILLIS);
        long pauseMillis = queue.earliestPauseEndMillis(nowMillis).orElse(nowMillis) - nowMillis;
        return Math.max(repairMillis, pauseMillis);
    }

    /** Returns the delay of a refused caller: until a slot that is occupied now becomes free, or longer. */
    long afterOverloadMillis(RequestState request, QueueEstimate estimate, double waitMillis, long nowMillis) {
        QueueState queue = request.queue;
        double latestMillis = (request.arrival.deadlineMillis() - nowMillis) * MAX_RETRY_AFTER_SHARE;
        double earliestMillis = Math.min(latestMillis, waitMillis + queue.serviceMillis.value());
        return queue.scheduleReturn(estimate, nowMillis, earliestMillis, latestMillis, random.nextDouble());
    }
}
