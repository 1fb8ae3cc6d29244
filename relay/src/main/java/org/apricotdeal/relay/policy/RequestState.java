package org.apricotdeal.relay.policy;

import java.util.HashSet;
import java.util.Set;

/** State of a request from its arrival to its end. */
final class RequestState {
    final Arrival arrival;
    final QueueState queue;
    final long sequence;

    /** Whether the caller was refused before, by this node or another one. */
    final boolean returningCaller;

    final Set<TargetId> triedTargets = new HashSet<>();
    TargetState target;
    int attempts;
    int lastAttemptNumber;
    boolean mayHaveRun;
    boolean started;

    /** Whether the request is the trial of a blamed part of its prompt. */
    boolean trial;

    /** Whether an event of the answer has arrived. */
    boolean answering;

    /** Whether the answer has lasted long enough to show that the parts of the prompt are sound. */
    boolean answered;

    long dispatchedMillis;

    RequestState(Arrival arrival, QueueState queue, long sequence, boolean returningCaller) {
        this.arrival = arrival;
        this.queue = queue;
        this.sequence = sequence;
        this.returningCaller = returningCaller;
    }

    /** Returns whether an attempt is the one that runs now, and not one that has been replaced. */
    boolean isRunning(AttemptId attempt) {
        return running() && attempt.number() == lastAttemptNumber;
    }

    boolean running() {
        return target != null;
    }
}
