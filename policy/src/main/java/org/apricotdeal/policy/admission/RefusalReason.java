package org.apricotdeal.policy.admission;

/** Reasons for which a request is not served. */
public enum RefusalReason {
    /** The caller, the class or the upstream is not in the catalogue, or the combination is not allowed. */
    NOT_ALLOWED,
    /** The caller has reached one of its limits. */
    LIMIT,
    /** The caller's share of the queue is full. */
    QUEUE_FULL,
    /** The predicted wait exceeds the time in which the request must start. */
    PREDICTED_LATE,
    /** The request can no longer start in time, or its deadline or the maximum number of attempts was reached. */
    EXPIRED,
    /** The upstream has no reachable target. */
    NO_CAPACITY,
    /** An attempt failed and must not be repeated, or the retry budget is exhausted. */
    ATTEMPTS_SPENT
}
