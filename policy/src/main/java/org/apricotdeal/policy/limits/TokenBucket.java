package org.apricotdeal.policy.limits;

/**
 * A bucket that fills at a rate. It may be drawn on while it is not empty and then goes into debt, so that a request that
 * costs more than the bucket holds is not refused for ever; the debt holds back the following ones.
 */
final class TokenBucket {
    private static final double BURST_SECONDS = 2.0;
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private double ratePerSecond;
    private double level;
    private long filledMillis;

    TokenBucket(double ratePerSecond, long nowMillis) {
        this.ratePerSecond = ratePerSecond;
        this.level = capacity();
        this.filledMillis = nowMillis;
    }

    void setRate(double changedPerSecond, long nowMillis) {
        fill(nowMillis);
        ratePerSecond = changedPerSecond;
        level = Math.min(level, capacity());
    }

    boolean isOpen(long nowMillis) {
        fill(nowMillis);
        return level > 0;
    }

    void draw(double amount) {
        level -= amount;
    }

    /** Returns the time after which the bucket is open again. */
    long millisUntilOpen() {
        if (level > 0) {
            return 0;
        }
        if (ratePerSecond <= 0) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil(-level / ratePerSecond * MILLIS_PER_SECOND) + 1;
    }

    private void fill(long nowMillis) {
        level = Math.min(capacity(), level + (nowMillis - filledMillis) / MILLIS_PER_SECOND * ratePerSecond);
        filledMillis = nowMillis;
    }

    private double capacity() {
        return ratePerSecond * BURST_SECONDS;
    }
}
