package org.apricotdeal.relay.policy;

import java.util.SortedMap;
import java.util.TreeMap;

/** Counts what is asked of a line, and what is refused there by priority, as rates over the last seconds. */
final class DemandMeter {
    /** Time over which the rates are taken: a load of weights takes about as long, and bursts are over by then. */
    private static final double WINDOW_MILLIS = 15_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double newRequests;
    private final SortedMap<Integer, Double> refusals = new TreeMap<>();
    private long startedMillis = -1;
    private long atMillis;

    /** Counts a request of a caller who has not asked before. */
    void newRequests(long nowMillis) {
        decay(nowMillis);
        newRequests++;
    }

    /** Counts a refusal of a request of a priority. */
    void refusals(long nowMillis, int priority) {
        decay(nowMillis);
        refusals.merge(priority, 1.0, Double::sum);
    }

    /** Returns the rates; in the first seconds over the time that has been counted. */
    QueueDemand rates(long nowMillis, double serviceMillis, int usableSlots) {
        decay(nowMillis);
        double weight = WINDOW_MILLIS * (1 - Math.exp(-(nowMillis - startedMillis) / WINDOW_MILLIS));
        double perSecond = weight <= 0 ? 0 : MILLIS_PER_SECOND / weight;
        SortedMap<Integer, Double> refusedPerSecond = new TreeMap<>();
        refusals.forEach((priority, count) -> refusedPerSecond.put(priority, count * perSecond));
        return new QueueDemand(
                newRequests, newRequests * perSecond, refusedPerSecond, serviceMillis, usableSlots, nowMillis);
    }

    private void decay(long nowMillis) {
        if (startedMillis < 0) {
            startedMillis = nowMillis;
            atMillis = nowMillis;
        }
        double left = Math.exp(-Math.max(0, nowMillis - atMillis) / WINDOW_MILLIS);
        atMillis = Math.max(atMillis, nowMillis);
        newRequests *= left;
        refusals.replaceAll((priority, count) -> count * left);
    }
}
