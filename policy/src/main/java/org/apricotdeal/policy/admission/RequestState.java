package org.apricotdeal.policy.admission;

import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.policy.routing.TargetState;

/** State of one request in the dispatcher. */
final class RequestState {
    /** Phases of a request. */
    enum Phase {
        /** Waits until the node holds a sufficient share of the caller's limits. */
        AWAITING_SHARE,
        /** Waits in its class's queue. */
        QUEUED,
        /** Runs at a target. */
        RUNNING,
        /** Forwarded to a different failure domain. */
        FORWARDED,
        /** Has ended. */
        ENDED
    }

    final Arrival arrival;
    final ClassEntry classEntry;
    final long arrivedMillis;
    final long deadlineMillis;
    final double expectedTokens;
    Phase phase = Phase.QUEUED;
    ClassState classState;
    CallerQueue callerQueue;
    UpstreamState upstream;
    TargetState target;
    int attempts;
    int preemptions;
    boolean mayHaveRun;
    boolean countsAgainstLimits;
    int tokens;
    long dispatchedMillis;
    long lastProgressMillis;
    int tokensAtDispatch;
    double chargedCost;

    RequestState(
            Arrival arrival, ClassEntry classEntry, long arrivedMillis, long deadlineMillis, double expectedTokens) {
        this.arrival = arrival;
        this.classEntry = classEntry;
        this.arrivedMillis = arrivedMillis;
        this.deadlineMillis = deadlineMillis;
        this.expectedTokens = expectedTokens;
    }

    /** Returns the expected cost of the rest of the answer, in units of output tokens. */
    double remainingCost() {
        return UpstreamState.cost(arrival.promptTokens(), Math.max(1, expectedTokens - tokens));
    }

    /** Returns the cost of the current attempt so far, in units of output tokens. */
    double usedCost() {
        return UpstreamState.cost(arrival.promptTokens(), Math.max(1, tokens - tokensAtDispatch));
    }

    /** Returns the latest start time that keeps both the first-token target and the deadline. */
    long latestStartMillis() {
        double deadlineStart = deadlineMillis - remainingCost() * upstream.millisPerUnit();
        if (attempts > 0) {
            return (long) deadlineStart;
        }
        double firstTokenStart =
                (double) arrivedMillis + classEntry.firstTokenTargetMillis() - upstream.firstTokenMillis();
        return (long) Math.min(firstTokenStart, deadlineStart);
    }
}
