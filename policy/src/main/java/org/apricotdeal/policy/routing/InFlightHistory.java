package org.apricotdeal.policy.routing;

/**
 * Remembers when the number of own requests at one target changed, so that a lagging report can be compared with the own
 * work at the time that it describes. Holds a bounded number of changes; where older ones are asked for, the oldest
 * remembered stands in.
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

    /** Returns the number in flight at a time in the past. */
    int at(long timeMillis) {
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
