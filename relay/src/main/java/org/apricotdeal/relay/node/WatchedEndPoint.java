package org.apricotdeal.relay.node;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CancellationException;

import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that detects a disconnect while a request is handled. Jetty does not read from the connection during
 * that time, so it would notice a disconnect only at the next write. Bytes of the next request that are read meanwhile are
 * buffered until Jetty reads again.
 */
final class WatchedEndPoint extends SocketChannelEndPoint {
    private static final int READ_AHEAD_BYTES = 2_048;

    private ByteBuffer ahead = BufferUtil.EMPTY_BUFFER;
    private Watch watch;

    WatchedEndPoint(SocketChannel channel, ManagedSelector selector, SelectionKey key, Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public synchronized int fill(ByteBuffer buffer) throws IOException {
        if (ahead.hasRemaining()) {
            return BufferUtil.append(buffer, ahead);
        }
        return super.fill(buffer);
    }

    /**
     * Starts watching for a disconnect. Must be called after the request has been read completely, and must be ended before
     * the response is completed.
     *
     * @param onGone called once, on a selector thread, if the caller closes or resets the connection
     */
    void watch(Runnable onGone) {
        Watch started = new Watch(onGone);
        synchronized (this) {
            watch = started;
        }
        if (!tryFillInterested(started)) {
            endWatch();
        }
    }

    /** Stops watching for a disconnect. */
    void endWatch() {
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
        boolean goOn = false;
        boolean gone = false;
        synchronized (this) {
            if (watch != reading) {
                return false;
            }
            ByteBuffer buffer = BufferUtil.allocate(READ_AHEAD_BYTES);
            try {
                int filled = super.fill(buffer);
                gone = filled < 0;
                goOn = filled == 0;
            } catch (IOException e) {
                gone = true;
            }
            if (buffer.hasRemaining()) {
                ahead = buffer;
            }
            if (!goOn) {
                watch = null;
            }
        }
        if (goOn) {
            tryFillInterested(reading);
        }
        return gone;
    }

    /** Called by the selector when the connection is readable. */
    private final class Watch implements Callback {
        private final Runnable onGone;

        Watch(Runnable onGone) {
            this.onGone = onGone;
        }

        @Override
        public void succeeded() {
            if (readAhead(this)) {
                onGone.run();
            }
        }

        @Override
        public InvocationType getInvocationType() {
            return InvocationType.NON_BLOCKING;
        }
    }
}
