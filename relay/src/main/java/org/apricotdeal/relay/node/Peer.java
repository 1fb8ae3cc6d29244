package org.apricotdeal.relay.node;

import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * A different node, as registered in the store.
 *
 * @param name name of the node
 * @param failureDomain failure domain of the node
 * @param address host and port to which heartbeats are sent
 * @param startedMillis start time of the node; a different value means that the node has restarted
 * @param callerAddress host and port to which requests can be handed over; empty if the node takes none
 */
record Peer(
        String name,
        FailureDomainId failureDomain,
        String address,
        long startedMillis,
        Optional<String> callerAddress) {
    /** Creates a node that takes no requests from others. */
    Peer(String name, FailureDomainId failureDomain, String address, long startedMillis) {
        this(name, failureDomain, address, startedMillis, Optional.empty());
    }
}
