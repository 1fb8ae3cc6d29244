package org.apricotdeal.relay.node;

/**
 * Decides when a transfer progresses that holds memory until it is complete. Answers crowds that trickle: what is held has to
 * be transferred within a time, so that a few bytes now and then keep no memory from others.
 */
final class TransferProgress {
    /** Content below which nothing counts as progress; single bytes now and then are none. */
    private static final long MIN_PROGRESS_BYTES = 1_024;

    private final long holdMillis;
    private long bytes;
    private long progressBytes;
    private volatile long progressMillis;

    /**
     * Creates the state of a transfer that begins.
     *
     * @param holdMillis time in which all that is held has to be transferred
     * @param nowMillis current time
     */
    TransferProgress(long holdMillis, long nowMillis) {
        this.holdMillis = holdMillis;
        this.progressMillis = nowMillis;
    }

    /**
     * Adds transferred bytes. They count as progress once their sum since the last progress is what the transfer owes in the
     * time after which a holder is stalled.
     *
     * @param count number of bytes
     * @param heldBytes memory held for the transfer
     * @param nowMillis current time
     */
    synchronized void add(int count, int heldBytes, long nowMillis) {
        bytes += count;
        long owedBytes = heldBytes * StalledHolder.MIN_STALL_MILLIS / holdMillis;
        if (bytes - progressBytes >= Math.max(MIN_PROGRESS_BYTES, owedBytes)) {
            progressBytes = bytes;
            progressMillis = nowMillis;
        }
    }

    /** Returns the time of the last progress, or of the beginning. */
    long progressMillis() {
        return progressMillis;
    }
}
