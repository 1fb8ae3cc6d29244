package org.apricotdeal.relay.policy;

import java.util.HashSet;
import java.util.Set;

/** A request between its arrival and its end. */
final class RequestState {
    final Arrival arrival;
    final LineState line;
    final long sequence;

    /** The caller was refused before, here or at another node. */
    final boolean returned;

    final Set<TargetId> tried = new HashSet<>();
    TargetState target;
    int attempts;
    boolean mayHaveRun;
    boolean started;
    long dispatchedMillis;

    RequestState(Arrival arrival, LineState line, long sequence, boolean returned) {
        this.arrival = arrival;
        this.line = line;
        this.sequence = sequence;
        this.returned = returned;
    }

    boolean running() {
        return target != null;
    }
}
