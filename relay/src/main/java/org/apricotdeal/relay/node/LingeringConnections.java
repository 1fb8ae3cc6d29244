package org.apricotdeal.relay.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.util.IO;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Connections whose output has ended and that are closed once the peer has closed its end, or after a while. What still
 * arrives is discarded: at a closed connection it would cause a reset, which may overtake the response.
 */
final class LingeringConnections {
    private static final long LINGER_MILLIS = 2_000;
    private static final long READ_INTERVAL_MILLIS = 50;
    private static final int BUFFER_BYTES = 4 * 1024;

    /** Maximum number of buffers read from a connection at a time. */
    private static final int MAX_READS = 16;

    private final Queue<SocketChannel> channels = new ConcurrentLinkedQueue<>();

    /**
     * Adds a connection, which belongs to no selector any more.
     *
     * @param channel channel in non-blocking mode whose output has been shut down
     * @param scheduler runs the reads
     */
    void add(SocketChannel channel, Scheduler scheduler) {
        channels.add(channel);
        discard(channel, scheduler, LINGER_MILLIS);
    }

    int size() {
        return channels.size();
    }

    /** Closes the connection that was added first; returns false if there is none. */
    boolean closeOldest() {
        SocketChannel oldest = channels.poll();
        IO.close(oldest);
        return oldest != null;
    }

    /** Closes all connections. */
    void close() {
        while (closeOldest()) {
            // Each call closes one.
        }
    }

    private void discard(SocketChannel channel, Scheduler scheduler, long remainingMillis) {
        if (remainingMillis <= 0 || hasEnded(channel)) {
            channels.remove(channel);
            IO.close(channel);
            return;
        }
        scheduler.schedule(
                () -> discard(channel, scheduler, remainingMillis - READ_INTERVAL_MILLIS),
                READ_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Discards what has arrived; returns whether the peer has closed its end. */
    private static boolean hasEnded(SocketChannel channel) {
        ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);
        try {
            for (int i = 0; i < MAX_READS; i++) {
                int count = channel.read(buffer.clear());
                if (count <= 0) {
                    return count < 0;
                }
            }
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}
