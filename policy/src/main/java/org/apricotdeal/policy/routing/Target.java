package org.apricotdeal.policy.routing;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * A replica or service VM as a node sees it.
 *
 * @param id the target
 * @param upstream the upstream that it serves
 * @param failureDomain the target's failure domain
 * @param maxStreams requests in progress that this node may have there; its part of the target's whole capacity
 * @param health what membership says of it
 */
public record Target(
        TargetId id, UpstreamId upstream, FailureDomainId failureDomain, int maxStreams, TargetHealth health) {}
