package org.apricotdeal.engine;

/**
 * Load of a replica, as its first member reported it; the report lags behind the actual load.
 *
 * @param running number of requests being decoded
 * @param waiting number of requests waiting in the engine's own queue
 * @param cacheUsedShare share of the KV cache's memory in use, from 0 to 1
 * @param ageMillis age of the report in milliseconds
 */
public record EngineLoad(int running, int waiting, double cacheUsedShare, long ageMillis) {
    /** No load. */
    public static final EngineLoad NONE = new EngineLoad(0, 0, 0, 0);
}
