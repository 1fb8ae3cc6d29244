package org.apricotdeal.node.dispatch;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.policy.admission.RefusalReason;
import org.apricotdeal.policy.routing.TargetId;

/** Receives the dispatcher's decisions on one request. The methods run on the dispatcher's thread and must not block. */
public interface DispatchListener {
    /**
     * The request is dispatched to a target.
     *
     * @param target the replica or VM that is to serve the request
     */
    void dispatched(TargetId target);

    /**
     * The request is refused and did not run; the dispatcher no longer tracks it.
     *
     * @param reason the reason for the refusal
     * @param retryAfterMillis time after which a retry can succeed; 0 if it cannot
     */
    void refused(RefusalReason reason, long retryAfterMillis);

    /**
     * No further attempt is made; the dispatcher no longer tracks the request.
     *
     * @param reason the reason for giving up
     * @param mayHaveRun whether an attempt may have run at the upstream
     */
    void gaveUp(RefusalReason reason, boolean mayHaveRun);

    /** The request is preempted by a more urgent one and is dispatched again later. */
    void preempted();

    /**
     * The request is forwarded to a different failure domain.
     *
     * @param failureDomain the failure domain, of which the listener chooses a node
     */
    void forwarded(FailureDomainId failureDomain);
}
