package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits the memory that a node uses for one kind of buffer, over all exchanges. Large buffers leave a part of it to small
 * ones, so that a crowd of large ones does not keep ordinary requests out; holders that stall give way to others.
 */
final class BufferLimit {
    /** Size above which a buffer is large; that of ordinary requests and responses is below it. */
    private static final int LARGE_BYTES = 64 * 1024;

    private static final int SMALL_PART = 4;

    private final long maxBytes;
    private final long maxLargeBytes;
    private final AtomicLong bytes = new AtomicLong();
    private final Set<Holder> holders = ConcurrentHashMap.newKeySet();

    /** A holder of reserved bytes that can be made to give way. */
    interface Holder extends StalledHolder {
        /** Returns the number of bytes reserved for it. */
        int heldBytes();
    }

    /**
     * Creates a limit of which nothing is reserved.
     *
     * @param maxBytes maximum size of all buffers
     */
    BufferLimit(long maxBytes) {
        this.maxBytes = maxBytes;
        this.maxLargeBytes = maxBytes - maxBytes / SMALL_PART;
    }

    /** Reserves bytes, or releases them if the count is negative; returns false and reserves nothing beyond the limit. */
    boolean tryReserve(int count) {
        return tryReserve(count, 0);
    }

    /**
     * Reserves bytes for a buffer that grows, or releases them if the count is negative.
     *
     * @param count number of bytes
     * @param sizeBytes size of the buffer with these bytes
     * @return false if that exceeds what buffers of this size may take; nothing is reserved then
     */
    boolean tryReserve(int count, long sizeBytes) {
        long limitBytes = sizeBytes > LARGE_BYTES ? maxLargeBytes : maxBytes;
        if (bytes.addAndGet(count) <= limitBytes || count <= 0) {
            return true;
        }
        bytes.addAndGet(-count);
        return false;
    }

    /** Counts bytes that are already in use, also beyond the limit. */
    void hold(int count) {
        bytes.addAndGet(count);
    }

    void release(int count) {
        bytes.addAndGet(-count);
    }

    long reservedBytes() {
        return bytes.get();
    }

    void add(Holder holder) {
        holders.add(holder);
    }

    void remove(Holder holder) {
        holders.remove(holder);
    }

    /**
     * Makes the holder that stalled first release its bytes: a large one, or a small one if none of these has stalled and
     * the small ones hold more than the part that is left to them, or the room is for a small one.
     *
     * @param nowMillis current time
     * @param sizeBytes size of the buffer that needs the room
     * @return false if there is no such holder
     */
    boolean makeRoom(long nowMillis, long sizeBytes) {
        while (true) {
            Optional<Holder> stalled = longestStalled(nowMillis, true);
            if (stalled.isEmpty() && (sizeBytes <= LARGE_BYTES || smallBytes() > maxBytes - maxLargeBytes)) {
                stalled = longestStalled(nowMillis, false);
            }
            if (stalled.isEmpty()) {
                return false;
            }
            holders.remove(stalled.get());
            if (stalled.get().giveWay()) {
                return true;
            }
        }
    }

    private Optional<Holder> longestStalled(long nowMillis, boolean large) {
        List<Holder> candidates = holders.stream()
                .filter(holder -> holder.heldBytes() > 0 && holder.heldBytes() > LARGE_BYTES == large)
                .toList();
        return StalledHolder.longestStalled(candidates, nowMillis, StalledHolder.MIN_STALL_MILLIS);
    }

    private long smallBytes() {
        return holders.stream()
                .mapToLong(Holder::heldBytes)
                .filter(heldBytes -> heldBytes <= LARGE_BYTES)
                .sum();
    }
}
