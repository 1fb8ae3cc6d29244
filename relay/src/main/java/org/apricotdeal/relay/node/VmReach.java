package org.apricotdeal.relay.node;

import org.apricotdeal.relay.policy.QueueId;

/** What a node knows of its links to the VMs, and of the nodes that may reach them instead. */
interface VmReach {
    /** Returns whether VMs are listed that serve a queue, even if this node does not reach them. */
    boolean isListed(QueueId queue);

    /** Returns whether other nodes reach most VMs and this node does not. */
    boolean isIsolated();

    /** Returns the current snapshot of the other nodes. */
    PeerSnapshot peerSnapshot();
}
