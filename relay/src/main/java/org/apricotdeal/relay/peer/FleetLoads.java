package org.apricotdeal.relay.peer;

import java.util.HashMap;
import java.util.Map;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.policy.TargetId;

/**
 * What the other nodes run at each target, put together from heartbeats: a delegate hears the nodes of its failure domain
 * one by one and the other domains as sums; any other node hears the rest of the fleet as one sum from its delegate. Words
 * that have grown old are dropped. Safe for use by several threads.
 */
public final class FleetLoads {
    /** Age beyond which a count is no longer believed; several heartbeats. */
    private static final long MAX_AGE_MILLIS = 1_500;

    private final Map<String, Heard> nodes = new HashMap<>();
    private final Map<FailureDomainId, Heard> domains = new HashMap<>();
    private Heard rest = new Heard(Map.of(), Long.MIN_VALUE / 2);

    /** Counts and when they were heard. */
    private record Heard(Map<TargetId, Integer> running, long atMillis) {
        boolean holds(long nowMillis) {
            return nowMillis - atMillis < MAX_AGE_MILLIS;
        }
    }

    /**
     * Takes the word of a node of the own failure domain on its own requests.
     *
     * @param name the node
     * @param running number of its requests at each target
     * @param nowMillis time
     */
    public synchronized void ofNode(String name, Map<TargetId, Integer> running, long nowMillis) {
        nodes.put(name, new Heard(running, nowMillis));
    }

    /**
     * Takes the word of another failure domain's node on the requests of that domain.
     *
     * @param domain the failure domain
     * @param running number of its requests at each target
     * @param nowMillis time
     */
    public synchronized void ofDomain(FailureDomainId domain, Map<TargetId, Integer> running, long nowMillis) {
        domains.put(domain, new Heard(running, nowMillis));
    }

    /**
     * Takes the delegate's word on the requests of all other nodes.
     *
     * @param running number of their requests at each target
     * @param nowMillis time
     */
    public synchronized void ofRest(Map<TargetId, Integer> running, long nowMillis) {
        rest = new Heard(running, nowMillis);
    }

    /**
     * Sums what the other nodes run.
     *
     * @param nowMillis time
     * @return number of requests at each target
     */
    public synchronized Map<TargetId, Integer> others(long nowMillis) {
        if (rest.holds(nowMillis)) {
            return rest.running();
        }
        Map<TargetId, Integer> sum = new HashMap<>();
        add(sum, nodes, nowMillis);
        add(sum, domains, nowMillis);
        return sum;
    }

    /**
     * Sums what the own failure domain runs.
     *
     * @param own what this node runs
     * @param nowMillis time
     * @return number of requests at each target
     */
    public synchronized Map<TargetId, Integer> domain(Map<TargetId, Integer> own, long nowMillis) {
        Map<TargetId, Integer> sum = new HashMap<>(own);
        add(sum, nodes, nowMillis);
        return sum;
    }

    /**
     * Sums what all nodes but one of the own failure domain run.
     *
     * @param own what this node runs
     * @param name the node that is left out
     * @param nowMillis time
     * @return number of requests at each target
     */
    public synchronized Map<TargetId, Integer> allBut(Map<TargetId, Integer> own, String name, long nowMillis) {
        Map<TargetId, Integer> sum = new HashMap<>(others(nowMillis));
        own.forEach((target, count) -> sum.merge(target, count, Integer::sum));
        Heard left = nodes.get(name);
        if (left != null && left.holds(nowMillis)) {
            left.running()
                    .forEach((target, count) ->
                            sum.computeIfPresent(target, (id, running) -> running > count ? running - count : null));
        }
        return sum;
    }

    /** Adds what was heard of late; what is old is dropped, as its node may be gone for good. */
    private static void add(Map<TargetId, Integer> sum, Map<?, Heard> heard, long nowMillis) {
        heard.values().removeIf(word -> !word.holds(nowMillis));
        for (Heard word : heard.values()) {
            word.running().forEach((target, count) -> sum.merge(target, count, Integer::sum));
        }
    }
}
