package org.apricotdeal.policy.admission;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * What another failure domain reports of one upstream.
 *
 * @param failureDomain the failure domain
 * @param upstream the upstream
 * @param freeStreams further requests that its nodes could start at once, over all of them
 * @param takenMillis monotonic time at this node that the report describes
 */
public record DomainLoad(FailureDomainId failureDomain, UpstreamId upstream, int freeStreams, long takenMillis) {}
