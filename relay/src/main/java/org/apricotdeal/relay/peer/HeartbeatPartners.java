package org.apricotdeal.relay.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * Chooses the nodes that a node sends heartbeats to, so that their number over the fleet grows with the nodes and not with
 * their square.
 *
 * <p>Each failure domain has a delegate: its first node, in the order of {@link PlannerChoice}, that answers. The other nodes
 * of the domain exchange heartbeats with the delegate only, and delegates with each other. A node goes through the order until
 * one answers, so a delegate that is silent is asked on, and the next one beside it.
 */
public final class HeartbeatPartners {
    /** A node that has not answered for so long is passed over; a few heartbeats. */
    private static final long SUSPECT_MILLIS = 800;

    private final PlannerChoice.Candidate self;
    private final Map<String, Long> answeredMillis = new HashMap<>();
    private final Map<String, Long> askedSinceMillis = new HashMap<>();
    private boolean delegate = true;

    /**
     * Creates the choice of a node that knows no other.
     *
     * @param self the node
     */
    public HeartbeatPartners(PlannerChoice.Candidate self) {
        this.self = self;
    }

    /**
     * Notes that a node was heard directly.
     *
     * @param name the node
     * @param nowMillis time
     */
    public void heard(String name, long nowMillis) {
        answeredMillis.put(name, nowMillis);
    }

    /**
     * Tells whether this node speaks for its failure domain, as of the last choice.
     *
     * @return true where no node before it in the domain's order answers
     */
    public boolean isDelegate() {
        return delegate;
    }

    /**
     * Chooses the nodes to send to now.
     *
     * @param peers the other nodes
     * @param stopping names of those that stop
     * @param nowMillis time
     * @return names of the nodes
     */
    public Set<String> choose(Collection<PlannerChoice.Candidate> peers, Set<String> stopping, long nowMillis) {
        answeredMillis.values().removeIf(atMillis -> nowMillis - atMillis >= SUSPECT_MILLIS);
        Map<FailureDomainId, List<PlannerChoice.Candidate>> domains = new TreeMap<>();
        domains.computeIfAbsent(self.failureDomain(), domain -> new ArrayList<>())
                .add(self);
        for (PlannerChoice.Candidate peer : peers) {
            domains.computeIfAbsent(peer.failureDomain(), domain -> new ArrayList<>())
                    .add(peer);
        }
        Set<String> chosen = new HashSet<>();
        delegate = !reaches(domains.remove(self.failureDomain()), stopping, nowMillis, chosen);
        if (delegate) {
            domains.values().forEach(nodes -> reaches(nodes, stopping, nowMillis, chosen));
        }
        askedSinceMillis.keySet().retainAll(chosen);
        for (String name : chosen) {
            askedSinceMillis.putIfAbsent(name, nowMillis);
        }
        return chosen;
    }

    /** Chooses nodes of a failure domain up to the first that answers, or up to this node; returns whether one answers. */
    private boolean reaches(
            List<PlannerChoice.Candidate> nodes, Set<String> stopping, long nowMillis, Set<String> chosen) {
        nodes.sort(PlannerChoice.order(nodes.getFirst().failureDomain()));
        for (PlannerChoice.Candidate node : nodes) {
            if (node.name().equals(self.name())) {
                return false;
            }
            chosen.add(node.name());
            if (!stopping.contains(node.name()) && answers(node.name(), nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether a node has answered of late, or has not had the time to. */
    private boolean answers(String name, long nowMillis) {
        long heardMillis = answeredMillis.getOrDefault(name, Long.MIN_VALUE / 2);
        long askedMillis = askedSinceMillis.getOrDefault(name, nowMillis);
        return nowMillis - Math.max(heardMillis, askedMillis) < SUSPECT_MILLIS;
    }
}
