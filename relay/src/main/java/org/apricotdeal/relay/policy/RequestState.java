package org.apricotdeal.relay.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** State of a request from its arrival to its end. */
final class RequestState {
    final Arrival arrival;
    final QueueState queue;
    final long sequence;

    /** Whether the caller was refused before, by this node or another one. */
    final boolean returningCaller;

    /** Work that the request is likely to cause; empty if its size is not known. */
    final Optional<RequestCost> cost;

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

    /** Time of the first bytes of the answer of the current attempt. */
    long startedMillis;

    RequestState(Arrival arrival, QueueState queue, long sequence, boolean returningCaller) {
        this(arrival, queue, sequence, returningCaller, queue.estimateCost(arrival));
    }

    private RequestState(
            Arrival arrival, QueueState queue, long sequence, boolean returningCaller, Optional<RequestCost> cost) {
        this.arrival = arrival;
        this.queue = queue;
        this.sequence = sequence;
        this.returningCaller = returningCaller;
        this.cost = cost;
    }

    /** Creates the state of a request that is not sent, as the last one to arrive. */
    static RequestState notSent(Arrival arrival, QueueState queue, boolean returningCaller) {
        return new RequestState(arrival, queue, Long.MAX_VALUE, returningCaller, queue.previewCost(arrival));
    }

    /** Returns whether an attempt is the one that runs now, and not one that has been replaced. */
    boolean isRunning(AttemptId attempt) {
        return running() && attempt.number() == lastAttemptNumber;
    }

    /**
     * Returns the position among requests of the same class: the time of arrival, less the time that its prompt needs
     * beyond an empty one. A long prompt has to be sent earlier to be answered at the same time.
     */
    double orderMillis() {
        return arrival.arrivedMillis() - cost.map(RequestCost::readMillis).orElse(0.0);
    }

    /** Returns the time for which the request still occupies its slot, if its cost is known. */
    double remainingMillis(long nowMillis, double usualMillis) {
        return cost.isEmpty() ? usualMillis : cost.get().remainingMillis(started ? nowMillis - startedMillis : -1);
    }

    boolean running() {
        return target != null;
    }

    /** Ends the current attempt. */
    void release() {
        target.running.remove(this);
        target = null;
    }
}
