package org.apricotdeal.relay.policy;

import java.util.HashSet;
import java.util.Set;

/** A request between its arrival and its end. */
final class RequestState {
    final Arrival arrival;
    final QueueState queue;
    final long sequence;

    /** The caller was refused before, here or at another node. */
    final boolean returningCaller;

    final Set<TargetId> triedTargets = new HashSet<>();
    TargetState target;
    int attempts;
    boolean mayHaveRun;
    boolean started;
    long dispatchedMillis;

    RequestState(Arrival arrival, QueueState line, long sequence, boolean returned) {
        this.arrival = arrival;
        this.queue = line;
        this.sequence = sequence;
        this.returningCaller = returned;
    }

    boolean running() {
        return target != null;
    }
}
