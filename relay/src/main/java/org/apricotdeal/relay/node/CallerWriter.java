package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/** Queues the writes of a response, because Jetty accepts a write only after the previous one has completed. */
final class CallerWriter implements Callback {
    private final Response response;
    private final Callback completion;
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private boolean writing;
    private boolean ended;
    private Throwable failure;

    /** Bytes to write, and an action to run after the write. */
    private record Chunk(ByteBuffer bytes, boolean last, Runnable onWritten) {}

    /**
     * Creates a writer.
     *
     * @param response response to write to
     * @param completion Jetty's callback of the exchange, which the writer completes exactly once
     */
    CallerWriter(Response response, Callback completion) {
        this.response = response;
        this.completion = completion;
    }

    /**
     * Queues a chunk of the response, without writing it.
     *
     * @param bytes content of the chunk
     * @param onWritten action to run when the chunk has been written to the caller's connection
     */
    void queue(ByteBuffer bytes, Runnable onWritten) {
        add(new Chunk(bytes, false, onWritten));
    }

    /** Writes what is queued, unless a write is under way, after which it is written. */
    void flush() {
        synchronized (this) {
            if (writing) {
                return;
            }
            writing = true;
        }
        writeNext();
    }

    /**
     * Writes the last chunk and completes the response.
     *
     * @param bytes content of the chunk; may be empty
     */
    void end(ByteBuffer bytes) {
        add(new Chunk(bytes, true, () -> {}));
        flush();
    }

    /**
     * Aborts a response that has been started by closing the connection, so that the caller cannot mistake it for a complete
     * one.
     *
     * @param cause reason for the abort
     */
    void abort(Throwable cause) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            chunks.clear();
        }
        completion.failed(cause);
    }

    private synchronized void add(Chunk chunk) {
        if (!ended) {
            ended = chunk.last();
            chunks.addLast(chunk);
        }
    }

    private void writeNext() {
        Chunk chunk;
        synchronized (this) {
            chunk = chunks.peekFirst();
            if (chunk == null) {
                writing = false;
                return;
            }
        }
        response.write(chunk.last(), chunk.bytes() == null ? BufferUtil.EMPTY_BUFFER : chunk.bytes(), this);
    }

    @Override
    public void succeeded() {
        Chunk written;
        synchronized (this) {
            written = chunks.pollFirst();
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
            chunks.clear();
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
