package org.apricotdeal.node.live;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.node.dispatch.DispatchListener;
import org.apricotdeal.policy.admission.RefusalReason;
import org.apricotdeal.policy.routing.TargetId;

/** A request in progress. All its events are handled on the thread of its duty, one at a time. */
abstract class LiveRequest implements DispatchListener {
    private final LiveDuty duty;
    private boolean ended;

    LiveRequest(LiveDuty duty) {
        this.duty = duty;
    }

    /** Handles an event; not called after the request has ended. */
    abstract void handle(LiveEvent event);

    final boolean hasEnded() {
        return ended;
    }

    /** Marks the request as ended; its duty then removes it. */
    final void end() {
        ended = true;
    }

    final LiveDuty duty() {
        return duty;
    }

    @Override
    public void dispatched(TargetId target) {
        duty.postNotice(this, new LiveEvent.Dispatched(target));
    }

    @Override
    public void refused(RefusalReason reason, long retryAfterMillis) {
        duty.postNotice(this, new LiveEvent.Refused(reason, retryAfterMillis));
    }

    @Override
    public void gaveUp(RefusalReason reason, boolean mayHaveRun) {
        duty.postNotice(this, new LiveEvent.GaveUp(reason, mayHaveRun));
    }

    @Override
    public void preempted() {
        duty.postNotice(this, new LiveEvent.Preempted());
    }

    @Override
    public void forwarded(FailureDomainId failureDomain) {
        duty.postNotice(this, new LiveEvent.Forwarded(failureDomain));
    }
}
