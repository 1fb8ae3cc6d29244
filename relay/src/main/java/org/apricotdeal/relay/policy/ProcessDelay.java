package org.apricotdeal.relay.policy;

/**
 * Detects from the times of periodic work that this process was suspended or starved of processor time. Timeouts that
 * expired meanwhile say nothing about the other end, because its replies have not been read yet.
 */
public final class ProcessDelay {
    private final long maxGapMillis;
    private long lastMillis = Long.MAX_VALUE;
    private long resumedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a detector that has seen no delay.
     *
     * @param maxGapMillis longest time between two observations of a process that runs normally; several periods of the
     * observed work
     */
    public ProcessDelay(long maxGapMillis) {
        this.maxGapMillis = maxGapMillis;
    }

    /**
     * Records that the process runs.
     *
     * @param nowMillis monotonic time
     * @return time since the previous observation if it is a delay, or 0
     */
    public long observe(long nowMillis) {
        long gapMillis = nowMillis - lastMillis;
        lastMillis = nowMillis;
        if (gapMillis <= maxGapMillis) {
            return 0;
        }
        resumedMillis = nowMillis;
        return gapMillis;
    }

    /**
     * Returns whether a delay ended recently.
     *
     * @param nowMillis monotonic time
     * @param withinMillis time that counts as recent
     * @return true if the process resumed within that time
     */
    public boolean hasResumedWithin(long nowMillis, long withinMillis) {
        return nowMillis - resumedMillis < withinMillis;
    }
}
