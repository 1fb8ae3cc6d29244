package org.apricotdeal.policy.limits;

import org.apricotdeal.kernel.id.CallerId;

/** Messages between nodes about shares of callers' limits, which may be lost, repeated, delayed and reordered. */
public sealed interface ShareMessage {
    /**
     * Returns the caller whose limits the message is about.
     *
     * @return caller that sends the limited requests
     */
    CallerId caller();

    /**
     * Returns the number of the question.
     *
     * @return number that increases with each question of the asking node, also across its restarts
     */
    long epoch();

    /**
     * Asks the receiver to lend a part of its base share.
     *
     * @param caller caller whose limits are meant
     * @param wanted share of the limits wanted, from 0 to 1
     * @param epoch number of the question
     */
    record Ask(CallerId caller, double wanted, long epoch) implements ShareMessage {}

    /**
     * Lends a part of the sender's base share, or denies a question.
     *
     * @param caller caller whose limits are meant
     * @param granted share of the limits lent, from 0 to 1; 0 if the sender has none to spare
     * @param forMillis term of the loan, counted by the borrower from the time at which it asked
     * @param epoch number of the question
     */
    record Grant(CallerId caller, double granted, long forMillis, long epoch) implements ShareMessage {}

    /**
     * Returns a loan that the sender no longer needs before the end of its term.
     *
     * @param caller caller whose limits are meant
     * @param epoch number of the question that led to the loan
     */
    record Return(CallerId caller, long epoch) implements ShareMessage {}
}
