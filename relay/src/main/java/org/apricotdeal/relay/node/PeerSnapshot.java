package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.relay.peer.HeardNodes;

/**
 * Immutable snapshot of what the fleet duty knows of the other nodes, for use by other threads.
 *
 * @param peers nodes that are registered in the store or have sent heartbeats
 * @param stopping names of the nodes that are shutting down
 * @param heard last heartbeat of each node, received by this node or by a different one
 */
record PeerSnapshot(List<Peer> peers, Set<String> stopping, Map<String, HeardNodes.Heard> heard) {
    /** Returns the nodes that were heard less than a given time ago. */
    List<FleetEvent.NodeSeen> seenWithin(long millis, long nowMillis) {
        List<FleetEvent.NodeSeen> nodes = new ArrayList<>();
        heard.forEach((name, heartbeat) -> {
            if (nowMillis - heartbeat.atMillis() < millis) {
                nodes.add(new FleetEvent.NodeSeen(name, heartbeat, stopping.contains(name)));
            }
        });
        return nodes;
    }
}
