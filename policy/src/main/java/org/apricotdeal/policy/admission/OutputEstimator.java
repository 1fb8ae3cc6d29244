package org.apricotdeal.policy.admission;

import java.util.HashMap;
import java.util.Map;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;

/**
 * Corrects callers' estimates of the length of their answers by what was observed: for each caller and class, the smoothed
 * ratio of generated to estimated tokens. A caller that always asks for the most tokens, or for too few, is thus planned
 * for and charged as it really uses.
 */
final class OutputEstimator {
    private static final double WEIGHT = 0.05;
    private static final double MIN_RATIO = 0.02;
    private static final double MAX_RATIO = 20.0;

    private final Map<Subject, Ratio> ratios = new HashMap<>();

    private record Subject(CallerId caller, ClassId classId) {}

    /** The smoothed ratio of one caller in one class. */
    private static final class Ratio {
        private double value = 1.0;
    }

    double expectedTokens(Arrival arrival) {
        Ratio ratio = ratios.get(new Subject(arrival.caller(), arrival.classId()));
        return ratio == null ? arrival.estimatedTokens() : Math.max(1, arrival.estimatedTokens() * ratio.value);
    }

    void observe(Arrival arrival, int generatedTokens) {
        double observed = (double) generatedTokens / arrival.estimatedTokens();
        double bounded = Math.clamp(observed, MIN_RATIO, MAX_RATIO);
        Ratio ratio = ratios.computeIfAbsent(new Subject(arrival.caller(), arrival.classId()), s -> new Ratio());
        ratio.value += WEIGHT * (bounded - ratio.value);
    }
}
