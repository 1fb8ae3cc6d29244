package org.apricotdeal.relay.policy;

/**
 * Estimates the time limit of new callers of a route, in order to recognize returning callers, which have less time
 * left. It tracks a low quantile, so that callers with short time limits also count as new.
 */
final class CallerTimeoutEstimate {
    /** Share of new callers whose time limit may be below the estimate. */
    private static final double QUANTILE = 0.05;

    /** Share of a sample by which the estimate moves towards it. */
    private static final double LEARNING_RATE = 0.02;

    /** Share of the estimated time limit that a new caller's request may lose in transit. */
    private static final double TOLERANCE = 0.03;

    private double quantileMillis = -1;

    /**
     * Adds the time limit of a new caller.
     *
     * @param remainingMillis maximum time that the caller waits
     */
    void addSample(long remainingMillis) {
        if (quantileMillis < 0) {
            quantileMillis = remainingMillis;
        } else if (remainingMillis < quantileMillis) {
            quantileMillis -=
                    Math.min(quantileMillis - remainingMillis, LEARNING_RATE * (1 - QUANTILE) * quantileMillis);
        } else {
            quantileMillis += Math.min(remainingMillis - quantileMillis, LEARNING_RATE * QUANTILE * quantileMillis);
        }
    }

    /**
     * Returns whether a caller has certainly been refused before.
     *
     * @param remainingMillis maximum time that the caller waits
     * @return true if this is clearly less than new callers have; false before the first sample
     */
    boolean isReturningCaller(long remainingMillis) {
        return remainingMillis < quantileMillis * (1 - TOLERANCE);
    }
}
