package org.apricotdeal.node.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes one completion to its caller, either token by token or as a single response. Tokens that arrive while a write is in
 * progress are buffered and sent with the next write. A slow caller therefore uses memory only for its own answer and never
 * blocks a thread.
 */
public final class CompletionWriter {
    private static final int NO_OFFSET = -1;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String id;
    private final boolean streaming;
    private final Response response;
    private final Callback callback;
    private volatile Runnable onWriteFailure = () -> {};
    private final StringBuilder pending = new StringBuilder();
    private final StringBuilder wholeText = new StringBuilder();
    private int tokenCount;
    private boolean committed;
    private boolean writeInProgress;
    private boolean endQueued;
    private boolean closed;

    CompletionWriter(String id, boolean streaming, Response response, Callback callback) {
        this.id = id;
        this.streaming = streaming;
        this.response = response;
        this.callback = callback;
    }

    /**
     * Sets the action that runs when a write to the caller fails, usually because the caller has disconnected.
     *
     * @param action the action; must not block
     */
    public void onWriteFailure(Runnable action) {
        onWriteFailure = action;
    }

    /**
     * Writes a token.
     *
     * @param offset index of the token in the whole answer, from 0
     * @param text text of the token
     */
    public synchronized void writeToken(int offset, String text) {
        tokenCount++;
        if (!streaming) {
            wholeText.append(text);
            return;
        }
        pending.append("data: ").append(eventData(offset, text, null)).append("\n\n");
        writePending();
    }

    /**
     * Ends the answer.
     *
     * @param reason the engine's finish reason
     */
    public synchronized void finish(String reason) {
        if (streaming) {
            pending.append("data: ").append(eventData(NO_OFFSET, "", reason)).append("\n\n");
            pending.append("data: [DONE]\n\n");
            endQueued = true;
            writePending();
            return;
        }
        closed = true;
        byte[] body = fullResponseBody(reason);
        response.getHeaders().put(Outcome.HEADER, Outcome.ANSWERED.externalName());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /**
     * Ends the exchange with a failure. If the stream has begun, the failure is sent as its last event.
     *
     * @param failure the failure to report to the caller
     */
    public synchronized void fail(Failure failure) {
        if (closed || endQueued) {
            return;
        }
        if (!committed) {
            closed = true;
            FailureWriter.write(failure, response, callback);
            return;
        }
        String body = new String(FailureWriter.body(failure), StandardCharsets.UTF_8);
        pending.append("event: error\ndata: ").append(body).append("\n\n");
        endQueued = true;
        writePending();
    }

    private void writePending() {
        if (writeInProgress || closed || (pending.isEmpty() && !endQueued)) {
            return;
        }
        if (!committed) {
            committed = true;
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
            response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
            response.getHeaders().put(Outcome.HEADER, Outcome.ANSWERED.externalName());
        }
        ByteBuffer bytes = ByteBuffer.wrap(pending.toString().getBytes(StandardCharsets.UTF_8));
        pending.setLength(0);
        writeInProgress = true;
        boolean isLastWrite = endQueued;
        closed = isLastWrite;
        response.write(
                isLastWrite, bytes, isLastWrite ? callback : Callback.from(this::writeCompleted, this::writeFailed));
    }

    private synchronized void writeCompleted() {
        writeInProgress = false;
        writePending();
    }

    private void writeFailed(Throwable failure) {
        synchronized (this) {
            closed = true;
        }
        onWriteFailure.run();
        callback.failed(failure);
    }

    private String eventData(int offset, String text, String finishReason) {
        ObjectNode root = JSON.createObjectNode();
        root.put("id", id);
        root.put("object", "text_completion");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", text);
        choice.put("finish_reason", finishReason);
        if (offset != NO_OFFSET) {
            root.put("offset", offset);
        }
        return toJson(root);
    }

    private byte[] fullResponseBody(String reason) {
        ObjectNode root = JSON.createObjectNode();
        root.put("id", id);
        root.put("object", "text_completion");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", wholeText.toString());
        choice.put("finish_reason", reason);
        root.putObject("usage").put("completion_tokens", tokenCount);
        return toJson(root).getBytes(StandardCharsets.UTF_8);
    }

    private static String toJson(ObjectNode root) {
        try {
            return JSON.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the answer as JSON", e);
        }
    }
}
