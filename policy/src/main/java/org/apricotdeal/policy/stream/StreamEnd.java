package org.apricotdeal.policy.stream;

/** Why a token stream ended before its answer was whole. */
public enum StreamEnd {
    /** No attempt was ever opened: the request did not run. */
    NOT_RUN,
    /** No replica was left to resume on. */
    NO_REPLICA,
    /** Every attempt that was allowed has failed. */
    ATTEMPTS_USED_UP,
    /** The deadline passed. */
    DEADLINE,
    /** The caller left. */
    CANCELLED
}
