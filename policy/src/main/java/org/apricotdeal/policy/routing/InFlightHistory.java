package org.apricotdeal.policy.routing;

/**
 * History of the number of this node's requests in flight at one target, so that a delayed load report can be compared with
 * the number at the time that the report describes. The history holds a bounded number of changes; for times before the
 * oldest change, it returns the oldest number.
 */
final class InFlightHistory {
    private static final int CAPACITY = 256;

    private final long[] timesMillis = new long[CAPACITY];
    private final int[] counts = new int[CAPACITY];
    private int newest = -1;
    private int size;

    void record(long nowMillis, int inFlight) {
        if (size > 0 && timesMillis[newest] == nowMillis) {
            counts[newest] = inFlight;
            return;
        }
        newest = (newest + 1) % CAPACITY;
        timesMillis[newest] = nowMillis;
        counts[newest] = inFlight;
        size = Math.min(CAPACITY, size + 1);
    }

    /** Returns the number of requests in flight at a time in the past. */
    int inFlightAt(long timeMillis) {
        for (int i = 0; i < size; i++) {
            int slot = (newest - i + CAPACITY) % CAPACITY;
            if (timesMillis[slot] <= timeMillis) {
                return counts[slot];
            }
        }
        if (size < CAPACITY) {
            return 0;
        }
        return counts[(newest + 1) % CAPACITY];
    }
}
