package org.apricotdeal.relay.model;

import java.util.List;

/**
 * A route: which requests it takes and how they are served.
 *
 * @param name its name
 * @param host host that requests name
 * @param pathPrefix prefix of the path, beginning and ending with a slash
 * @param retrySafety what may be sent again
 * @param resumable true where a stream may go on at another replica
 * @param timeoutMillis longest time from arrival to the end of the answer
 * @param objectiveMillis time within which the answer, or a stream's first event, is of full worth
 * @param eventGapObjectiveMillis longest pause between events of a stream that is of full worth; 0 where there is none
 * @param priority rank, 0 first
 * @param keyless true where no key is needed
 * @param maxAttempts most VMs that one request may be sent to
 * @param upstreams where the traffic goes
 */
public record RouteEntry(
        String name,
        String host,
        String pathPrefix,
        RetrySafety retrySafety,
        boolean resumable,
        long timeoutMillis,
        long objectiveMillis,
        long eventGapObjectiveMillis,
        int priority,
        boolean keyless,
        int maxAttempts,
        List<WeightedUpstream> upstreams) {
    /** Copies the list. */
    public RouteEntry {
        upstreams = List.copyOf(upstreams);
    }

    /**
     * Tells whether a request may be sent again after a byte of it may have left.
     *
     * @return true where running it twice harms nobody
     */
    public boolean retryable() {
        return switch (retrySafety) {
            case IDEMPOTENT -> true;
            case ONCE -> false;
            case STREAM -> resumable;
        };
    }

    /**
     * Tells whether answers are event streams.
     *
     * @return true for streams
     */
    public boolean streaming() {
        return retrySafety == RetrySafety.STREAM;
    }
}
