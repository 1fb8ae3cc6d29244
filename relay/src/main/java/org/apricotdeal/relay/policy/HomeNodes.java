package org.apricotdeal.relay.policy;

import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;

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
 */
final class HomeNodes {
    /** Number of home nodes of a target; in a fleet of up to this many nodes, all nodes use all targets alike. */
    static final int COUNT = 4;

    /** Part of the free slots of a target that its home nodes share in a larger fleet; the others share the rest. */
    private static final double HOME_SHARE = 0.8;

    /** Number of targets per node from which a node often has several requests for a target in a heartbeat round. */
    private static final double MIN_TARGETS_PER_NODE = 0.5;

    private final FleetNode self;
    private List<FleetNode> nodes;

    /**
     * Creates the assignment of a node that knows no other nodes yet.
     *
     * @param self this node
     */
    HomeNodes(FleetNode self) {
        this.self = self;
        this.nodes = List.of(self);
    }

    /** Sets the nodes of the fleet, including this one. */
    void setNodes(List<FleetNode> changed) {
        nodes = List.copyOf(changed);
    }

    /** Returns whether the node with a rank is a home node; in a small fleet all are. */
    boolean isHome(int rank) {
        return !areFew() || rank < COUNT;
    }

    /** Returns the number of nodes that precede this one among the home nodes of a target; {@link #COUNT} if it is none. */
    int rank(Target target) {
        Comparator<FleetNode> order = order(target);
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
     * @param targets number of targets that serve the same requests
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

    private static Comparator<FleetNode> order(Target target) {
        return Comparator.comparing((FleetNode node) -> !node.failureDomain().equals(target.failureDomain()))
                .thenComparingLong(node -> rank(node, target))
                .thenComparing(FleetNode::name);
    }

    private static long rank(FleetNode node, Target target) {
        return Hashing.komihash4_3()
                .hashCharsToLong(node.name() + "/" + target.id().vm().value() + "/"
                        + target.id().epoch());
    }
}
