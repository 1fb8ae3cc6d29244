package org.apricotdeal.policy.spread;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;

/**
 * Chooses the nodes of a failure domain that watch the platform, by rendezvous hashing. Nodes with the same set of live
 * nodes choose the same watchers, and a failed watcher is replaced without changing the others.
 */
public final class WatcherChoice {
    private WatcherChoice() {}

    /**
     * Chooses the watchers of a failure domain.
     *
     * @param live live nodes of all failure domains
     * @param failureDomain failure domain to choose from
     * @param watchers number of watchers wanted
     * @return the chosen nodes; fewer than wanted if the failure domain has fewer live nodes
     */
    public static List<NodeId> choose(Collection<PeerRef> live, FailureDomainId failureDomain, int watchers) {
        List<NodeId> nodes = new ArrayList<>();
        for (PeerRef peer : live) {
            if (peer.failureDomain().equals(failureDomain)) {
                nodes.add(peer.node());
            }
        }
        nodes.sort(Comparator.comparingLong(WatcherChoice::weight).thenComparing(node -> node));
        return List.copyOf(nodes.subList(0, Math.min(watchers, nodes.size())));
    }

    private static long weight(NodeId node) {
        return Hashing.wyhashFinal4().hashCharsToLong("catalogue-watcher/" + node);
    }
}
