package org.apricotdeal.policy.admission;

import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;

/**
 * Load of one class at one upstream, as reported by a different failure domain.
 *
 * @param failureDomain the reporting failure domain
 * @param upstream upstream that the report is about
 * @param classId class that the report is about
 * @param openStreams further requests of the class that its nodes could start soon, see {@link Dispatcher#openStreams}
 * @param asOfMillis time that the report describes, on this node's monotonic clock
 */
public record DomainLoad(
        FailureDomainId failureDomain, UpstreamId upstream, ClassId classId, int openStreams, long asOfMillis) {
    /**
     * Merges the reports of two nodes of one failure domain about the same class and upstream.
     *
     * @param other the other node's report
     * @return a report with the open streams of both and the time of the later one
     */
    public DomainLoad merge(DomainLoad other) {
        return new DomainLoad(
                failureDomain,
                upstream,
                classId,
                openStreams + other.openStreams,
                Math.max(asOfMillis, other.asOfMillis));
    }
}
