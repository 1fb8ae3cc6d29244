package org.apricotdeal.policy.claims;

/** Faults injected into the journal to test that the checks detect them. A node always runs with NONE. */
public enum ClaimFault {
    /** No fault. */
    NONE,
    /** Grants a claim before the platform has confirmed it. */
    GRANT_BEFORE_SWAP,
    /** Treats a swap without a reply as successful. */
    ASSUME_LOST_SWAP_DONE,
    /** Refuses a request as not run, but grants it if the confirmation of its claim arrives late. */
    GRANT_AFTER_REFUSAL,
    /** Begins a new generation with every write instead of waiting until the current one has lasted for its full time. */
    ADVANCE_WITHOUT_WAITING,
    /** Writes and grants claims regardless of how long ago the request was received. */
    CLAIM_LATE_COPY,
    /** Grants a request again if the claim that holds its key is still recorded as running. */
    TAKE_OVER_UNKNOWN,
    /** Replays the recorded answer for any request with the same key, even if the request differs. */
    IGNORE_REQUEST_HASH
}
