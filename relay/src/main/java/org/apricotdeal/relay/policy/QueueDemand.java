package org.apricotdeal.relay.policy;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What is asked of a line at one node.
 *
 * @param sampleWeight number of requests that the rates were taken from; older ones count less
 * @param newRequestsPerSecond requests a second of callers who had not asked before
 * @param refusedPerSecond refusals a second by priority, also of callers who came back
 * @param serviceMillis time that a request keeps a slot
 * @param usableSlots slots of the line's targets that are not in doubt, as the node sees them
 * @param measuredAtMillis monotonic time at which this was counted
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
     * Returns the slots that would be taken on average if nothing were refused.
     *
     * @return number of slots, for this node's requests
     */
    public double requiredSlots() {
        return newRequestsPerSecond * serviceMillis / MILLIS_PER_SECOND;
    }

    /**
     * Sums the refusals of all priorities.
     *
     * @return refusals a second
     */
    public double totalRefusedPerSecond() {
        return refusedPerSecond.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
    }
}
