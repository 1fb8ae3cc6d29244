package org.apricotdeal.policy.claims;

/** Deliberate faults of the journal, so that tests can show that the checks find them. A node always runs with NONE. */
public enum ClaimFault {
    /** No fault. */
    NONE,
    /** Grants a claim before the platform has confirmed it. */
    GRANT_BEFORE_SWAP,
    /** Takes a swap without a reply for done. */
    ASSUME_LOST_SWAP_DONE,
    /** Refuses as not run and dispatches when the confirmation arrives late. */
    GRANT_AFTER_REFUSAL,
    /** Begins a new generation with every write, without having seen the last one for its time. */
    ADVANCE_WITHOUT_WAITING,
    /** Claims and grants without regard to how long ago the request was received. */
    CLAIM_LATE_COPY,
    /** Dispatches again where the claim is held by a node that gives no sign of life. */
    TAKE_OVER_UNKNOWN,
    /** Replays the recorded answer for any request with the key. */
    IGNORE_REQUEST_HASH
}
