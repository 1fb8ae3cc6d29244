package org.apricotdeal.relay.policy;

/**
 * How much longer a target takes than the others of its queue, learned from its own first events and answers.
 *
 * <p>Load pattern: a slow VM, or a replica across fabric domains, among many of usual pace. A slow target receives
 * fewer requests, so what is known about it becomes old; the difference is forgotten until requests measure it again.
 */
final class TargetPace {
    private static final double WEIGHT = 0.15;
    private static final double MAX_RATIO = 8;

    /** Time after which half of a difference is forgotten; a slow VM is tried again several times a minute. */
    private static final double HALF_LIFE_MILLIS = 5_000;

    /** Differences up to this logarithm are ordinary variation between answers. */
    private static final double IGNORED_LOG = 0.25;

    private double logRatio;
    private long measuredMillis;

    /**
     * Adds a measured time.
     *
     * @param millis time that the target took
     * @param expectedMillis time that targets of usual pace take
     * @param nowMillis monotonic time
     */
    void add(long millis, double expectedMillis, long nowMillis) {
        double sample = Math.log(Math.clamp((double) Math.max(1, millis) / expectedMillis, 1 / MAX_RATIO, MAX_RATIO));
        double known = knownLog(nowMillis);
        logRatio = known + WEIGHT * (sample - known);
        measuredMillis = nowMillis;
    }

    /** Returns the factor by which the target is slower than others; 1 if it is not clearly slower or faster. */
    double factor(long nowMillis) {
        double known = knownLog(nowMillis);
        return Math.exp(Math.signum(known) * Math.max(0, Math.abs(known) - IGNORED_LOG));
    }

    private double knownLog(long nowMillis) {
        return logRatio * Math.pow(0.5, (nowMillis - measuredMillis) / HALF_LIFE_MILLIS);
    }
}
