package org.apricotdeal.policy.claims;

/** How far the call behind a claim has come, as recorded in the journal. */
public enum ClaimState {
    /** The call may be running; its node has recorded no outcome. */
    RUNNING,
    /** The call was answered by the upstream. */
    ANSWERED,
    /** The call may have run; nobody will learn whether it did. */
    UNKNOWN
}
