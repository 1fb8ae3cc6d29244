package org.apricotdeal.relay.policy;

/** Exponentially weighted moving average. */
final class MovingAverage {
    /** Weight of a new sample: about the last twenty samples count. */
    private static final double WEIGHT = 0.1;

    private double value;

    MovingAverage(double initialValue) {
        value = initialValue;
    }

    void add(long sample) {
        value += WEIGHT * (sample - value);
    }

    double value() {
        return value;
    }
}
