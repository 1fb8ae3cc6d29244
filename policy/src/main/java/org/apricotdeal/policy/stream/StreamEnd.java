package org.apricotdeal.policy.stream;

/** Reasons for which a token stream ended before its answer was complete. */
public enum StreamEnd {
    /** No attempt was opened; the request did not run. */
    NOT_RUN,
    /** No replica was available to resume on. */
    NO_REPLICA,
    /** All allowed attempts have failed, or the retry budget is exhausted. */
    ATTEMPTS_USED_UP,
    /** The deadline passed. */
    DEADLINE,
    /** The caller disconnected. */
    CANCELLED
}
