package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Writes to a caller one piece after the other; Jetty takes a write only when the one before it has ended. */
final class CallerWriter implements Callback {
    private final Response response;
    private final Callback completion;
    private final Deque<Piece> pieces = new ArrayDeque<>();
    private boolean writing;
    private boolean ended;
    private Throwable failure;

    /** Bytes to write, and what to do then. */
    private record Piece(ByteBuffer bytes, boolean last, Runnable onWritten) {}

    /**
     * Creates a writer.
     *
     * @param response where to write
     * @param completion Jetty's callback of the exchange, completed once
     */
    CallerWriter(Response response, Callback completion) {
        this.response = response;
        this.completion = completion;
    }

    /**
     * Writes a piece.
     *
     * @param bytes the bytes
     * @param onWritten run when the caller's connection has taken them
     */
    void write(ByteBuffer bytes, Runnable onWritten) {
        add(new Piece(bytes, false, onWritten));
    }

    /**
     * Writes the last piece and completes the answer.
     *
     * @param bytes the bytes, possibly none
     */
    void end(ByteBuffer bytes) {
        add(new Piece(bytes, true, () -> {}));
    }

    /**
     * Ends an answer that has begun so that it cannot be taken for a whole one: closes the connection.
     *
     * @param cause why
     */
    void abort(Throwable cause) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            pieces.clear();
        }
        completion.failed(cause);
    }

    private void add(Piece piece) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = piece.last();
            pieces.addLast(piece);
            if (writing) {
                return;
            }
            writing = true;
        }
        writeNext();
    }

    private void writeNext() {
        Piece piece;
        synchronized (this) {
            piece = pieces.peekFirst();
            if (piece == null) {
                writing = false;
                return;
            }
        }
        response.write(piece.last(), piece.bytes() == null ? BufferUtil.EMPTY_BUFFER : piece.bytes(), this);
    }

    @Override
    public void succeeded() {
        Piece written;
        synchronized (this) {
            written = pieces.pollFirst();
        }
        if (written == null) {
            return;
        }
        if (written.last()) {
            completion.succeeded();
            return;
        }
        written.onWritten().run();
        writeNext();
    }

    @Override
    public void failed(Throwable cause) {
        boolean first;
        synchronized (this) {
            first = failure == null;
            failure = cause;
            ended = true;
            pieces.clear();
        }
        if (first) {
            completion.failed(cause);
        }
    }

    @Override
    public InvocationType getInvocationType() {
        return InvocationType.NON_BLOCKING;
    }
}
