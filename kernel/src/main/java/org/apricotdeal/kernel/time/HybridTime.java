package org.apricotdeal.kernel.time;

import java.util.Comparator;

/**
 * A hybrid logical timestamp: wall time, and a counter that orders events of the same millisecond and events that follow
 * a message from a process whose clock runs ahead.
 *
 * @param wallMillis milliseconds since 1970-01-01 UTC
 * @param counter number of earlier timestamps with the same {@code wallMillis}
 */
public record HybridTime(long wallMillis, int counter) implements Comparable<HybridTime> {
    /** The earliest timestamp. */
    public static final HybridTime ZERO = new HybridTime(0, 0);

    private static final Comparator<HybridTime> ORDER =
            Comparator.comparingLong(HybridTime::wallMillis).thenComparingInt(HybridTime::counter);

    @Override
    public int compareTo(HybridTime other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return wallMillis + "." + counter;
    }
}
