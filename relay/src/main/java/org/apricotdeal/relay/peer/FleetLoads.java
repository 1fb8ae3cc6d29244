package org.apricotdeal.relay.peer;

import java.util.HashMap;
import java.util.Map;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.policy.TargetId;

/**
 * Number of requests that the other nodes run at each target, aggregated from heartbeats. A delegate receives the counts of
 * each node of its failure domain and one sum for each other domain; any other node receives one sum for the rest of the
 * fleet from its delegate. Old reports are dropped. Thread-safe.
 */
public final class FleetLoads {
    /** Age from which a report is ignored; several heartbeat periods. */
    private static final long MAX_AGE_MILLIS = 1_500;

    private final Map<String, Report> nodes = new HashMap<>();
    private final Map<FailureDomainId, Report> domains = new HashMap<>();
    private Report rest = new Report(Map.of(), Long.MIN_VALUE / 2);

    /** Reported counts and the time of their receipt. */
    private record Report(Map<TargetId, Integer> running, long receivedMillis) {
        boolean isFresh(long nowMillis) {
            return nowMillis - receivedMillis < MAX_AGE_MILLIS;
        }
    }

    /**
     * Records the counts that a node of the own failure domain reports for itself.
     *
     * @param name name of the node
     * @param running number of its requests at each target
     * @param nowMillis current time
     */
    public synchronized void recordNode(String name, Map<TargetId, Integer> running, long nowMillis) {
        nodes.put(name, new Report(running, nowMillis));
    }

    /**
     * Records the sums that a node of a different failure domain reports for its domain.
     *
     * @param domain the failure domain
     * @param running number of the domain's requests at each target
     * @param nowMillis current time
     */
    public synchronized void recordDomain(FailureDomainId domain, Map<TargetId, Integer> running, long nowMillis) {
        domains.put(domain, new Report(running, nowMillis));
    }

    /**
     * Records the sums that the delegate reports for all nodes other than this one.
     *
     * @param running number of their requests at each target
     * @param nowMillis current time
     */
    public synchronized void recordRest(Map<TargetId, Integer> running, long nowMillis) {
        rest = new Report(running, nowMillis);
    }

    /**
     * Sums the counts of all nodes other than this one.
     *
     * @param nowMillis current time
     * @return number of requests at each target
     */
    public synchronized Map<TargetId, Integer> sumOfOthers(long nowMillis) {
        if (rest.isFresh(nowMillis)) {
            return rest.running();
        }
        Map<TargetId, Integer> sum = new HashMap<>();
        add(sum, nodes, nowMillis);
        add(sum, domains, nowMillis);
        return sum;
    }

    /**
     * Sums the counts of all nodes of the own failure domain.
     *
     * @param own number of this node's requests at each target
     * @param nowMillis current time
     * @return number of requests at each target
     */
    public synchronized Map<TargetId, Integer> sumOfOwnDomain(Map<TargetId, Integer> own, long nowMillis) {
        Map<TargetId, Integer> sum = new HashMap<>(own);
        add(sum, nodes, nowMillis);
        return sum;
    }

    /**
     * Sums the counts of all nodes of the fleet except one of the own failure domain.
     *
     * @param own number of this node's requests at each target
     * @param name name of the excluded node
     * @param nowMillis current time
     * @return number of requests at each target
     */
    public synchronized Map<TargetId, Integer> sumWithout(Map<TargetId, Integer> own, String name, long nowMillis) {
        Map<TargetId, Integer> sum = new HashMap<>(sumOfOthers(nowMillis));
        own.forEach((target, count) -> sum.merge(target, count, Integer::sum));
        Report excluded = nodes.get(name);
        if (excluded != null && excluded.isFresh(nowMillis)) {
            excluded.running()
                    .forEach((target, count) ->
                            sum.computeIfPresent(target, (id, running) -> running > count ? running - count : null));
        }
        return sum;
    }

    /** Adds recent reports to a sum and drops old ones, whose nodes may have left the fleet. */
    private static void add(Map<TargetId, Integer> sum, Map<?, Report> reports, long nowMillis) {
        reports.values().removeIf(report -> !report.isFresh(nowMillis));
        for (Report report : reports.values()) {
            report.running().forEach((target, count) -> sum.merge(target, count, Integer::sum));
        }
    }
}
