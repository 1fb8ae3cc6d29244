package org.apricotdeal.relay.policy;

import java.util.SortedMap;
import java.util.TreeMap;

/** Measures the rates of new requests and, by priority, of refusals in a queue over the last seconds. */
final class DemandMeter {
    /** Window of the rates: about as long as a load of weights takes, and longer than a burst. */
    private static final double WINDOW_MILLIS = 15_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private double newRequests;
    private final SortedMap<Integer, Double> refusals = new TreeMap<>();
    private long startedMillis = -1;
    private long atMillis;

    /** Counts a request of a new caller. */
    void recordNewRequest(long nowMillis) {
        decay(nowMillis);
        newRequests++;
    }

    /** Counts a refused request of a priority. */
    void recordRefusal(long nowMillis, int priority) {
        decay(nowMillis);
        refusals.merge(priority, 1.0, Double::sum);
    }

    /** Returns the rates; until a full window has passed, they are based on the time measured so far. */
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
        double decayFactor = Math.exp(-Math.max(0, nowMillis - atMillis) / WINDOW_MILLIS);
        atMillis = Math.max(atMillis, nowMillis);
        newRequests *= decayFactor;
        refusals.replaceAll((priority, count) -> count * decayFactor);
    }
}
