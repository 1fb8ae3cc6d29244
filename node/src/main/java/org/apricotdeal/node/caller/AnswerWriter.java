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
 * Writes one completion to its caller, token by token or as a whole. Tokens that arrive while a write is in progress are
 * joined into the next one, so that a slow caller costs memory for its own answer only and never blocks a thread.
 */
public final class AnswerWriter {
    private static final int NO_OFFSET = -1;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String id;
    private final boolean stream;
    private final Response response;
    private final Callback exchange;
    private volatile Runnable onCallerGone = () -> {};
    private final StringBuilder pending = new StringBuilder();
    private final StringBuilder whole = new StringBuilder();
    private int tokens;
    private boolean committed;
    private boolean writing;
    private boolean last;
    private boolean closed;

    AnswerWriter(String id, boolean stream, Response response, Callback exchange) {
        this.id = id;
        this.stream = stream;
        this.response = response;
        this.exchange = exchange;
    }

    /**
     * Sets what happens when the caller has gone.
     *
     * @param action must not block
     */
    public void onCallerGone(Runnable action) {
        onCallerGone = action;
    }

    /**
     * Writes a token.
     *
     * @param offset its offset in the whole answer, from 0
     * @param text its text
     */
    public synchronized void token(int offset, String text) {
        tokens++;
        if (!stream) {
            whole.append(text);
            return;
        }
        pending.append("data: ").append(chunk(offset, text, null)).append("\n\n");
        flush();
    }

    /**
     * Ends the answer.
     *
     * @param reason why the engine ended it
     */
    public synchronized void finished(String reason) {
        if (stream) {
            pending.append("data: ").append(chunk(NO_OFFSET, "", reason)).append("\n\n");
            pending.append("data: [DONE]\n\n");
            last = true;
            flush();
            return;
        }
        closed = true;
        byte[] body = wholeBody(reason);
        response.getHeaders().put(Outcome.HEADER, Outcome.ANSWERED.word());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(body), exchange);
    }

    /**
     * Ends the exchange with a failure; a stream that has begun gets it as its last event.
     *
     * @param failure the failure
     */
    public synchronized void failed(Failure failure) {
        if (closed || last) {
            return;
        }
        if (!committed) {
            closed = true;
            FailureWriter.write(failure, response, exchange);
            return;
        }
        String body = new String(FailureWriter.body(failure), StandardCharsets.UTF_8);
        pending.append("event: error\ndata: ").append(body).append("\n\n");
        last = true;
        flush();
    }

    private void flush() {
        if (writing || closed || (pending.isEmpty() && !last)) {
            return;
        }
        if (!committed) {
            committed = true;
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
            response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
            response.getHeaders().put(Outcome.HEADER, Outcome.ANSWERED.word());
        }
        ByteBuffer bytes = ByteBuffer.wrap(pending.toString().getBytes(StandardCharsets.UTF_8));
        pending.setLength(0);
        writing = true;
        boolean ends = last;
        closed = ends;
        response.write(ends, bytes, ends ? exchange : Callback.from(this::written, this::callerGone));
    }

    private synchronized void written() {
        writing = false;
        flush();
    }

    private void callerGone(Throwable failure) {
        synchronized (this) {
            closed = true;
        }
        onCallerGone.run();
        exchange.failed(failure);
    }

    private String chunk(int offset, String text, String finishReason) {
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
        return render(root);
    }

    private byte[] wholeBody(String reason) {
        ObjectNode root = JSON.createObjectNode();
        root.put("id", id);
        root.put("object", "text_completion");
        ObjectNode choice = root.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", whole.toString());
        choice.put("finish_reason", reason);
        root.putObject("usage").put("completion_tokens", tokens);
        return render(root).getBytes(StandardCharsets.UTF_8);
    }

    private static String render(ObjectNode root) {
        try {
            return JSON.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("answer cannot be rendered", e);
        }
    }
}
