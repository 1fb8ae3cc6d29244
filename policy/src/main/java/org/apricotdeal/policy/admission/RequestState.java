package org.apricotdeal.policy.admission;

import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.policy.routing.TargetState;

/** One request that the dispatcher knows of. */
final class RequestState {
    /** Where a request stands. */
    enum Phase {
        /** Waits for its node's share of the caller's limits. */
        AWAITING_SHARE,
        /** Waits in its class's queue. */
        QUEUED,
        /** Runs at a target. */
        RUNNING,
        /** Was handed to another failure domain. */
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
    double charged;

    RequestState(
            Arrival arrival, ClassEntry classEntry, long arrivedMillis, long deadlineMillis, double expectedTokens) {
        this.arrival = arrival;
        this.classEntry = classEntry;
        this.arrivedMillis = arrivedMillis;
        this.deadlineMillis = deadlineMillis;
        this.expectedTokens = expectedTokens;
    }

    /** Returns the work still to be done, in units of output tokens. */
    double remainingCost() {
        return UpstreamState.cost(arrival.promptTokens(), Math.max(1, expectedTokens - tokens));
    }

    /** Returns the work that the attempt has done so far, in units of output tokens. */
    double usedCost() {
        return UpstreamState.cost(arrival.promptTokens(), Math.max(1, tokens - tokensAtDispatch));
    }

    /** Returns the latest time at which the request can start and both its first token and its end are in time. */
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
