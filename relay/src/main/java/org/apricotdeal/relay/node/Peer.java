package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.peer.PlannerChoice;

/**
 * A different node, as registered in the store.
 *
 * @param name name of the node
 * @param failureDomain failure domain of the node
 * @param address host and port to which heartbeats are sent
 * @param startedMillis start time of the node; a different value means that the node has restarted
 * @param cores cores of usual speed that the node may use
 */
record Peer(String name, FailureDomainId failureDomain, String address, long startedMillis, double cores) {
    /** Creates a node with a core of its own. */
    Peer(String name, FailureDomainId failureDomain, String address, long startedMillis) {
        this(name, failureDomain, address, startedMillis, 1);
    }

    PlannerChoice.Candidate candidate() {
        return new PlannerChoice.Candidate(name, failureDomain, cores);
    }
}
