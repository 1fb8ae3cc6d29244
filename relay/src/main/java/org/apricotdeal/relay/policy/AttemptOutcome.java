package org.apricotdeal.relay.policy;

/** Outcome of an attempt that produced no final answer for the caller. */
public enum AttemptOutcome {
    /** No byte of the request was sent. */
    NOT_SENT,
    /** No byte of the request was sent, because the operator evacuates the failure domain of the target. */
    WITHHELD,
    /** The VM reported that it did not run the request. */
    NOT_RUN,
    /** The connection ended before or just as the answer began; the VM may have crashed because of the request. */
    LOST_BEFORE_ANSWER,
    /** The VM failed, or its answer broke off or came from another VM; the request may have run. */
    BROKEN
}
