package org.apricotdeal.relay.node;

import java.util.Collection;
import java.util.Optional;

/**
 * Something of a caller that holds memory or a connection and can be made to give it up. Decides which one gives way when a
 * limit is reached: of a crowd that holds as much as it may and no longer progresses, the one that stalled first.
 */
interface StalledHolder {
    /** Time without progress after which a holder may be made to give way; longer than pauses of a slow link. */
    long MIN_STALL_MILLIS = 500;

    /** Returns the time of the last progress, in milliseconds of the monotonic clock. */
    long progressMillis();

    /**
     * Releases all that is held and closes the connection, if that is still possible.
     *
     * @return whether anything was released
     */
    boolean giveWay();

    /**
     * Returns the holder without progress for the longest time, if that is long enough.
     *
     * @param <H> type of the holders
     * @param holders all holders
     * @param nowMillis current time
     * @param minStallMillis minimum time without progress
     */
    static <H extends StalledHolder> Optional<H> longestStalled(
            Collection<H> holders, long nowMillis, long minStallMillis) {
        H longest = null;
        long oldestMillis = nowMillis - minStallMillis;
        for (H holder : holders) {
            long progressMillis = holder.progressMillis();
            if (progressMillis <= oldestMillis) {
                oldestMillis = progressMillis;
                longest = holder;
            }
        }
        return Optional.ofNullable(longest);
    }
}
