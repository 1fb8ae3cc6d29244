package org.apricotdeal.relay.node;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that a node uses for one kind of buffer, over all exchanges. */
final class BufferLimit {
    private final long maxBytes;
    private final AtomicLong bytes = new AtomicLong();

    /**
     * Creates a limit of which nothing is reserved.
     *
     * @param maxBytes maximum size of all buffers
     */
    BufferLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves bytes, or releases them if the count is negative; returns false and reserves nothing beyond the limit. */
    boolean tryReserve(int count) {
        if (bytes.addAndGet(count) <= maxBytes || count <= 0) {
            return true;
        }
        bytes.addAndGet(-count);
        return false;
    }

    void release(int count) {
        bytes.addAndGet(-count);
    }
}
