package org.apricotdeal.relay.policy;

import java.util.SortedMap;
import java.util.TreeMap;

/** Measures the rates of new requests and, by priority, of refusals in a queue over the last seconds. */
final class DemandMeter {
    /** Window of the rates: about as long as a load of weights takes, and longer than a burst. */
    private static final double WINDOW_MILLIS = 15_000;

    /**
     * Window of the refusals; shorter, so that a model that was short in a burst does not count as short long after it.
     */
    private static final double REFUSAL_WINDOW_MILLIS = 7_500;

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
        double perSecond = perSecond(nowMillis, WINDOW_MILLIS);
        double refusalsPerSecond = perSecond(nowMillis, REFUSAL_WINDOW_MILLIS);
        SortedMap<Integer, Double> refusedPerSecond = new TreeMap<>();
        refusals.forEach((priority, count) -> refusedPerSecond.put(priority, count * refusalsPerSecond));
        return new QueueDemand(
                newRequests, newRequests * perSecond, refusedPerSecond, serviceMillis, usableSlots, nowMillis);
    }

    private double perSecond(long nowMillis, double windowMillis) {
        double weight = windowMillis * (1 - Math.exp(-(nowMillis - startedMillis) / windowMillis));
        return weight <= 0 ? 0 : MILLIS_PER_SECOND / weight;
    }

    private void decay(long nowMillis) {
        if (startedMillis < 0) {
            startedMillis = nowMillis;
            atMillis = nowMillis;
        }
        double elapsedMillis = Math.max(0, nowMillis - atMillis);
        atMillis = Math.max(atMillis, nowMillis);
        newRequests *= Math.exp(-elapsedMillis / WINDOW_MILLIS);
        refusals.replaceAll((priority, count) -> count * Math.exp(-elapsedMillis / REFUSAL_WINDOW_MILLIS));
    }
}
