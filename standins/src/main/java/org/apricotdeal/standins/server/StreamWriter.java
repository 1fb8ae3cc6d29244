package org.apricotdeal.standins.server;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Sends an answer piece by piece without blocking: a piece that comes while an earlier one is still being written waits and
 * is sent together with its successors.
 */
public final class StreamWriter {
    private final Exchange exchange;
    private final Response response;
    private final Callback callback;
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private boolean writing;
    private boolean ending;
    private boolean closed;
    private boolean muted;
    private Runnable onLost = () -> {};

    StreamWriter(Exchange exchange, Response response, Callback callback) {
        this.exchange = exchange;
        this.response = response;
        this.callback = callback;
    }

    /**
     * Sets what to do when the caller is found to be gone.
     *
     * @param action the action; called at most once
     */
    public synchronized void onLost(Runnable action) {
        onLost = action;
    }

    /**
     * Sends a piece.
     *
     * @param text the piece
     */
    public void write(String text) {
        synchronized (this) {
            if (closed || ending) {
                return;
            }
            if (muted) {
                return;
            }
            pending.writeBytes(text.getBytes(StandardCharsets.UTF_8));
        }
        pump();
    }

    /** Ends the answer after all pieces. */
    public void end() {
        synchronized (this) {
            if (closed || ending) {
                return;
            }
            ending = true;
            if (muted) {
                closed = true;
                return;
            }
        }
        pump();
    }

    /** Drops all further pieces and leaves the connection open, as when something on the way has lost track of it. */
    public synchronized void mute() {
        muted = true;
    }

    /**
     * Returns the exchange whose answer this is.
     *
     * @return the exchange
     */
    public Exchange exchange() {
        return exchange;
    }

    /** Cuts the connection in the midst of the answer. */
    public void cutOff() {
        synchronized (this) {
            if (closed) {
                return;
            }
            closed = true;
        }
        exchange.cutOff();
    }

    /**
     * Tells whether pieces are still taken.
     *
     * @return false once the answer has ended or the connection is lost
     */
    public synchronized boolean isOpen() {
        return !closed && !ending;
    }

    private void pump() {
        ByteBuffer content;
        boolean last;
        synchronized (this) {
            if (closed || writing || (pending.size() == 0 && !ending)) {
                return;
            }
            writing = true;
            last = ending;
            content = ByteBuffer.wrap(pending.toByteArray());
            pending = new ByteArrayOutputStream();
        }
        response.write(last, content, Callback.from(() -> written(last), this::failed));
    }

    private void written(boolean last) {
        synchronized (this) {
            writing = false;
            closed = closed || last;
        }
        if (last) {
            callback.succeeded();
        } else {
            pump();
        }
    }

    private void failed(Throwable failure) {
        Runnable lost;
        synchronized (this) {
            lost = onLost;
            onLost = () -> {};
            if (closed) {
                return;
            }
            closed = true;
        }
        callback.failed(failure);
        lost.run();
    }
}
