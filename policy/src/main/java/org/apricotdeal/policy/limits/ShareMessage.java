package org.apricotdeal.policy.limits;

import org.apricotdeal.kernel.id.CallerId;

/** What nodes tell each other about shares of callers' limits. Messages may be lost, repeated, delayed and reordered. */
public sealed interface ShareMessage {
    /**
     * Returns the caller whose limits the message is about.
     *
     * @return the caller
     */
    CallerId caller();

    /**
     * Returns the number of the question.
     *
     * @return the number; grows with each question of the asking node, over its restarts too
     */
    long epoch();

    /**
     * Asks for a part of the receiver's share.
     *
     * @param caller the caller
     * @param wanted part of the limits wanted, from 0 to 1
     * @param epoch number of the question
     */
    record Ask(CallerId caller, double wanted, long epoch) implements ShareMessage {}

    /**
     * Lends a part of the sender's share.
     *
     * @param caller the caller
     * @param granted part of the limits lent, from 0 to 1; 0 where nothing can be spared
     * @param forMillis time for which it is lent, counted by the borrower from when it asked
     * @param epoch number of the question
     */
    record Grant(CallerId caller, double granted, long forMillis, long epoch) implements ShareMessage {}

    /**
     * Gives back early what the sender has borrowed and no longer uses.
     *
     * @param caller the caller
     * @param epoch number of the question that the loan answered
     */
    record Return(CallerId caller, long epoch) implements ShareMessage {}
}
