package org.apricotdeal.policy.call;

/** Deliberate faults of a call's decisions, so that tests can show that the checks find them. */
public enum CallFault {
    /** No fault. */
    NONE,
    /** Sends a call that may not be repeated again after it may have run. */
    RETRY_UNKNOWN,
    /** Reports a call that may have run as not run. */
    UNKNOWN_AS_NOT_RUN
}
