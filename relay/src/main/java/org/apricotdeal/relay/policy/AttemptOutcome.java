package org.apricotdeal.relay.policy;

/** How an attempt at a target ended without a final answer for the caller. */
public enum AttemptOutcome {
    /** No byte of the request left. */
    NOT_SENT,
    /** The VM declared that it did not run the request. */
    NOT_RUN,
    /** The VM failed the request, or the answer broke off or was not the VM's; the request may have run. */
    BROKEN
}
