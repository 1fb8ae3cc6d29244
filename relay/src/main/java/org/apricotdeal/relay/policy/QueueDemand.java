package org.apricotdeal.relay.policy;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Demand for a queue at one node.
 *
 * @param sampleWeight number of requests that the rates are based on; older requests count less
 * @param newRequestsPerSecond requests per second of new callers
 * @param refusedPerSecond refusals per second by priority, including those of returning callers
 * @param serviceMillis mean time that a request occupies a slot
 * @param usableSlots slots of the queue's targets that this node does not suspect
 * @param measuredAtMillis monotonic time of the measurement
 */
public record QueueDemand(
        double sampleWeight,
        double newRequestsPerSecond,
        SortedMap<Integer, Double> refusedPerSecond,
        double serviceMillis,
        int usableSlots,
        long measuredAtMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Copies the map. */
    public QueueDemand {
        refusedPerSecond = Collections.unmodifiableSortedMap(new TreeMap<>(refusedPerSecond));
    }

    /**
     * Returns the average number of slots that would be occupied if no request were refused.
     *
     * @return number of slots for the requests of this node
     */
    public double requiredSlots() {
        return newRequestsPerSecond * serviceMillis / MILLIS_PER_SECOND;
    }

    /**
     * Returns the total rate of refusals.
     *
     * @return refusals per second over all priorities
     */
    public double totalRefusedPerSecond() {
        return refusedPerSecond.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
    }
}
