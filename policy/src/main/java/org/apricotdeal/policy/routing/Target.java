package org.apricotdeal.policy.routing;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * A replica or service VM to which a node can dispatch requests.
 *
 * @param id identifies the replica's generation or the VM
 * @param upstream upstream that the target serves
 * @param failureDomain failure domain in which the target runs
 * @param maxStreams requests that this node may have in progress there: its share of the target's capacity
 * @param health health as reported by membership
 */
public record Target(
        TargetId id, UpstreamId upstream, FailureDomainId failureDomain, int maxStreams, TargetHealth health) {}
