package org.apricotdeal.node.dispatch;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.policy.admission.RefusalReason;
import org.apricotdeal.policy.routing.TargetId;

/** Takes the dispatcher's decisions on one request. Called on the dispatcher's thread; must hand on without blocking. */
public interface DispatchListener {
    /**
     * The request goes to a target now.
     *
     * @param target the target
     */
    void dispatched(TargetId target);

    /**
     * The request is not served and did not run; the dispatcher has forgotten it.
     *
     * @param reason why
     * @param retryAfterMillis when a retry can help; 0 where it cannot
     */
    void refused(RefusalReason reason, long retryAfterMillis);

    /**
     * No further attempt is made; the dispatcher has forgotten the request.
     *
     * @param reason why
     * @param mayHaveRun whether an attempt may have run
     */
    void gaveUp(RefusalReason reason, boolean mayHaveRun);

    /** The request makes room for a more urgent one and is dispatched again later. */
    void preempted();

    /**
     * The request goes to a node of another failure domain.
     *
     * @param failureDomain the failure domain
     */
    void forwarded(FailureDomainId failureDomain);
}
