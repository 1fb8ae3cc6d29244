package org.apricotdeal.relay.node;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits what is read from a connection each time that it is selected. Jetty reads until a connection has no bytes left, so
 * a peer that sends faster than the node parses would keep the selector thread, which serves all connections. A connection
 * whose turn is over appears to have no bytes until it is selected again, after the others.
 */
final class ReadTurn {
    /** Maximum number of bytes in a turn; a few buffers. */
    private static final int MAX_BYTES = 16 * 1024;

    private final AtomicInteger readBytes = new AtomicInteger();

    /** Starts a turn: the connection has been selected. */
    void start() {
        readBytes.set(0);
    }

    /**
     * Records bytes that were read.
     *
     * @param bytes number of bytes
     */
    void add(int bytes) {
        readBytes.addAndGet(bytes);
    }

    boolean isOver() {
        return readBytes.get() >= MAX_BYTES;
    }
}
