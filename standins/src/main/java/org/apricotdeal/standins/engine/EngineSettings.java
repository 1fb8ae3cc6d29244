package org.apricotdeal.standins.engine;

import org.apricotdeal.kernel.settings.SectionReader;

/**
 * Settings of an engine stand-in.
 *
 * @param tokenMillis time between two tokens of a stream
 * @param firstTokenMillis time to compute a prompt none of which is in the cache
 * @param maxRunning streams decoded at the same time
 * @param maxWaiting streams that wait for their turn; more are refused
 * @param loadMillis time to load the weights once the weight store has room
 * @param fencing whether old fencing numbers are refused
 * @param credential credential that orders must carry; empty where they are not checked
 * @param loadReportLagMillis age of the load that the state reports
 * @param cachePrefixes prefixes that fit into the cache
 * @param cacheEventLagMillis delay until a cache event is published
 * @param cacheEventLossShare share of cache events that are never published, from 0 to 1
 * @param idleTimeoutMillis idle connections are closed after this time
 */
public record EngineSettings(
        long tokenMillis,
        long firstTokenMillis,
        int maxRunning,
        int maxWaiting,
        long loadMillis,
        Fencing fencing,
        String credential,
        long loadReportLagMillis,
        int cachePrefixes,
        long cacheEventLagMillis,
        double cacheEventLossShare,
        long idleTimeoutMillis) {
    private static final long MAX_MILLIS = 3_600_000;
    private static final long MAX_COUNT = 1_000_000;

    /** Whether an engine refuses orders with an old fencing number. */
    public enum Fencing {
        /** Refuses them. */
        HONOURS,
        /** Takes them like any other. */
        IGNORES
    }

    /**
     * Reads the settings.
     *
     * @param reader reader of a section {@code vm NAME}
     * @return the settings
     */
    public static EngineSettings read(SectionReader reader) {
        return new EngineSettings(
                reader.integer("tokenMillis", 25L, 1, MAX_MILLIS),
                reader.integer("firstTokenMillis", 200L, 0, MAX_MILLIS),
                (int) reader.integer("maxRunning", 16L, 1, MAX_COUNT),
                (int) reader.integer("maxWaiting", 256L, 0, MAX_COUNT),
                reader.integer("loadMillis", 2_000L, 0, MAX_MILLIS),
                reader.enumValue("fencing", Fencing.HONOURS, Fencing.class),
                reader.text("credential", ""),
                reader.integer("loadReportLagMillis", 200L, 0, MAX_MILLIS),
                (int) reader.integer("cachePrefixes", 256L, 0, MAX_COUNT),
                reader.integer("cacheEventLagMillis", 500L, 0, MAX_MILLIS),
                reader.decimal("cacheEventLossShare", 0.1, 0, 1),
                reader.integer("idleTimeoutMillis", 30_000L, 1, MAX_MILLIS));
    }
}
