package org.apricotdeal.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.engine.TokenListener;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpStatus;

/**
 * One attempt at a token stream: reads server-sent events as they arrive and calls the listener until the stream has
 * ended, once, in one of three ways: finished, failed, or cancelled.
 */
final class TokenStream implements Response.Listener {
    /** Longest time to tell an engine that an attempt is cancelled. */
    static final long CANCEL_TIMEOUT_MILLIS = 2_000;

    private static final int MAX_REFUSAL_BYTES = 2_048;
    private static final String DATA_PREFIX = "data:";
    private static final String END_MARK = "[DONE]";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Request request;
    private final String attemptId;
    private final TokenListener listener;
    private final SendMarker marker;
    private final LineSplitter lines = new LineSplitter(this::takeLine);
    private final StringBuilder refusal = new StringBuilder();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile long lastByteNanos = System.nanoTime();
    private String finishReason = "stop";

    TokenStream(Request request, String attemptId, TokenListener listener) {
        this.request = request;
        this.attemptId = attemptId;
        this.listener = listener;
        this.marker = SendMarker.on(request);
    }

    void send() {
        request.send(this);
    }

    /** Ends the stream without a word to the listener; false where it has ended already. */
    boolean cancel() {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        var unused = request.abort(new IllegalStateException("cancelled"));
        return true;
    }

    boolean wasSilent() {
        return System.nanoTime() - lastByteNanos >= TimeUnit.MILLISECONDS.toNanos(HttpEngineClient.SILENCE_MILLIS);
    }

    @Override
    public void onContent(Response response, ByteBuffer content) {
        lastByteNanos = System.nanoTime();
        if (response.getStatus() == HttpStatus.OK_200) {
            lines.take(content);
        } else if (refusal.length() < MAX_REFUSAL_BYTES) {
            refusal.append(StandardCharsets.UTF_8.decode(content));
        }
    }

    private void takeLine(String line) {
        if (ended.get() || !line.startsWith(DATA_PREFIX)) {
            return;
        }
        String data = line.substring(DATA_PREFIX.length()).strip();
        if (data.equals(END_MARK)) {
            if (ended.compareAndSet(false, true)) {
                listener.finished(finishReason);
            }
            return;
        }
        try {
            takeToken(MAPPER.readTree(data));
        } catch (JsonProcessingException e) {
            breakOff("not a valid event: " + e.getOriginalMessage());
        }
    }

    private void takeToken(JsonNode event) {
        if (!event.path("id").asText().equals(attemptId)) {
            breakOff("an event of another stream: " + event.path("id").asText());
            return;
        }
        JsonNode choice = event.path("choices").path(0);
        if (choice.hasNonNull("finish_reason")) {
            finishReason = choice.path("finish_reason").asText();
        }
        if (event.has("offset")) {
            listener.token(event.path("offset").asInt(), choice.path("text").asText());
        }
    }

    private void breakOff(String detail) {
        if (ended.compareAndSet(false, true)) {
            var unused = request.abort(new IllegalStateException(detail));
            listener.failed(new StreamFailure.Broken(detail));
        }
    }

    @Override
    public void onComplete(Result result) {
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        listener.failed(failure(result));
    }

    private StreamFailure failure(Result result) {
        if (result.isFailed()) {
            String detail = Failures.describe(result.getFailure());
            return marker.mayHaveLeft() ? new StreamFailure.Broken(detail) : new StreamFailure.NotStarted(detail);
        }
        int status = result.getResponse().getStatus();
        if (status != HttpStatus.OK_200) {
            return new StreamFailure.NotStarted("status " + status + ": " + refusal);
        }
        return new StreamFailure.Broken("the stream ended without its end mark");
    }
}
