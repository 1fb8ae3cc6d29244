package org.apricotdeal.policy.admission;

/** How an attempt at a request ended. */
public enum FinishOutcome {
    /** The whole answer came. */
    COMPLETED,
    /** The upstream answered with a failure that a repetition would not change, or whose outcome is unknown. */
    FAILED,
    /**
     * The stream, or the forwarding to another failure domain, broke off; what was generated so far is kept, and the
     * request can be resumed where it is resumable.
     */
    BROKEN,
    /** The upstream certainly did nothing: no connection, or a refusal before any work. */
    NOT_STARTED,
    /** The failure domain that the request was forwarded to refused it as not run. */
    REFUSED_ELSEWHERE
}
