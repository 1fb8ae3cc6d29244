package org.apricotdeal.relay.node;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes of answers that a node holds until they, or their next events, are whole. */
final class HeldBytes {
    /** An eighth of a node's heap on the users' machines; a buffer that grows holds twice its bytes. */
    private static final long MAX_BYTES = 16L * 1024 * 1024;

    private final AtomicLong bytes = new AtomicLong();

    /** Takes bytes, fewer where negative, into account; returns whether there is room for them, else takes none. */
    boolean tryHold(int count) {
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
