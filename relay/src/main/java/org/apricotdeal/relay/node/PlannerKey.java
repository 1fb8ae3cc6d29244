package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * What one planner plans.
 *
 * @param failureDomain the failure domain
 * @param upstream the upstream
 */
record PlannerKey(FailureDomainId failureDomain, UpstreamId upstream) {
    @Override
    public String toString() {
        return failureDomain + "/" + upstream;
    }
}
