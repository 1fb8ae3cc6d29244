package org.apricotdeal.policy.call;

import org.apricotdeal.kernel.id.VmId;

/** What one call to a plain service asks its owner to do. Exactly one of the last three ends the call. */
public sealed interface CallAction {
    /**
     * Send the request, once.
     *
     * @param attempt number of the attempt, from 1
     * @param vm where to
     */
    record Send(int attempt, VmId vm) implements CallAction {}

    /**
     * Pass on the answer of an attempt.
     *
     * @param attempt number of the attempt
     */
    record Answer(int attempt) implements CallAction {}

    /**
     * Refuse the request as not run: no attempt was ever sent, and none will be.
     *
     * @param reason why
     */
    record RefuseNotRun(NotRunReason reason) implements CallAction {}

    /** Report that the request may have run. */
    record OutcomeUnknown() implements CallAction {}
}
