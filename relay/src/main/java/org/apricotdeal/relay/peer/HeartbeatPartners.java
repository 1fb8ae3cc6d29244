package org.apricotdeal.relay.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * Chooses the nodes to which a node sends heartbeats, so that the number of heartbeats in the fleet grows linearly with the
 * number of nodes and not with its square.
 *
 * <p>Each failure domain has a delegate: the first responsive node in the order of {@link PlannerChoice}. The other nodes of
 * the domain exchange heartbeats with the delegate only, and delegates exchange them with each other. A node contacts the
 * nodes in that order up to the first responsive one, so it keeps contacting a silent delegate as well as its successor.
 */
public final class HeartbeatPartners {
    /** Time without a heartbeat after which a node counts as unresponsive; a few heartbeat periods. */
    public static final long SUSPECT_MILLIS = 800;

    /** Number of unresponsive nodes that get a heartbeat in a period. */
    private static final int UNRESPONSIVE_PER_PERIOD = 2;

    /** Number of delegates that follow the store, so that one of them may fail unnoticed. */
    private static final int STORE_FOLLOWERS = 2;

    private final PlannerChoice.Candidate self;
    private final Map<String, Long> lastHeartbeatMillis = new HashMap<>();
    private final Map<String, Long> contactedSinceMillis = new HashMap<>();
    private long suspectMillis = SUSPECT_MILLIS;
    private int turn;
    private boolean delegate = true;
    private int precedingDelegates;

    /**
     * Creates the chooser of a node that knows no other nodes yet.
     *
     * @param self this node
     */
    public HeartbeatPartners(PlannerChoice.Candidate self) {
        this.self = self;
    }

    /**
     * Records a heartbeat or a reply that came directly from a node.
     *
     * @param name name of the node
     * @param nowMillis current time
     */
    public void recordHeartbeat(String name, long nowMillis) {
        lastHeartbeatMillis.put(name, nowMillis);
    }

    /**
     * Returns whether this node is the delegate of its failure domain, as of the last call of {@link #choose}.
     *
     * @return true if no node that precedes it in the order of the domain is responsive
     */
    public boolean isDelegate() {
        return delegate;
    }

    /**
     * Returns whether this node is one of the few delegates that follow the VM entries in the store and pass the changes
     * on to the others, as of the last call of {@link #choose}. Calls to the store thus do not grow with the number of
     * failure domains.
     *
     * @return true if fewer than two responsive delegates precede it in the order of the domains
     */
    public boolean isStoreFollower() {
        return delegate && precedingDelegates < STORE_FOLLOWERS;
    }

    /**
     * Returns whether this node is the first of the delegates that follow the VM entries, as of the last call of
     * {@link #choose}. The others may rely on its updates, which heartbeats bring them several times a second.
     *
     * @return true if no responsive delegate precedes it in the order of the domains
     */
    public boolean isFirstStoreFollower() {
        return delegate && precedingDelegates == 0;
    }

    /**
     * Chooses the recipients of heartbeats, of a node that is not late itself.
     *
     * @param peers the other nodes
     * @param stopping names of the nodes that are shutting down
     * @param nowMillis current time
     * @return names of the recipients
     */
    public Set<String> choose(Collection<PlannerChoice.Candidate> peers, Set<String> stopping, long nowMillis) {
        return choose(peers, stopping, SUSPECT_MILLIS, nowMillis);
    }

    /**
     * Chooses the recipients of heartbeats.
     *
     * @param peers the other nodes
     * @param stopping names of the nodes that are shutting down
     * @param silenceMillis time without a heartbeat after which a node counts as unresponsive; longer than
     * {@link #SUSPECT_MILLIS} if this node is late
     * @param nowMillis current time
     * @return names of the recipients
     */
    public Set<String> choose(
            Collection<PlannerChoice.Candidate> peers, Set<String> stopping, long silenceMillis, long nowMillis) {
        suspectMillis = silenceMillis;
        lastHeartbeatMillis.values().removeIf(atMillis -> nowMillis - atMillis >= suspectMillis);
        Map<FailureDomainId, List<PlannerChoice.Candidate>> domains = new TreeMap<>();
        domains.computeIfAbsent(self.failureDomain(), domain -> new ArrayList<>())
                .add(self);
        for (PlannerChoice.Candidate peer : peers) {
            domains.computeIfAbsent(peer.failureDomain(), domain -> new ArrayList<>())
                    .add(peer);
        }
        Set<String> chosen = new HashSet<>();
        delegate = !chooseInDomain(domains.remove(self.failureDomain()), stopping, nowMillis, chosen);
        int preceding = 0;
        if (delegate) {
            for (List<PlannerChoice.Candidate> nodes : domains.values()) {
                FailureDomainId domain = nodes.getFirst().failureDomain();
                boolean responsive = chooseInDomain(nodes, stopping, nowMillis, chosen);
                preceding += responsive && domain.compareTo(self.failureDomain()) < 0 ? 1 : 0;
            }
        }
        precedingDelegates = preceding;
        contactedSinceMillis.keySet().retainAll(chosen);
        for (String name : chosen) {
            contactedSinceMillis.putIfAbsent(name, nowMillis);
        }
        return chosen;
    }

    /**
     * Returns the recipients that get a heartbeat in this period: the responsive ones, and some of the others in turn. A node to
     * which all others seem silent thus sends few more heartbeats than otherwise.
     *
     * @param nowMillis current time
     * @return names of recipients that {@link #choose} returned last
     */
    public Set<String> dueRecipients(long nowMillis) {
        Set<String> due = new HashSet<>();
        List<String> unresponsive = new ArrayList<>();
        for (String name : new TreeSet<>(contactedSinceMillis.keySet())) {
            if (isResponsive(name, nowMillis)) {
                due.add(name);
            } else {
                unresponsive.add(name);
            }
        }
        for (int i = 0; i < Math.min(UNRESPONSIVE_PER_PERIOD, unresponsive.size()); i++) {
            turn = (turn + 1) % unresponsive.size();
            due.add(unresponsive.get(turn));
        }
        return due;
    }

    /**
     * Adds the nodes of a failure domain to the recipients up to the first responsive one, or up to this node; returns
     * whether a responsive one was found.
     */
    private boolean chooseInDomain(
            List<PlannerChoice.Candidate> nodes, Set<String> stopping, long nowMillis, Set<String> chosen) {
        nodes.sort(PlannerChoice.order(nodes.getFirst().failureDomain()));
        for (PlannerChoice.Candidate node : nodes) {
            if (node.name().equals(self.name())) {
                return false;
            }
            chosen.add(node.name());
            if (!stopping.contains(node.name()) && isResponsive(node.name(), nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a node has sent a heartbeat recently, or was contacted too recently to have replied. */
    private boolean isResponsive(String name, long nowMillis) {
        long lastHeartbeatAtMillis = lastHeartbeatMillis.getOrDefault(name, Long.MIN_VALUE / 2);
        long contactedAtMillis = contactedSinceMillis.getOrDefault(name, nowMillis);
        return nowMillis - Math.max(lastHeartbeatAtMillis, contactedAtMillis) < suspectMillis;
    }
}
