package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Attempts of a request that still run beside its current one. An attempt whose target is silent may go on, so it is kept
 * until another one answers. Each has a state of its own, by which its target counts its load and its stalls.
 */
final class EarlierAttempts {
    private final List<RequestState> running = new ArrayList<>();

    /** Keeps the current attempt of a request, which is then free for another one. */
    void keep(RequestState request) {
        RequestState kept = RequestState.copyOf(request);
        kept.target.running.add(kept);
        request.endCurrent();
        running.add(kept);
    }

    Optional<RequestState> find(AttemptId attempt) {
        return running.stream()
                .filter(earlier -> earlier.attemptNumber == attempt.number())
                .findFirst();
    }

    /** Ends an attempt; has no effect on one that is not among these. */
    void end(RequestState attempt) {
        if (running.remove(attempt)) {
            attempt.endCurrent();
        }
    }

    /** Makes the latest of the attempts the current one of a request whose own has ended. */
    void restoreLatest(RequestState request) {
        if (!running.isEmpty()) {
            RequestState latest = running.getLast();
            request.copyAttempt(latest);
            request.target.running.add(request);
            end(latest);
        }
    }
}
