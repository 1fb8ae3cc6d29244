package org.apricotdeal.policy.limits;

import java.util.List;

import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.policy.routing.PrefixHash;
import org.apricotdeal.policy.routing.TargetId;

/**
 * Splits a target's streams between the nodes of its failure domain, so that all nodes together keep within them without a
 * message. Every node computes the same split from the same set of nodes; what is left over after equal parts goes to
 * nodes chosen by a hash of the target, so that the remainders of many targets spread over all nodes.
 */
public final class CapacitySplit {
    private CapacitySplit() {}

    /**
     * Computes one node's part.
     *
     * @param streams streams of the target over all nodes
     * @param target the target
     * @param nodes serving nodes of the failure domain, sorted
     * @param self one of them
     * @return streams that the node may use; the parts of all nodes add up to {@code streams}
     */
    public static int partOf(int streams, TargetId target, List<NodeId> nodes, NodeId self) {
        int index = nodes.indexOf(self);
        if (index < 0) {
            return 0;
        }
        int first = (int) Long.remainderUnsigned(PrefixHash.mix(PrefixHash.of(target.value())), nodes.size());
        int rank = Math.floorMod(index - first, nodes.size());
        return streams / nodes.size() + (rank < streams % nodes.size() ? 1 : 0);
    }
}
