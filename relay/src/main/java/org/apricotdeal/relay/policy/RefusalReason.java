package org.apricotdeal.relay.policy;

/** Reasons for not serving a request. */
public enum RefusalReason {
    /** No target is available. */
    NO_TARGET,
    /** Only targets in failure domains that the operator evacuates are left for the request. */
    EVACUATED,
    /** The request fits into the memory of no target, even of an empty one. */
    TOO_LARGE,
    /** The request is predicted to start too late for its objective. */
    OVERLOAD,
    /** The request has waited too long for a target. */
    WAITED_OUT,
    /** The request, or a part of its prompt, is suspected of crashing VMs. */
    SUSPECT_REQUEST,
    /** The VMs that received the request did not run it. */
    NOT_RUN,
    /** The attempt broke off and must not be repeated. */
    BROKEN,
    /** The deadline of the request has passed. */
    TIMEOUT,
    /** The process ends. */
    STOPPING
}
