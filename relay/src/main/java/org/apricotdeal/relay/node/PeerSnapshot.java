package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Immutable snapshot of what the fleet duty knows of the other nodes, for use by other threads.
 *
 * @param peers nodes that are registered in the store or have sent heartbeats
 * @param stopping names of the nodes that are shutting down
 * @param lastHeardMillis time of the last heartbeat of each node, received by this node or by a different one
 */
record PeerSnapshot(List<Peer> peers, Set<String> stopping, Map<String, Long> lastHeardMillis) {
    /** Returns the nodes that were heard less than a given time ago. */
    List<FleetEvent.NodeSeen> seenWithin(long millis, long nowMillis) {
        List<FleetEvent.NodeSeen> nodes = new ArrayList<>();
        lastHeardMillis.forEach((name, atMillis) -> {
            if (nowMillis - atMillis < millis) {
                nodes.add(new FleetEvent.NodeSeen(name, atMillis, stopping.contains(name)));
            }
        });
        return nodes;
    }
}
