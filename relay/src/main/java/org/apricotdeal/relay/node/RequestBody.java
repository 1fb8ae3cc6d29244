package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * The body of a request while it is read and until its exchange ends. Reserves the memory that it takes, so that a burst of
 * large bodies, each within the limit of a body, does not exhaust the heap.
 */
final class RequestBody {
    private static final int INITIAL_BYTES = 1_024;

    private final BufferLimit limit;
    private final long maxBytes;
    private byte[] bytes = new byte[0];
    private int size;
    private int reservedBytes;
    private boolean released;

    /**
     * Creates an empty body.
     *
     * @param limit limit of the memory of all bodies
     * @param maxBytes maximum size of a body, beyond which no memory is reserved in advance
     */
    RequestBody(BufferLimit limit, long maxBytes) {
        this.limit = limit;
        this.maxBytes = maxBytes;
    }

    /** Reserves the memory of a body of a known length; returns false if there is not enough. */
    synchronized boolean tryReserve(long length) {
        if (!released && length <= bytes.length) {
            return true;
        }
        if (released || length > Integer.MAX_VALUE || !limit.tryReserve((int) length - reservedBytes, length)) {
            return false;
        }
        reservedBytes = (int) length;
        bytes = Arrays.copyOf(bytes, reservedBytes);
        return true;
    }

    /** Adds content; returns false if there is not enough memory. */
    synchronized boolean add(ByteBuffer content) {
        if (released) {
            return false;
        }
        int needed = size + content.remaining();
        long ahead = Math.min(maxBytes, Math.max(INITIAL_BYTES, 2L * bytes.length));
        if (needed > bytes.length && !tryReserve(Math.max(needed, ahead))) {
            return false;
        }
        int added = content.remaining();
        content.get(bytes, size, added);
        size += added;
        return true;
    }

    synchronized int reservedBytes() {
        return reservedBytes;
    }

    synchronized int size() {
        return size;
    }

    /** Returns the content, without copying it. */
    synchronized ByteBuffer content() {
        return ByteBuffer.wrap(bytes, 0, size).asReadOnlyBuffer();
    }

    /** Releases the reserved memory, after which the body takes no content; has an effect once. */
    synchronized void release() {
        limit.release(reservedBytes);
        reservedBytes = 0;
        released = true;
    }
}
