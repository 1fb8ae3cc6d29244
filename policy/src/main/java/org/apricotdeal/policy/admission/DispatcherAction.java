package org.apricotdeal.policy.admission;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.policy.limits.ShareMessage;
import org.apricotdeal.policy.routing.TargetId;

/** What the dispatcher wants done. Actions are carried out in order. */
public sealed interface DispatcherAction {
    /**
     * Send a request to a target; it goes on after the tokens so far.
     *
     * @param request the request
     * @param target the target
     * @param attempt 1 for the first attempt
     */
    record Dispatch(RequestId request, TargetId target, int attempt) implements DispatcherAction {}

    /**
     * Answer a request as not run: it certainly did not. The dispatcher has forgotten it.
     *
     * @param request the request
     * @param reason why
     * @param retryAfterMillis time after which a retry can help; 0 where none can
     */
    record Refuse(RequestId request, RefusalReason reason, long retryAfterMillis) implements DispatcherAction {}

    /**
     * End a request that was dispatched before: its attempts ended and no further one will be made. The dispatcher has
     * forgotten it.
     *
     * @param request the request
     * @param reason why
     * @param mayHaveRun false where every attempt ended with {@link FinishOutcome#NOT_STARTED}
     */
    record GiveUp(RequestId request, RefusalReason reason, boolean mayHaveRun) implements DispatcherAction {}

    /**
     * Cancel a stream at its target and keep its tokens; the request waits again and is dispatched anew later. No
     * {@link DispatcherEvent.Finished} follows for the paused attempt.
     *
     * @param request the request
     * @param target the target
     */
    record Preempt(RequestId request, TargetId target) implements DispatcherAction {}

    /**
     * Hand a request to a node of another failure domain, with one hop more. {@link DispatcherEvent.Finished} follows when
     * it has ended there.
     *
     * @param request the request
     * @param failureDomain the failure domain
     */
    record Forward(RequestId request, FailureDomainId failureDomain) implements DispatcherAction {}

    /**
     * Send another node a message about shares of callers' limits. It may be lost.
     *
     * @param to the node
     * @param message the message
     */
    record SendShare(NodeId to, ShareMessage message) implements DispatcherAction {}

    /**
     * Put a change of state on the time line.
     *
     * @param message the message
     * @param text the message's text, filled in
     */
    record Note(Message message, String text) implements DispatcherAction {}
}
