package org.apricotdeal.standins.server;

import java.util.Map;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;

/** Faults of a VM and what runs on it, set at the start and changed while it runs. */
public final class UpstreamFaults {
    private static final long NEVER = Long.MIN_VALUE;

    private final Random random;
    private long silencedAtMillis = NEVER;
    private long pausedUntilMillis = NEVER;
    private double slowFactor = 1;
    private double dieBeforeRunShare;
    private double dieAfterRunShare;
    private long orderDelayMillis;
    private int breakAfterTokens;

    /**
     * Creates the faults of a VM that works well.
     *
     * @param seed seed of the choice of calls that a share applies to
     */
    public UpstreamFaults(long seed) {
        this.random = new Random(seed);
    }

    /**
     * Changes the faults named and keeps the others.
     *
     * @param json values by name of the fault
     * @throws IllegalArgumentException where a name is unknown
     */
    public synchronized void apply(JsonNode json) {
        for (Map.Entry<String, JsonNode> field : json.properties()) {
            JsonNode value = field.getValue();
            switch (field.getKey()) {
                case "silent" -> silencedAtMillis = value.asBoolean() ? endOfThisMillisecond() : NEVER;
                case "pausedMillis" -> pausedUntilMillis = System.currentTimeMillis() + value.asLong();
                case "slowFactor" -> slowFactor = value.asDouble();
                case "dieBeforeRunShare" -> dieBeforeRunShare = value.asDouble();
                case "dieAfterRunShare" -> dieAfterRunShare = value.asDouble();
                case "orderDelayMillis" -> orderDelayMillis = value.asLong();
                case "breakAfterTokens" -> breakAfterTokens = value.asInt();
                default ->
                    throw new IllegalArgumentException("unknown fault " + field.getKey()
                            + "; known are silent, pausedMillis, slowFactor, dieBeforeRunShare, dieAfterRunShare,"
                            + " orderDelayMillis, breakAfterTokens");
            }
        }
    }

    /** Waits for the clock's next millisecond, so that connections opened after the caller's answer differ from those before. */
    private static long endOfThisMillisecond() {
        long nowMillis = System.currentTimeMillis();
        while (System.currentTimeMillis() == nowMillis) {
            Thread.onSpinWait();
        }
        return nowMillis;
    }

    /**
     * Tells whether a connection has gone silent: all that were open when the fault was set.
     *
     * @param exchange a request on the connection
     * @return true where nothing more may be sent on it
     */
    public synchronized boolean isSilent(Exchange exchange) {
        return exchange.connectionOpenedAtMillis() <= silencedAtMillis;
    }

    /**
     * Tells how much longer the VM is paused.
     *
     * @return milliseconds, 0 where it is not paused
     */
    public synchronized long pausedMillis() {
        return pausedUntilMillis == NEVER ? 0 : Math.max(0, pausedUntilMillis - System.currentTimeMillis());
    }

    /**
     * Tells how much slower than usual the VM is.
     *
     * @return the factor, 1 where it is as fast as usual
     */
    public synchronized double slowFactor() {
        return slowFactor;
    }

    /**
     * Decides whether the next call is cut off before it runs.
     *
     * @return true where it is
     */
    public synchronized boolean drawDiesBeforeRun() {
        return random.nextDouble() < dieBeforeRunShare;
    }

    /**
     * Decides whether the next call is cut off after it has run.
     *
     * @return true where it is
     */
    public synchronized boolean drawDiesAfterRun() {
        return random.nextDouble() < dieAfterRunShare;
    }

    /**
     * Tells how long an order waits before it takes effect.
     *
     * @return milliseconds
     */
    public synchronized long orderDelayMillis() {
        return orderDelayMillis;
    }

    /**
     * Tells after how many tokens a stream is cut off.
     *
     * @return number of tokens sent by then, 0 where streams are not cut off
     */
    public synchronized int breakAfterTokens() {
        return breakAfterTokens;
    }
}
