package org.apricotdeal.relay.policy;

import java.util.Collections;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Demand for a queue at one node, or the sum over several nodes.
 *
 * @param sampleWeight number of requests that the rates are based on; older requests count less
 * @param newRequestsPerSecond requests per second of new callers
 * @param refusedPerSecond refusals per second by priority, including those of returning callers
 * @param serviceMillis mean time that a request occupies a slot
 * @param usableSlots slots of the queue's targets that this node does not suspect; 0 in the figures of other nodes
 * @param measuredAtMillis monotonic time of the measurement; of a sum, that of its oldest part
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
     * Returns the demand at the nodes of this and another measurement, which count different requests.
     *
     * @param other demand for the same queue
     * @return sum of the rates, with the mean service time of their requests
     */
    public QueueDemand plus(QueueDemand other) {
        SortedMap<Integer, Double> refusals = new TreeMap<>(refusedPerSecond);
        other.refusedPerSecond.forEach((priority, rate) -> refusals.merge(priority, rate, Double::sum));
        double rate = newRequestsPerSecond + other.newRequestsPerSecond;
        double slots = requiredSlots() + other.requiredSlots();
        return new QueueDemand(
                sampleWeight + other.sampleWeight,
                rate,
                refusals,
                rate <= 0 ? Math.max(serviceMillis, other.serviceMillis) : slots * MILLIS_PER_SECOND / rate,
                usableSlots + other.usableSlots,
                Math.min(measuredAtMillis, other.measuredAtMillis));
    }

    /**
     * Returns this sum without one of its parts. The part may have been measured at a different time than in the sum, so no
     * figure falls below zero.
     *
     * @param part demand at one of the nodes
     * @return demand at the others, or empty if they have none
     */
    public Optional<QueueDemand> minus(QueueDemand part) {
        if (sampleWeight <= part.sampleWeight || newRequestsPerSecond <= part.newRequestsPerSecond) {
            return Optional.empty();
        }
        SortedMap<Integer, Double> refusals = new TreeMap<>(refusedPerSecond);
        part.refusedPerSecond.forEach((priority, rate) ->
                refusals.computeIfPresent(priority, (same, whole) -> whole > rate ? whole - rate : null));
        double rate = newRequestsPerSecond - part.newRequestsPerSecond;
        double slots = Math.max(0, requiredSlots() - part.requiredSlots());
        return Optional.of(new QueueDemand(
                sampleWeight - part.sampleWeight,
                rate,
                refusals,
                slots * MILLIS_PER_SECOND / rate,
                usableSlots,
                measuredAtMillis));
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
