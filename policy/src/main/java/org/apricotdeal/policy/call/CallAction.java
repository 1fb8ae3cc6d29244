package org.apricotdeal.policy.call;

import org.apricotdeal.kernel.id.VmId;

/** Actions of a call to a plain service. Exactly one of the actions other than {@link Send} ends the call. */
public sealed interface CallAction {
    /**
     * Send the request once.
     *
     * @param attempt number of the attempt, from 1
     * @param vm VM to send the request to
     */
    record Send(int attempt, VmId vm) implements CallAction {}

    /**
     * Return the answer of an attempt to the caller.
     *
     * @param attempt number of the answered attempt
     */
    record Answer(int attempt) implements CallAction {}

    /**
     * Refuse the request as not run: no attempt was sent, and none will be.
     *
     * @param reason reason given to the caller
     */
    record RefuseNotRun(NotRunReason reason) implements CallAction {}

    /** Report that the request may have run. */
    record OutcomeUnknown() implements CallAction {}
}
