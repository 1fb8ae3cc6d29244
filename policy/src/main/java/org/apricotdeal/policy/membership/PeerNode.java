package org.apricotdeal.policy.membership;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;

/**
 * Another node.
 *
 * @param node the node
 * @param failureDomain its failure domain
 */
public record PeerNode(NodeId node, FailureDomainId failureDomain) {}
