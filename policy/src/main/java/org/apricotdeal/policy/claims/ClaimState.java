package org.apricotdeal.policy.claims;

/** State of a claimed call, as recorded in the journal. */
public enum ClaimState {
    /** The call may be running; no outcome has been recorded. */
    RUNNING,
    /** The upstream answered the call. */
    ANSWERED,
    /** The call may have run; it cannot be determined whether it did. */
    UNKNOWN
}
