package org.apricotdeal.relay.node;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory for parts of responses that a node buffers until the response or the next event is complete. */
final class ResponseBufferLimit {
    /** An eighth of a node's heap on the users' machines; a growing buffer may take twice the size of its content. */
    private static final long MAX_BYTES = 16L * 1024 * 1024;

    private final AtomicLong bytes = new AtomicLong();

    /** Reserves bytes, or releases them if the count is negative; returns false and reserves nothing beyond the limit. */
    boolean tryReserve(int count) {
        if (bytes.addAndGet(count) <= MAX_BYTES || count <= 0) {
            return true;
        }
        bytes.addAndGet(-count);
        return false;
    }

    void release(int count) {
        bytes.addAndGet(-count);
    }
}
