package org.apricotdeal.relay.policy;

import java.util.HashSet;
import java.util.Set;

/** A request between its arrival and its end. */
final class RequestState {
    final Arrival arrival;
    final LineState line;
    final long sequence;
    final Set<TargetId> tried = new HashSet<>();
    TargetState target;
    int attempts;
    boolean mayHaveRun;
    boolean started;
    long dispatchedMillis;

    RequestState(Arrival arrival, LineState line, long sequence) {
        this.arrival = arrival;
        this.line = line;
        this.sequence = sequence;
    }

    boolean running() {
        return target != null;
    }
}
