package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * A different node, as registered in the store.
 *
 * @param name name of the node
 * @param failureDomain failure domain of the node
 * @param address host and port to which heartbeats are sent
 * @param startedMillis start time of the node; a different value means that the node has restarted
 */
record Peer(String name, FailureDomainId failureDomain, String address, long startedMillis) {}
