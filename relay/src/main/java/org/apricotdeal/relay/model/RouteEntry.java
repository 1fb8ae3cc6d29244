package org.apricotdeal.relay.model;

import java.util.List;

/**
 * A route: the requests that it matches and how they are served.
 *
 * @param name name of the route
 * @param host host that requests name
 * @param pathPrefix prefix of the path, which begins and ends with a slash
 * @param retrySafety whether requests may be retried
 * @param resumable true if a stream may continue at another replica
 * @param timeoutMillis maximum time from arrival to the end of the answer
 * @param objectiveMillis target time for the answer, or for the first event of a stream
 * @param eventGapObjectiveMillis maximum pause between events of a stream that meets its objective; 0 if there is
 * none
 * @param priority priority of the requests; 0 is the highest
 * @param keyless true if requests need no key
 * @param maxAttempts maximum number of VMs that a request may be sent to
 * @param upstreams destinations of the requests with their weights
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
     * Returns whether a request may be retried after part of it may have been sent.
     *
     * @return true if running the request twice is harmless
     */
    public boolean retryable() {
        return switch (retrySafety) {
            case IDEMPOTENT -> true;
            case ONCE -> false;
            case STREAM -> resumable;
        };
    }

    /**
     * Returns whether answers are event streams.
     *
     * @return true for routes of streams
     */
    public boolean streaming() {
        return retrySafety == RetrySafety.STREAM;
    }
}
