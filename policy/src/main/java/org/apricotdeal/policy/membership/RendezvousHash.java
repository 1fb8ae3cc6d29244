package org.apricotdeal.policy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.kernel.id.NodeId;

/**
 * Selects nodes for a key by rendezvous hashing. All nodes with the same list of nodes make the same selection, and when a
 * node is added or removed, only the keys assigned to that node are reassigned.
 */
final class RendezvousHash {
    private static final Hasher64 HASHER = Hashing.wyhashFinal4();

    private RendezvousHash() {}

    /** Returns up to {@code count} nodes, highest rank first. */
    static List<NodeId> select(String key, Collection<NodeId> nodes, int count) {
        List<NodeId> ranked = new ArrayList<>(nodes);
        ranked.sort(
                Comparator.comparingLong((NodeId node) -> score(key, node)).thenComparing(Comparator.naturalOrder()));
        return ranked.subList(0, Math.min(count, ranked.size()));
    }

    private static long score(String key, NodeId node) {
        return HASHER.hashStream().putString(key).putString(node.value()).getAsLong();
    }
}
