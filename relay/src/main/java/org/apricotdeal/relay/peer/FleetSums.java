package org.apricotdeal.relay.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * Sums over the other nodes, aggregated from heartbeats so that each node counts once. A delegate receives the values of
 * each node of its failure domain and one sum for each other domain; any other node receives one sum for the rest of the
 * fleet from its delegate. Old reports are dropped. Thread-safe.
 *
 * @param <K> what the values are of
 * @param <V> values that can be added up
 */
abstract class FleetSums<K, V> {
    /** Age from which a report is ignored; several heartbeat periods. */
    private static final long MAX_AGE_MILLIS = 1_500;

    private final Map<String, Report<K, V>> nodes = new HashMap<>();
    private final Map<FailureDomainId, Report<K, V>> domains = new HashMap<>();
    private Report<K, V> rest = new Report<>(Map.of(), Long.MIN_VALUE / 2);

    /** Reported values and the time of their receipt. */
    private record Report<K, V>(Map<K, V> values, long receivedMillis) {
        boolean isFresh(long nowMillis) {
            return nowMillis - receivedMillis < MAX_AGE_MILLIS;
        }
    }

    /** Adds two values. */
    abstract V add(V first, V second);

    /** Subtracts one value from a sum; empty if nothing remains. */
    abstract Optional<V> subtract(V sum, V part);

    /** Returns whether a value is recent enough to be used, however recently it was received. */
    abstract boolean isCurrent(V value, long nowMillis);

    /**
     * Records the values that a node of the own failure domain reports for itself.
     *
     * @param name name of the node
     * @param values its values
     * @param nowMillis current time
     */
    public synchronized void recordNode(String name, Map<K, V> values, long nowMillis) {
        nodes.put(name, new Report<>(values, nowMillis));
    }

    /**
     * Records the sums that a node of a different failure domain reports for its domain.
     *
     * @param domain the failure domain
     * @param values sums over the domain's nodes
     * @param nowMillis current time
     */
    public synchronized void recordDomain(FailureDomainId domain, Map<K, V> values, long nowMillis) {
        domains.put(domain, new Report<>(values, nowMillis));
    }

    /**
     * Records the sums that the delegate reports for all nodes other than this one.
     *
     * @param values sums over these nodes
     * @param nowMillis current time
     */
    public synchronized void recordRest(Map<K, V> values, long nowMillis) {
        rest = new Report<>(values, nowMillis);
    }

    /**
     * Sums the values of all nodes other than this one.
     *
     * @param nowMillis current time
     * @return sums
     */
    public synchronized Map<K, V> sumOfOthers(long nowMillis) {
        return sumWithOthers(Map.of(), nowMillis);
    }

    /**
     * Sums the values of all nodes.
     *
     * @param own values of this node
     * @param nowMillis current time
     * @return sums
     */
    public synchronized Map<K, V> sumWithOthers(Map<K, V> own, long nowMillis) {
        Map<K, V> sum = new HashMap<>(own);
        if (rest.isFresh(nowMillis)) {
            addCurrent(sum, rest.values(), nowMillis);
            return sum;
        }
        addFresh(sum, nodes, nowMillis);
        addFresh(sum, domains, nowMillis);
        return sum;
    }

    /**
     * Sums the values of all nodes of the own failure domain.
     *
     * @param own values of this node
     * @param nowMillis current time
     * @return sums
     */
    public synchronized Map<K, V> sumOfOwnDomain(Map<K, V> own, long nowMillis) {
        Map<K, V> sum = new HashMap<>(own);
        addFresh(sum, nodes, nowMillis);
        return sum;
    }

    /**
     * Sums the values of all nodes of the fleet except one of the own failure domain.
     *
     * @param own values of this node
     * @param name name of the excluded node
     * @param nowMillis current time
     * @return sums
     */
    public synchronized Map<K, V> sumWithout(Map<K, V> own, String name, long nowMillis) {
        Map<K, V> sum = sumWithOthers(own, nowMillis);
        Report<K, V> excluded = nodes.get(name);
        if (excluded != null && excluded.isFresh(nowMillis)) {
            excluded.values().forEach((key, value) -> {
                if (isCurrent(value, nowMillis)) {
                    sum.computeIfPresent(
                            key, (sameKey, whole) -> subtract(whole, value).orElse(null));
                }
            });
        }
        return sum;
    }

    /** Adds recent reports to a sum and drops old ones, whose nodes may have left the fleet. */
    private void addFresh(Map<K, V> sum, Map<?, Report<K, V>> reports, long nowMillis) {
        reports.values().removeIf(report -> !report.isFresh(nowMillis));
        reports.values().forEach(report -> addCurrent(sum, report.values(), nowMillis));
    }

    private void addCurrent(Map<K, V> sum, Map<K, V> values, long nowMillis) {
        values.forEach((key, value) -> {
            if (isCurrent(value, nowMillis)) {
                sum.merge(key, value, this::add);
            }
        });
    }
}
