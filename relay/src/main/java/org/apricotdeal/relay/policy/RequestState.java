package org.apricotdeal.relay.policy;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

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
    final EarlierAttempts earlier = new EarlierAttempts();
    TargetState target;
    int attempts;
    int lastAttemptNumber;

    /** Number of the current attempt; below that of the last one if this has failed and an earlier one goes on. */
    int attemptNumber;

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

    /** Copies a request with its current attempt and without the others. */
    static RequestState copyOf(RequestState request) {
        RequestState copy = new RequestState(
                request.arrival, request.queue, request.sequence, request.returningCaller, request.cost);
        copy.attempts = request.attempts;
        copy.copyAttempt(request);
        return copy;
    }

    /** Takes over the current attempt of another state of the same request. */
    void copyAttempt(RequestState other) {
        target = other.target;
        attemptNumber = other.attemptNumber;
        started = other.started;
        trial = other.trial;
        answering = other.answering;
        answered = other.answered;
        dispatchedMillis = other.dispatchedMillis;
        startedMillis = other.startedMillis;
    }

    /** Returns the state of one of the running attempts: of the current one, this state; empty if the attempt has ended. */
    Optional<RequestState> runningAttempt(AttemptId attempt) {
        return running() && attempt.number() == attemptNumber ? Optional.of(this) : earlier.find(attempt);
    }

    /** Returns the running attempts other than the given one, which runs as well. */
    List<AttemptId> runningBeside(AttemptId attempt) {
        return IntStream.rangeClosed(1, lastAttemptNumber)
                .filter(number -> number != attempt.number())
                .mapToObj(number -> new AttemptId(arrival.id(), number))
                .filter(other -> runningAttempt(other).isPresent())
                .toList();
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

    /** Ends all running attempts. */
    void release() {
        while (running()) {
            end(this);
        }
    }

    /** Ends one of the running attempts; after the end of the current one, the latest of the others is the current one. */
    void end(RequestState attempt) {
        if (attempt == this) {
            endCurrent();
            earlier.restoreLatest(this);
        } else {
            earlier.end(attempt);
        }
    }

    /**
     * Ends the running attempts other than the given one, which goes on.
     *
     * @return the ended attempts
     */
    List<AttemptId> endBeside(AttemptId attempt) {
        List<AttemptId> others = runningBeside(attempt);
        others.forEach(other -> runningAttempt(other).ifPresent(this::end));
        return others;
    }

    /** Ends the current attempt only. */
    void endCurrent() {
        target.running.remove(this);
        target = null;
    }
}
