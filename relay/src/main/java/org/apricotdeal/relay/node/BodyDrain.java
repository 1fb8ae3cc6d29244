package org.apricotdeal.relay.node;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apricotdeal.kernel.time.Clock;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/**
 * Discards the rest of a request's body after its response has been written, so that the caller can finish sending and read
 * the response: a connection that is closed while bytes arrive is reset, which may overtake the response (RFC 9112, 9.6).
 * Ends with a lingering close, also if the body takes too long or is too large.
 */
final class BodyDrain implements Callback, StalledHolder {
    /** Time without progress after which the connection is closed. */
    private static final long MAX_STALL_MILLIS = 2_000;

    /** Time after which the connection is closed although the body progresses. */
    private static final long MAX_MILLIS = 10_000;

    private final Request request;
    private final long maxBytes;
    private final Clock clock;
    private final long startMillis;
    private final TransferProgress progress;
    private final WatchedEndPoint caller;
    private final AtomicBoolean ended = new AtomicBoolean();
    private Callback completion;
    private Throwable failure;
    private long bytes;

    /**
     * Creates a drain that has discarded nothing.
     *
     * @param request request whose body is discarded
     * @param maxBytes size beyond which the connection is closed
     * @param clock clock for the bounds of time
     */
    BodyDrain(Request request, long maxBytes, Clock clock) {
        this.request = request;
        this.maxBytes = maxBytes;
        this.clock = clock;
        startMillis = clock.monotonicMillis();
        progress = new TransferProgress(MAX_MILLIS, startMillis);
        caller = (WatchedEndPoint)
                request.getConnectionMetaData().getConnection().getEndPoint();
    }

    /** Discards what has arrived of the body; returns whether that was all. */
    boolean discardArrived() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                return false;
            }
            if (Content.Chunk.isFailure(chunk)) {
                failure = chunk.getFailure();
                return false;
            }
            bytes += chunk.remaining();
            progress.add(chunk.remaining(), 0, clock.monotonicMillis());
            boolean last = chunk.isLast();
            chunk.release();
            if (last) {
                return true;
            }
        }
    }

    /**
     * Returns the callback of the write of a response that announces the end of the connection, after which the rest of the
     * body is discarded.
     *
     * @param whenEnded completed once when the body has ended or the connection has been closed
     */
    Callback thenComplete(Callback whenEnded) {
        completion = whenEnded;
        setHolder(this);
        return this;
    }

    @Override
    public void succeeded() {
        closeWhenOverdue();
        drain();
    }

    @Override
    public void failed(Throwable cause) {
        if (tryEnd()) {
            completion.failed(cause);
        }
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }

    /** Returns the time of the start: a request that has its response has no claim to a connection that others need. */
    @Override
    public long progressMillis() {
        return startMillis;
    }

    @Override
    public boolean giveWay() {
        caller.close();
        failed(new ClosedChannelException());
        return true;
    }

    private void drain() {
        if (discardArrived()) {
            end();
            return;
        }
        if (failure != null) {
            failed(failure);
            return;
        }
        if (bytes > maxBytes) {
            caller.endOutput();
            failed(new IOException("the body is too long to be discarded"));
            return;
        }
        request.demand(this::drain);
    }

    private void closeWhenOverdue() {
        if (ended.get()) {
            return;
        }
        long endMillis = Math.min(startMillis + MAX_MILLIS, progress.progressMillis() + MAX_STALL_MILLIS);
        long remainingMillis = endMillis - clock.monotonicMillis();
        if (remainingMillis <= 0) {
            caller.endOutput();
            failed(new TimeoutException("the body has not arrived in time"));
            return;
        }
        caller.getScheduler().schedule(this::closeWhenOverdue, remainingMillis, TimeUnit.MILLISECONDS);
    }

    private void end() {
        if (tryEnd()) {
            completion.succeeded();
            caller.endOutput();
        }
    }

    private boolean tryEnd() {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        setHolder(null);
        return true;
    }

    private void setHolder(StalledHolder holder) {
        if (request.getConnectionMetaData().getConnection() instanceof CallerConnection connection) {
            connection.setHolder(holder);
        }
    }
}
