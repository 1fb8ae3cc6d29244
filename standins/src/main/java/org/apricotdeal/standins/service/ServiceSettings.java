package org.apricotdeal.standins.service;

import org.apricotdeal.kernel.settings.SectionReader;

/**
 * Settings of a service stand-in.
 *
 * @param latencyMillis time that an execution takes
 * @param maxRunning executions at the same time; more wait
 * @param idleTimeoutMillis idle connections are closed after this time
 */
public record ServiceSettings(long latencyMillis, int maxRunning, long idleTimeoutMillis) {
    private static final long MAX_MILLIS = 3_600_000;
    private static final long MAX_COUNT = 1_000_000;

    /**
     * Reads the settings.
     *
     * @param reader reader of a section {@code vm NAME}
     * @return the settings
     */
    public static ServiceSettings read(SectionReader reader) {
        return new ServiceSettings(
                reader.integer("latencyMillis", 5L, 0, MAX_MILLIS),
                (int) reader.integer("maxRunning", 64L, 1, MAX_COUNT),
                reader.integer("idleTimeoutMillis", 30_000L, 1, MAX_MILLIS));
    }
}
