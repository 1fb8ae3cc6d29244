package org.apricotdeal.policy.admission;

import java.util.HashMap;
import java.util.Map;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;

/**
 * Corrects the callers' estimates of the length of their answers: for each caller and class, it keeps an exponentially
 * smoothed ratio of generated to estimated tokens. Callers that always overestimate or underestimate are thus planned for
 * and charged by their actual use.
 */
final class OutputEstimator {
    private static final double SMOOTHING_FACTOR = 0.05;
    private static final double MIN_RATIO = 0.02;
    private static final double MAX_RATIO = 20.0;

    private final Map<CallerAndClass, Ratio> ratios = new HashMap<>();

    private record CallerAndClass(CallerId caller, ClassId classId) {}

    /** Smoothed ratio of generated to estimated tokens. */
    private static final class Ratio {
        private double value = 1.0;
    }

    double expectedTokens(Arrival arrival) {
        Ratio ratio = ratios.get(new CallerAndClass(arrival.caller(), arrival.classId()));
        return ratio == null ? arrival.estimatedTokens() : Math.max(1, arrival.estimatedTokens() * ratio.value);
    }

    void observe(Arrival arrival, int generatedTokens) {
        double observedRatio = (double) generatedTokens / arrival.estimatedTokens();
        double boundedRatio = Math.clamp(observedRatio, MIN_RATIO, MAX_RATIO);
        Ratio ratio = ratios.computeIfAbsent(new CallerAndClass(arrival.caller(), arrival.classId()), s -> new Ratio());
        ratio.value += SMOOTHING_FACTOR * (boundedRatio - ratio.value);
    }
}
