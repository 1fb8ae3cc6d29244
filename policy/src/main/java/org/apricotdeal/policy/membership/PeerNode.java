package org.apricotdeal.policy.membership;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;

/**
 * A node other than this one.
 *
 * @param node id of the node
 * @param failureDomain failure domain of the node
 */
public record PeerNode(NodeId node, FailureDomainId failureDomain) {}
