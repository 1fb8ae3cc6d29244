package org.apricotdeal.policy.admission;

/** Why a request is not served. */
public enum RefusalReason {
    /** The catalogue does not know the caller, the class or the upstream, or does not allow the combination. */
    NOT_ALLOWED,
    /** The caller's limits are used up. */
    LIMIT,
    /** The caller's part of the queue is full. */
    QUEUE_FULL,
    /** The predicted wait exceeds the time in which the request has to start. */
    PREDICTED_LATE,
    /** The request waited until it could no longer start in time. */
    EXPIRED,
    /** No target of the upstream can be reached. */
    NO_CAPACITY,
    /** Repeated attempts failed, and the retry budget or the number of attempts is spent. */
    ATTEMPTS_SPENT
}
