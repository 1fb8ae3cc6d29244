package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * Identifies the scope of a planner: an upstream within a failure domain.
 *
 * @param failureDomain the failure domain
 * @param upstream the upstream whose replicas are planned
 */
record PlannerKey(FailureDomainId failureDomain, UpstreamId upstream) {
    @Override
    public String toString() {
        return failureDomain + "/" + upstream;
    }
}
