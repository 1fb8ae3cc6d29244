package org.apricotdeal.relay.health;

/**
 * Judges from the delay of its own threads how late this node is. May be used by several threads.
 *
 * <p>Load pattern: a node gets more work than its share of a processor can do, for seconds: many requests at once, or the
 * first ones after its start. Its timers expire before it has read the replies that they wait for, so that all others seem to
 * be silent, and what it does about them is further work.
 *
 * <p>The delay is the largest one of the last half to one second: that of a thread that was due at a known time. It is about
 * the time by which a reply is read too late.
 */
public final class LocalHealth {
    private static final long BUCKET_MILLIS = 500;

    /** A call and its reply each wait for the late threads. */
    private static final int WAITS_PER_CALL = 2;

    private static final long MAX_EXTENSION_MILLIS = 1_000;

    private long bucketStartMillis = Long.MIN_VALUE / 2;
    private long bucketDelayMillis;
    private long previousDelayMillis;
    private long longestMillis;

    /**
     * Records how late a thread was.
     *
     * @param delayMillis time from when it was due until it ran; at least 0
     * @param nowMillis monotonic time
     */
    public synchronized void recordDelay(long delayMillis, long nowMillis) {
        rotate(nowMillis);
        bucketDelayMillis = Math.max(bucketDelayMillis, delayMillis);
        longestMillis = Math.max(longestMillis, delayMillis);
    }

    /**
     * Returns how late this node is.
     *
     * @param nowMillis monotonic time
     * @return largest recent delay in milliseconds; 0 if none was recorded
     */
    public synchronized long delayMillis(long nowMillis) {
        rotate(nowMillis);
        return Math.max(bucketDelayMillis, previousDelayMillis);
    }

    /**
     * Extends a timeout by the time by which this node itself may be late with the call and its reply.
     *
     * @param timeoutMillis time within which the other side replies
     * @param nowMillis monotonic time
     * @return the timeout, at most a second longer
     */
    public long extend(long timeoutMillis, long nowMillis) {
        return timeoutMillis + Math.min(MAX_EXTENSION_MILLIS, WAITS_PER_CALL * delayMillis(nowMillis));
    }

    /**
     * Returns the largest delay since the last call, for the log.
     *
     * @return delay in milliseconds; 0 if none was recorded
     */
    public synchronized long takeLongestMillis() {
        long longest = longestMillis;
        longestMillis = 0;
        return longest;
    }

    private void rotate(long nowMillis) {
        long elapsedMillis = nowMillis - bucketStartMillis;
        if (elapsedMillis < BUCKET_MILLIS) {
            return;
        }
        previousDelayMillis = elapsedMillis < 2 * BUCKET_MILLIS ? bucketDelayMillis : 0;
        bucketDelayMillis = 0;
        bucketStartMillis = nowMillis;
    }
}
