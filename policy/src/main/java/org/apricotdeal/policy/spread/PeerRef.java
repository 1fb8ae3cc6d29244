package org.apricotdeal.policy.spread;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;

/**
 * A live node.
 *
 * @param node the node
 * @param failureDomain its failure domain
 */
public record PeerRef(NodeId node, FailureDomainId failureDomain) {}
