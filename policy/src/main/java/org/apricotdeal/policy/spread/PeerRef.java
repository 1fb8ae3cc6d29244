package org.apricotdeal.policy.spread;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;

/**
 * A live node and its location.
 *
 * @param node id of the node
 * @param failureDomain failure domain that the node runs in
 */
public record PeerRef(NodeId node, FailureDomainId failureDomain) {}
