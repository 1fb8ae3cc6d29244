package org.apricotdeal.relay.policy;

import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * A node of the fleet, as the dispatcher knows it.
 *
 * @param name unique name of the node
 * @param failureDomain failure domain of the node
 */
public record FleetNode(String name, FailureDomainId failureDomain) {}
