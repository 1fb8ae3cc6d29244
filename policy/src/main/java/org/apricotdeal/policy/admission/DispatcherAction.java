package org.apricotdeal.policy.admission;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.policy.limits.ShareMessage;
import org.apricotdeal.policy.routing.TargetId;

/** Actions that the dispatcher requests of its owner, which carries them out in order. */
public sealed interface DispatcherAction {
    /**
     * Send a request to a target, which continues after the tokens generated so far.
     *
     * @param request the request
     * @param target the target
     * @param attempt 1 for the first attempt
     */
    record Dispatch(RequestId request, TargetId target, int attempt) implements DispatcherAction {}

    /**
     * Answer a request as not run. It certainly did not run, and the dispatcher no longer tracks it.
     *
     * @param request the request
     * @param reason reason given to the caller
     * @param retryAfterMillis time after which a retry may succeed; 0 if no retry can
     */
    record Refuse(RequestId request, RefusalReason reason, long retryAfterMillis) implements DispatcherAction {}

    /**
     * End a request that was dispatched before: its attempts have failed and no further attempt is made. The dispatcher no
     * longer tracks it.
     *
     * @param request the request
     * @param reason reason given to the caller
     * @param mayHaveRun false if every attempt ended with {@link FinishOutcome#NOT_STARTED}
     */
    record GiveUp(RequestId request, RefusalReason reason, boolean mayHaveRun) implements DispatcherAction {}

    /**
     * Cancel a stream at its target and keep its tokens. The request is queued again and dispatched later. No
     * {@link DispatcherEvent.Finished} is expected for the cancelled attempt.
     *
     * @param request the request
     * @param target target that runs the stream
     */
    record Preempt(RequestId request, TargetId target) implements DispatcherAction {}

    /**
     * Forward a request to a node of a different failure domain, with its hop count increased by one. The owner sends
     * {@link DispatcherEvent.Finished} when the request has ended there.
     *
     * @param request the request
     * @param failureDomain the receiving failure domain
     */
    record Forward(RequestId request, FailureDomainId failureDomain) implements DispatcherAction {}

    /**
     * Send a message about shares of callers' limits to a different node. The message may be lost.
     *
     * @param to the receiving node
     * @param message the message
     */
    record SendShare(NodeId to, ShareMessage message) implements DispatcherAction {}

    /**
     * Record a change of state in the node's event timeline.
     *
     * @param message message that identifies the event
     * @param text the formatted text of the message
     */
    record RecordEvent(Message message, String text) implements DispatcherAction {}
}
