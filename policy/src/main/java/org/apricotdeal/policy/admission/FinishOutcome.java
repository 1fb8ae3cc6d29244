package org.apricotdeal.policy.admission;

/** How an attempt at a request ended. */
public enum FinishOutcome {
    /** The whole answer was received. */
    COMPLETED,
    /** The upstream answered with a failure that a retry would not change, or the outcome is unknown. */
    FAILED,
    /**
     * The stream, or the forwarding to a different failure domain, was interrupted. The tokens generated so far are kept,
     * and the request is resumed if it is resumable.
     */
    BROKEN,
    /** The upstream certainly did no work: the connection failed, or the upstream refused the request on arrival. */
    NOT_STARTED,
    /** The failure domain that the request was forwarded to refused it without running it. */
    REFUSED_ELSEWHERE
}
