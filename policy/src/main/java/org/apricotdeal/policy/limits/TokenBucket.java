package org.apricotdeal.policy.limits;

/**
 * A token bucket that is refilled at a constant rate. While it is not empty, a request may consume more than it holds; the
 * level then becomes negative. A request that costs more than the bucket's capacity is thus not refused for ever, and the
 * debt delays the following requests.
 */
final class TokenBucket {
    private static final double BURST_SECONDS = 2.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private double ratePerSecond;
    private double level;
    private long lastRefillMillis;

    TokenBucket(double ratePerSecond, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.level = capacity();
        this.lastRefillMillis = nowMillis;
    }

    void setRate(double newRatePerSecond, long nowMillis) {
        refill(nowMillis);
        ratePerSecond = newRatePerSecond;
        level = Math.min(level, capacity());
    }

    boolean isAvailable(long nowMillis) {
        refill(nowMillis);
        return level > 0;
    }

    void consume(double amount) {
        level -= amount;
    }

    /** Returns the time after which the bucket is available again, or the largest value if its rate is 0. */
    long millisUntilAvailable() {
        if (level > 0) {
            return 0;
        }
        if (ratePerSecond <= 0) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil(-level / ratePerSecond * MILLIS_PER_SECOND) + 1;
    }

    private void refill(long nowMillis) {
        level = Math.min(capacity(), level + (nowMillis - lastRefillMillis) / MILLIS_PER_SECOND * ratePerSecond);
        lastRefillMillis = nowMillis;
    }

    private double capacity() {
        return ratePerSecond * BURST_SECONDS;
    }
}
