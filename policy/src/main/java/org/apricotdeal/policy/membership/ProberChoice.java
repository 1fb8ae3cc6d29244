package org.apricotdeal.policy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.kernel.id.NodeId;

/**
 * Chooses a few nodes for a matter by rendezvous hashing: all nodes that know the same nodes choose the same ones, and
 * when a node comes or goes only its own share moves.
 */
final class ProberChoice {
    private static final Hasher64 HASHER = Hashing.wyhashFinal4();

    private ProberChoice() {}

    /** Returns the chosen nodes, best first; all of them where there are no more than {@code count}. */
    static List<NodeId> choose(String matter, Collection<NodeId> nodes, int count) {
        List<NodeId> ranked = new ArrayList<>(nodes);
        ranked.sort(Comparator.comparingLong((NodeId node) -> score(matter, node))
                .thenComparing(Comparator.naturalOrder()));
        return ranked.subList(0, Math.min(count, ranked.size()));
    }

    private static long score(String matter, NodeId node) {
        return HASHER.hashStream().putString(matter).putString(node.value()).getAsLong();
    }
}
