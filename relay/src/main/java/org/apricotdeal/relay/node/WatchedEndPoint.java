package org.apricotdeal.relay.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CancellationException;
import java.util.function.IntConsumer;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that detects a disconnect while a request is handled. Jetty does not read from the connection during
 * that time, so it would notice a disconnect only at the next write. Bytes of the next request that are read meanwhile are
 * buffered until Jetty reads again. Reading is limited for each turn ({@link ReadTurn}).
 */
final class WatchedEndPoint extends SocketChannelEndPoint {
    private static final int READ_AHEAD_BYTES = 2_048;

    private final ReadTurn turn = new ReadTurn();
    private final LingeringConnections lingering;
    private final SelectionKey key;
    private ByteBuffer readAheadBuffer = BufferUtil.EMPTY_BUFFER;
    private Watch watch;
    private volatile boolean outputEnded;
    private volatile IntConsumer onFlush = count -> {};

    WatchedEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            LingeringConnections lingering) {
        super(channel, selector, key, scheduler);
        this.key = key;
        this.lingering = lingering;
    }

    @Override
    public Runnable onSelected() {
        turn.start();
        return super.onSelected();
    }

    @Override
    public synchronized int fill(ByteBuffer buffer) throws IOException {
        if (readAheadBuffer.hasRemaining()) {
            return BufferUtil.append(buffer, readAheadBuffer);
        }
        if (turn.isOver()) {
            return 0;
        }
        int filled = super.fill(buffer);
        turn.add(Math.max(0, filled));
        return filled;
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        long before = BufferUtil.remaining(buffers);
        boolean flushed = super.flush(buffers);
        onFlush.accept((int) (before - BufferUtil.remaining(buffers)));
        return flushed;
    }

    /** Sets what is told the number of bytes whenever the caller may have accepted some. */
    void watchFlushes(IntConsumer listener) {
        onFlush = listener;
    }

    /**
     * Sends a response without content and closes the connection, on which no response has been started.
     *
     * @param status status of the response
     * @param retryAfterSeconds time after which the caller may retry; empty for none
     */
    void closeWith(int status, String retryAfterSeconds) {
        String retryAfter = retryAfterSeconds.isEmpty() ? "" : "Retry-After: " + retryAfterSeconds + "\r\n";
        String head = "HTTP/1.1 " + status + " " + HttpStatus.getMessage(status) + "\r\n" + retryAfter
                + "Content-Length: 0\r\nConnection: close\r\n\r\n";
        try {
            flush(ByteBuffer.wrap(head.getBytes(StandardCharsets.US_ASCII)));
        } catch (IOException e) {
            // The caller has closed the connection.
        }
        endOutput();
    }

    /** Ends the output and closes the connection, which lingers until the caller has read its end. */
    void endOutput() {
        shutdownOutput();
        close();
    }

    @Override
    protected void doShutdownOutput() {
        super.doShutdownOutput();
        outputEnded = true;
    }

    /** Leaves the connection to linger if its response is complete; one that is aborted is closed at once. */
    @Override
    public void doClose() {
        if (!outputEnded) {
            super.doClose();
            return;
        }
        key.cancel();
        lingering.add(getChannel(), getScheduler());
    }

    /**
     * Starts watching for a disconnect. Must be called after the request has been read completely, and must be ended before
     * the response is completed.
     *
     * @param onDisconnect called once, on a selector thread, if the caller closes or resets the connection
     */
    void watchForDisconnect(Runnable onDisconnect) {
        Watch started = new Watch(onDisconnect);
        synchronized (this) {
            watch = started;
        }
        if (!tryFillInterested(started)) {
            stopWatching();
        }
    }

    /** Stops watching for a disconnect. */
    void stopWatching() {
        Watch ended;
        synchronized (this) {
            ended = watch;
            watch = null;
        }
        if (ended != null && isFillInterested()) {
            getFillInterest().onFail(new CancellationException("the request has been answered"));
        }
    }

    private boolean readAhead(Watch reading) {
        boolean keepWatching = false;
        boolean disconnected = false;
        synchronized (this) {
            if (watch != reading) {
                return false;
            }
            ByteBuffer buffer = BufferUtil.allocate(READ_AHEAD_BYTES);
            try {
                int filled = super.fill(buffer);
                disconnected = filled < 0;
                keepWatching = filled == 0;
            } catch (IOException e) {
                disconnected = true;
            }
            if (buffer.hasRemaining()) {
                readAheadBuffer = buffer;
            }
            if (!keepWatching) {
                watch = null;
            }
        }
        if (keepWatching) {
            tryFillInterested(reading);
        }
        return disconnected;
    }

    /** Called by the selector when the connection is readable. */
    private final class Watch implements Callback {
        private final Runnable onDisconnect;

        Watch(Runnable onDisconnect) {
            this.onDisconnect = onDisconnect;
        }

        @Override
        public void succeeded() {
            if (readAhead(this)) {
                onDisconnect.run();
            }
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    }
}
