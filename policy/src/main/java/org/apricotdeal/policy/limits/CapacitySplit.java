package org.apricotdeal.policy.limits;

import java.util.List;

import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.policy.routing.PrefixHash;
import org.apricotdeal.policy.routing.TargetId;

/**
 * Splits a target's streams between the nodes of its failure domain, so that all nodes together stay within the target's
 * capacity without exchanging messages. Every node computes the same split from the same set of nodes. The remainder of the
 * equal split is assigned by a hash of the target, so that the remainders of many targets are spread over all nodes.
 */
public final class CapacitySplit {
    private CapacitySplit() {}

    /**
     * Computes the number of streams assigned to one node.
     *
     * @param streams streams of the target over all nodes
     * @param target target whose streams are split
     * @param nodes serving nodes of the failure domain, sorted
     * @param self node to compute the number for
     * @return streams that the node may use, 0 if it is not among the nodes; the numbers of all nodes add up to
     *     {@code streams}
     */
    public static int streamsOf(int streams, TargetId target, List<NodeId> nodes, NodeId self) {
        int index = nodes.indexOf(self);
        if (index < 0) {
            return 0;
        }
        int first = (int) Long.remainderUnsigned(PrefixHash.mix(PrefixHash.of(target.value())), nodes.size());
        int rank = Math.floorMod(index - first, nodes.size());
        return streams / nodes.size() + (rank < streams % nodes.size() ? 1 : 0);
    }
}
