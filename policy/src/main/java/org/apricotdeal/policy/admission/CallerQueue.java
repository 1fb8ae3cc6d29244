package org.apricotdeal.policy.admission;

import java.util.ArrayDeque;
import java.util.Deque;

import org.apricotdeal.kernel.id.CallerId;

/** Requests of one caller that wait in one class for one upstream, and the caller's standing there. */
final class CallerQueue {
    /** Rank of a caller that has used nothing yet. */
    static final double UNUSED_RANK = 0;

    final CallerId caller;
    final Deque<RequestState> waiting = new ArrayDeque<>();
    double weight;
    double rank = UNUSED_RANK;
    double waitingCost;

    /** Rank under which the queue stands in its class's order; differs from {@link #rank} while that is being changed. */
    double orderedRank;

    CallerQueue(CallerId caller, double weight) {
        this.caller = caller;
        this.weight = weight;
    }
}
