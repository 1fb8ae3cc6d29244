package org.apricotdeal.policy.admission;

import java.util.ArrayDeque;
import java.util.Deque;

import org.apricotdeal.kernel.id.CallerId;

/** Waiting requests of one caller in one class of one upstream, and the caller's rank in that class. */
final class CallerQueue {
    /** Rank of a caller that has not used any capacity yet. */
    static final double INITIAL_RANK = 0;

    final CallerId caller;
    final Deque<RequestState> waiting = new ArrayDeque<>();
    double weight;
    double rank = INITIAL_RANK;
    double waitingCost;

    /** Rank under which the class's sorted set holds this queue; {@link #rank} may differ while it is being updated. */
    double orderedRank;

    CallerQueue(CallerId caller, double weight) {
        this.caller = caller;
        this.weight = weight;
    }
}
