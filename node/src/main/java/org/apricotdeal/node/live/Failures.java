package org.apricotdeal.node.live;

import org.apricotdeal.node.caller.Failure;
import org.apricotdeal.node.caller.FailureCode;
import org.apricotdeal.node.caller.Outcome;
import org.apricotdeal.policy.admission.RefusalReason;
import org.apricotdeal.policy.claims.ClaimRefusal;

/** Maps the reasons of refusals to the failures that callers receive. */
final class Failures {
    private Failures() {}

    static Failure of(RefusalReason reason, long retryAfterMillis) {
        return switch (reason) {
            case NOT_ALLOWED ->
                Failure.notRun(403, FailureCode.FORBIDDEN, "the catalogue does not allow this combination");
            case LIMIT ->
                Failure.retryLater(429, FailureCode.LIMIT_REACHED, "the caller's limit is used up", retryAfterMillis);
            case QUEUE_FULL ->
                Failure.retryLater(
                        503, FailureCode.QUEUE_FULL, "the caller's part of the queue is full", retryAfterMillis);
            case PREDICTED_LATE, EXPIRED ->
                Failure.retryLater(
                        503, FailureCode.NO_CAPACITY_IN_TIME, "no capacity before the deadline", retryAfterMillis);
            case NO_CAPACITY ->
                Failure.retryLater(503, FailureCode.NO_UPSTREAM, "no upstream can be reached", retryAfterMillis);
            case ATTEMPTS_SPENT ->
                Failure.retryLater(503, FailureCode.NO_UPSTREAM, "all attempts failed", retryAfterMillis);
        };
    }

    static Failure of(ClaimRefusal reason, long retryAfterMillis) {
        return switch (reason) {
            case PLATFORM_AWAY, JOURNAL_FULL, JOURNAL_UNREADABLE ->
                Failure.retryLater(
                        503, FailureCode.CLAIM_UNAVAILABLE, "the idempotency key cannot be recorded", retryAfterMillis);
            case KEY_REUSED ->
                Failure.notRun(422, FailureCode.KEY_REUSED, "the idempotency key was used for another request");
            case IN_PROGRESS ->
                new Failure(
                        409,
                        FailureCode.IN_PROGRESS,
                        "an earlier request with this idempotency key is in progress",
                        Outcome.UNKNOWN,
                        retryAfterMillis);
            case OUTCOME_UNKNOWN ->
                Failure.unknown(
                        502, FailureCode.UPSTREAM_FAILED, "an earlier request with this idempotency key may have run");
            case ALREADY_RUN ->
                Failure.unknown(
                        409,
                        FailureCode.ALREADY_RUN,
                        "an earlier request with this idempotency key has run; its answer is not kept");
        };
    }
}
