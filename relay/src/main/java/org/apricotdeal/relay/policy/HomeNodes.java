package org.apricotdeal.relay.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * Assigns a few home nodes to each target, which send most of its requests.
 *
 * <p>Load pattern: hundreds of targets with few slots each, and dozens of nodes whose counts of each other's requests
 * are several hundred milliseconds old. If every node used every target, most requests in progress at a target would
 * be unknown to the node that chooses it, and nearly every request would need a new connection. With few home nodes, a
 * node knows a large part of the requests at its targets itself, and keeps its connections to them.
 *
 * <p>Nodes are ranked for each target by rendezvous hashing, nodes of the target's failure domain first. A node or
 * target that comes or goes therefore changes only its own assignments.
 *
 * <p>Callers still reach the nodes of a failure domain that is being evacuated, while the targets of which these would be
 * home nodes get nothing. Each of these nodes counts as near to an equal part of the targets of each other failure domain,
 * so that all nodes have about as many home targets, and no caller is worse off by the node that it has reached.
 */
final class HomeNodes {
    /** Number of home nodes of a target; in a fleet of up to this many nodes, all nodes use all targets alike. */
    static final int COUNT = 4;

    /** Part of the free slots of a target that its home nodes share in a larger fleet; the others share the rest. */
    private static final double HOME_SHARE = 0.8;

    /** Part of the memory for large requests that belongs to the first home node. */
    private static final double FIRST_MEMORY_PART = 0.5;

    /** Number of targets per node from which a node often has several requests for a target in a heartbeat round. */
    private static final double MIN_TARGETS_PER_NODE = 0.5;

    /** Makes the choice of near targets independent of the ranks. */
    private static final String NEAR_SALT = "near/";

    private final FleetNode self;
    private List<FleetNode> nodes;
    private Set<FailureDomainId> evacuated = Set.of();

    /** Number of failure domains with nodes that are not being evacuated. */
    private int openDomains = 1;

    /**
     * Creates the assignment of a node that knows no other nodes yet.
     *
     * @param self this node
     */
    HomeNodes(FleetNode self) {
        this.self = self;
        this.nodes = List.of(self);
    }

    /** Sets the nodes of the fleet, including this one; returns false if they are the same as before. */
    boolean setNodes(List<FleetNode> current) {
        if (Set.copyOf(current).equals(Set.copyOf(nodes))) {
            return false;
        }
        nodes = List.copyOf(current);
        countOpenDomains();
        return true;
    }

    /** Sets the failure domains that the operator evacuates. */
    void setEvacuated(Set<FailureDomainId> domains) {
        evacuated = Set.copyOf(domains);
        countOpenDomains();
    }

    private void countOpenDomains() {
        openDomains = Math.max(1, (int) nodes.stream()
                .map(FleetNode::failureDomain)
                .filter(domain -> !evacuated.contains(domain))
                .distinct()
                .count());
    }

    /** Returns the number of home nodes of a target that precede this one; {@link #COUNT} if it is none. */
    int homeRank(Target target) {
        return preceding(order(target, evacuated));
    }

    /** Returns whether the node with a rank is a home node; in a small fleet all are. */
    boolean isHome(int homeRank) {
        return !areFew() || homeRank < COUNT;
    }

    /**
     * Returns the part of the memory for large requests of a target that belongs to this node. The parts of all nodes add up
     * to one. The first home node has half of it, so that a single request may be large.
     *
     * @param homeRank rank of this node among the home nodes of the target
     * @return part, above 0 and at most 1
     */
    double memoryPart(int homeRank) {
        if (nodes.size() == 1) {
            return 1;
        }
        if (homeRank == 0) {
            return FIRST_MEMORY_PART;
        }
        if (!areFew()) {
            return (1 - FIRST_MEMORY_PART) / (nodes.size() - 1);
        }
        return homeRank < COUNT
                ? (HOME_SHARE - FIRST_MEMORY_PART) / (COUNT - 1)
                : (1 - HOME_SHARE) / (nodes.size() - COUNT);
    }

    /**
     * Returns the number of nodes that precede this one among the home nodes of a target; {@link #COUNT} if it is none.
     * Evacuations are disregarded, so that nodes that have not heard of one give each node the same rank.
     */
    int rank(Target target) {
        return preceding(order(target, Set.of()));
    }

    /** Counts the nodes that precede this one, up to {@link #COUNT}. */
    private int preceding(Comparator<FleetNode> order) {
        int preceding = 0;
        for (FleetNode node : nodes) {
            if (order.compare(node, self) < 0 && ++preceding >= COUNT) {
                return COUNT;
            }
        }
        return preceding;
    }

    /** Returns whether only some of the nodes are home nodes of a target. */
    boolean areFew() {
        return nodes.size() > COUNT;
    }

    /**
     * Returns which of a target's free slots this node may use in a heartbeat round. The parts of all nodes add up to one,
     * so that together they do not send more requests than there are slots.
     *
     * <p>Where nodes are many and targets few, a node seldom has a request for a target in a round, and its part would be a
     * small fraction of a request: callers would be refused while slots are free. There the home nodes share the free slots
     * among them, and the others as well.
     *
     * @param home whether this node is a home node of the target
     * @param targets number of targets that serve the same requests and are not being evacuated
     * @return this node's share
     */
    SlotShare slotShare(boolean home, int targets) {
        int count = nodes.size();
        if (!areFew()) {
            return SlotShare.amongAll(count);
        }
        if (targets < count * MIN_TARGETS_PER_NODE) {
            return SlotShare.amongAll(home ? COUNT : count);
        }
        return home
                ? SlotShare.ofHomeNode(HOME_SHARE / COUNT)
                : SlotShare.ofOtherNode((1 - HOME_SHARE) / (count - COUNT));
    }

    private Comparator<FleetNode> order(Target target, Set<FailureDomainId> withoutTargets) {
        return Comparator.comparing((FleetNode node) -> !isNear(node, target, withoutTargets))
                .thenComparingLong(node -> hash(node.name(), target))
                .thenComparing(FleetNode::name);
    }

    private boolean isNear(FleetNode node, Target target, Set<FailureDomainId> withoutTargets) {
        if (node.failureDomain().equals(target.failureDomain())) {
            return true;
        }
        return withoutTargets.contains(node.failureDomain())
                && Math.floorMod(hash(NEAR_SALT + node.name(), target), openDomains) == 0;
    }

    private static long hash(String node, Target target) {
        return Hashing.komihash4_3()
                .hashCharsToLong(node + "/" + target.id().vm().value() + "/"
                        + target.id().epoch());
    }
}
