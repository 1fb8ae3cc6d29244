package org.apricotdeal.relay.policy;

/**
 * Learns how much time the callers of a route bring along with a first asking, so as to tell those who come back: they have
 * less left. It follows a low quantile, so that callers who are always in a hurry count as newcomers too.
 */
final class CallerTimeoutEstimate {
    /** Part of the first askings that may have less time than what is learned. */
    private static final double QUANTILE = 0.05;

    /** Part of a sample by which the estimate moves towards it. */
    private static final double LEARNING_RATE = 0.02;

    /** Part of the learned time that a first asking may lack on its way. */
    private static final double TOLERANCE = 0.03;

    private double quantileMillis = -1;

    /**
     * Takes a first asking.
     *
     * @param remainingMillis time that its caller waits at most
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
     * Tells whether a caller must have asked before.
     *
     * @param remainingMillis time that it waits at most
     * @return true where it has clearly less time than callers bring along; false while nothing has been learned
     */
    boolean isReturningCaller(long remainingMillis) {
        return remainingMillis < quantileMillis * (1 - TOLERANCE);
    }
}
