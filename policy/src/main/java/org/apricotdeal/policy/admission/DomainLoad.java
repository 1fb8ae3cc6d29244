package org.apricotdeal.policy.admission;

import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * What another failure domain reports of one class at one upstream.
 *
 * @param failureDomain the failure domain
 * @param upstream the upstream
 * @param classId the class
 * @param openStreams further requests of the class that its nodes could start soon, see {@link Dispatcher#openStreams}
 * @param takenMillis monotonic time at this node that the report describes
 */
public record DomainLoad(
        FailureDomainId failureDomain, UpstreamId upstream, ClassId classId, int openStreams, long takenMillis) {
    /**
     * Joins the reports of two nodes of one failure domain on the same class and upstream.
     *
     * @param other the other node's report
     * @return the open streams of both, taken when the later one was
     */
    public DomainLoad plus(DomainLoad other) {
        return new DomainLoad(
                failureDomain,
                upstream,
                classId,
                openStreams + other.openStreams,
                Math.max(takenMillis, other.takenMillis));
    }
}
