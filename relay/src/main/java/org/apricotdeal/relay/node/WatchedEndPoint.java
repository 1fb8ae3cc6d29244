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
 * A caller's connection that can be watched for its end while a request is handled. Jetty reads nothing then, so a caller
 * who leaves would not be noticed before something is written. Bytes of a next request that are read meanwhile are kept
 * and handed to Jetty when it reads again.
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
     * Starts watching. Must be called when the request has been read whole, and be ended before its answer is.
     *
     * @param onGone called once, on a thread of the selector, where the caller closes or resets the connection
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

    /** Ends watching. */
    void endWatch() {
        Watch ended;
        synchronized (this) {
            ended = watch;
            watch = null;
        }
        if (ended != null && isFillInterested()) {
            getFillInterest().onFail(new CancellationException("the request has its answer"));
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

    /** Takes the selector's word that the connection can be read. */
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
