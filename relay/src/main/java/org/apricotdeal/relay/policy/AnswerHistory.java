package org.apricotdeal.relay.policy;

/**
 * Relation between the stated and the observed length of the answers of a route, both as logarithms. The slope of
 * the regression line is the trust in the stated lengths: it approaches 1 if they are right and 0 if they say
 * nothing. Old answers are forgotten exponentially.
 */
final class AnswerHistory {
    /** Number of answers after which older ones lose their weight. */
    private static final int MEMORY = 200;

    /** Number of answers that the initial assumptions count as. */
    private static final int PRIOR_ANSWERS = 10;

    private static final double PRIOR_VARIANCE = 0.25;
    private static final double PRIOR_SLOPE = 0.5;

    /** Maximum factor between prediction and observation that is learned from one answer. */
    private static final double MAX_RATIO = 8;

    private double meanStated;
    private double meanObserved;
    private double variance = PRIOR_VARIANCE;
    private double covariance = PRIOR_SLOPE * PRIOR_VARIANCE;
    private double meanRatio = 1;
    private int answers = PRIOR_ANSWERS;

    /**
     * Creates a history from the initial assumptions.
     *
     * @param statedTokens usual stated length
     * @param observedMillis usual duration
     */
    AnswerHistory(double statedTokens, double observedMillis) {
        meanStated = Math.log(statedTokens);
        meanObserved = Math.log(observedMillis);
    }

    /** Returns the median duration of answers of a stated length. */
    double medianMillis(double statedTokens) {
        double slope = Math.clamp(covariance / variance, 0, 1);
        return Math.exp(meanObserved + slope * (Math.log(statedTokens) - meanStated));
    }

    /** Returns the factor between the mean and the median of the durations. */
    double meanToMedian() {
        return meanRatio;
    }

    /**
     * Adds an answer.
     *
     * @param statedTokens stated length
     * @param observedMillis duration
     * @param predictedMillis median duration that was predicted for the customer
     */
    void add(double statedTokens, double observedMillis, double predictedMillis) {
        double ratio = Math.clamp(observedMillis / predictedMillis, 1 / MAX_RATIO, MAX_RATIO);
        double weight = 1.0 / Math.min(MEMORY, ++answers);
        double statedOffset = Math.log(statedTokens) - meanStated;
        double observedOffset = Math.log(predictedMillis * ratio) - meanObserved;
        meanStated += weight * statedOffset;
        meanObserved += weight * observedOffset;
        variance = (1 - weight) * (variance + weight * statedOffset * statedOffset);
        covariance = (1 - weight) * (covariance + weight * statedOffset * observedOffset);
        meanRatio += weight * (ratio - meanRatio);
    }
}
