package org.apricotdeal.relay.policy;

/** A mean that forgets: each sample moves it by a fixed part of the difference. */
final class MovingAverage {
    /** Part of the difference that a sample moves the mean by: about the last twenty samples count. */
    private static final double WEIGHT = 0.1;

    private double value;

    MovingAverage(double first) {
        value = first;
    }

    void add(long sample) {
        value += WEIGHT * (sample - value);
    }

    double value() {
        return value;
    }
}
