package org.apricotdeal.node.caller;

import java.util.Locale;

/** Machine-readable reasons for failures that the node reports. */
public enum FailureCode {
    /** The request is malformed. */
    BAD_REQUEST,
    /** The caller's key is missing or unknown. */
    UNAUTHORISED,
    /** The caller may not use the class or upstream. */
    FORBIDDEN,
    /** The upstream or path does not exist. */
    NOT_FOUND,
    /** The body exceeds the limit. */
    TOO_LARGE,
    /** The body did not arrive in time. */
    BODY_TIMEOUT,
    /** A limit of the caller is reached. */
    LIMIT_REACHED,
    /** The request cannot be answered by its deadline. */
    NO_CAPACITY_IN_TIME,
    /** The queue is full. */
    QUEUE_FULL,
    /** No upstream can serve the request. */
    NO_UPSTREAM,
    /** The platform is unreachable, so the claim of an idempotency key cannot be recorded. */
    CLAIM_UNAVAILABLE,
    /** A request with the same idempotency key is in progress. */
    IN_PROGRESS,
    /** A request with the same idempotency key has run, and its answer is no longer stored. */
    ALREADY_RUN,
    /** The idempotency key was used for a different request. */
    KEY_REUSED,
    /** The node is shutting down. */
    SHUTTING_DOWN,
    /** The node has not loaded the catalogue yet. */
    NOT_READY,
    /** The upstream did not answer. */
    UPSTREAM_FAILED,
    /** The upstream did not answer in time. */
    UPSTREAM_TIMEOUT,
    /** The stream broke off and could not be resumed. */
    STREAM_FAILED;

    /**
     * Returns the code as written in response bodies.
     *
     * @return the name of the constant in lower case
     */
    public String externalName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
