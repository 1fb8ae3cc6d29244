package org.apricotdeal.relay.policy;

/** Geometric moving average, which follows the typical time and is hardly changed by a few very long ones. */
final class TypicalTime {
    private static final double WEIGHT = 0.05;

    private double meanLog;

    TypicalTime(double initialMillis) {
        meanLog = Math.log(initialMillis);
    }

    void add(long millis) {
        meanLog += WEIGHT * (Math.log((double) Math.max(1, millis)) - meanLog);
    }

    double millis() {
        return Math.exp(meanLog);
    }
}
