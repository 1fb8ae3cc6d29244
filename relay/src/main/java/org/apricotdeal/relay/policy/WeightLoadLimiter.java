package org.apricotdeal.relay.policy;

/** Bounds how many loads from the weight store begin, as a token bucket. */
final class WeightLoadLimiter {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Loads that may begin at once after a pause. */
    private static final double MAX_BURST = 2;

    private double tokens = MAX_BURST;
    private long atMillis;

    boolean tryAcquire(long nowMillis, double perSecond) {
        tokens = Math.min(MAX_BURST, tokens + Math.max(0, nowMillis - atMillis) * perSecond / MILLIS_PER_SECOND);
        atMillis = nowMillis;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
