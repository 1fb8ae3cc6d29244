package org.apricotdeal.policy.call;

/** Deliberate faults in the decisions about a call, so that tests can show that the checks detect them. */
public enum CallFault {
    /** No fault. */
    NONE,
    /** Repeats a call that is not repeatable although it may have run. */
    RETRY_UNKNOWN,
    /** Reports a call as not run although it may have run. */
    UNKNOWN_AS_NOT_RUN
}
