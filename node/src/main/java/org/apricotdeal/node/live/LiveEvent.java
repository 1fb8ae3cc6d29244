package org.apricotdeal.node.live;

import org.apricotdeal.engine.ServiceOutcome;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.policy.admission.RefusalReason;
import org.apricotdeal.policy.claims.ClaimAction;
import org.apricotdeal.policy.routing.TargetId;
import org.apricotdeal.policy.stream.StreamEvent;

/** What a request in progress is told. */
public sealed interface LiveEvent {
    /** The dispatcher sends the request to a target. */
    record Dispatched(TargetId target) implements LiveEvent {}

    /** The dispatcher refuses the request; it did not run. */
    record Refused(RefusalReason reason, long retryAfterMillis) implements LiveEvent {}

    /** The dispatcher makes no further attempt. */
    record GaveUp(RefusalReason reason, boolean mayHaveRun) implements LiveEvent {}

    /** The request makes room for a more urgent one. */
    record Preempted() implements LiveEvent {}

    /** The request goes to another failure domain. */
    record Forwarded(FailureDomainId failureDomain) implements LiveEvent {}

    /** Something happened to the token stream. */
    record OfStream(StreamEvent event) implements LiveEvent {}

    /** An attempt at a plain service ended. */
    record Outcome(int attempt, ServiceOutcome outcome) implements LiveEvent {}

    /** A forwarded call ended. */
    record ForwardOutcome(ServiceOutcome outcome) implements LiveEvent {}

    /** The claims journal has decided on the request. */
    record Claimed(ClaimAction decision) implements LiveEvent {}

    /** The caller has gone. */
    record CallerGone() implements LiveEvent {}

    /** Time has passed. */
    record Tick() implements LiveEvent {}
}
