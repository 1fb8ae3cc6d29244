package org.apricotdeal.node.live;

import org.apricotdeal.engine.ServiceOutcome;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.policy.admission.RefusalReason;
import org.apricotdeal.policy.claims.ClaimAction;
import org.apricotdeal.policy.routing.TargetId;
import org.apricotdeal.policy.stream.StreamEvent;

/** Events of a request in progress. */
public sealed interface LiveEvent {
    /** The dispatcher dispatched the request to a target. */
    record Dispatched(TargetId target) implements LiveEvent {}

    /** The dispatcher refused the request; it did not run. */
    record Refused(RefusalReason reason, long retryAfterMillis) implements LiveEvent {}

    /** The dispatcher allows no further attempt. */
    record GaveUp(RefusalReason reason, boolean mayHaveRun) implements LiveEvent {}

    /** The request was preempted by a more urgent one. */
    record Preempted() implements LiveEvent {}

    /** The dispatcher forwarded the request to a different failure domain. */
    record Forwarded(FailureDomainId failureDomain) implements LiveEvent {}

    /** An event for the state machine of the token stream. */
    record StreamUpdate(StreamEvent event) implements LiveEvent {}

    /** An attempt to call a plain service ended. */
    record AttemptEnded(int attempt, ServiceOutcome outcome) implements LiveEvent {}

    /** A forwarded call ended. */
    record ForwardEnded(ServiceOutcome outcome) implements LiveEvent {}

    /** The claims journal decided on the request's idempotency key. */
    record ClaimDecided(ClaimAction decision) implements LiveEvent {}

    /** The caller disconnected. */
    record CallerGone() implements LiveEvent {}

    /** The periodic tick of the duty. */
    record Tick() implements LiveEvent {}
}
