package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The other nodes as the fleet duty knows them, for other threads.
 *
 * @param peers nodes that are registered or heard
 * @param stopping names of those that stop
 * @param heardMillis time at which each was last heard, by this node or another
 */
record Neighbours(List<Peer> peers, Set<String> stopping, Map<String, Long> heardMillis) {}
