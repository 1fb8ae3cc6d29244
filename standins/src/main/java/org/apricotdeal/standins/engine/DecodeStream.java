package org.apricotdeal.standins.engine;

import java.util.Comparator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.standins.server.StreamWriter;

/** One token stream of an engine: what it has to say, how far it is, and where it goes. */
final class DecodeStream {
    /** The most urgent first, then the longest waiting. */
    static final Comparator<DecodeStream> BY_URGENCY =
            Comparator.<DecodeStream>comparingInt(s -> s.priority).thenComparingLong(s -> s.arrivalNumber);

    private final String requestId;
    private final String prompt;
    private final int maxTokens;
    private final int priority;
    private final long arrivalNumber;
    private final ExpectedAnswer answer;
    private final StreamWriter writer;
    private int nextOffset;
    private int sentTokens;
    private long readyAtNanos;

    /**
     * Creates a stream.
     *
     * @param arrivalNumber grows with each stream of the engine
     * @param request what was asked for
     * @param writer takes the events
     */
    DecodeStream(long arrivalNumber, DecodeRequest request, StreamWriter writer) {
        this.arrivalNumber = arrivalNumber;
        this.requestId = request.requestId();
        this.prompt = request.prompt();
        this.maxTokens = request.maxTokens();
        this.priority = request.priority();
        this.nextOffset = request.generatedTokens();
        this.answer = ExpectedAnswer.to(prompt);
        this.writer = writer;
    }

    String requestId() {
        return requestId;
    }

    String prompt() {
        return prompt;
    }

    int priority() {
        return priority;
    }

    int sentTokens() {
        return sentTokens;
    }

    boolean isFinished() {
        return nextOffset >= maxTokens;
    }

    boolean isReady(long nowNanos) {
        return nowNanos - readyAtNanos >= 0;
    }

    void readyAt(long nanos) {
        readyAtNanos = nanos;
    }

    StreamWriter writer() {
        return writer;
    }

    /** Sends the next token; with the last one also its reason and the end mark. */
    void sendToken() {
        boolean isLast = nextOffset == maxTokens - 1;
        ObjectNode event = event(answer.token(nextOffset), isLast ? "length" : null);
        event.put("offset", nextOffset);
        nextOffset++;
        sentTokens++;
        writer.write("data: " + event + "\n\n");
        if (isLast) {
            sendEnd();
        }
    }

    /** Ends a stream that has no token left to send. */
    void sendNothing() {
        writer.write("data: " + event("", "length") + "\n\n");
        sendEnd();
    }

    /** Shows the caller that the stream waits, which finds callers that are gone. */
    void sendWaiting() {
        writer.write(": waiting\n\n");
    }

    private void sendEnd() {
        writer.write("data: [DONE]\n\n");
        writer.end();
    }

    private ObjectNode event(String text, String finishReason) {
        ObjectNode event = JsonNodeFactory.instance.objectNode();
        event.put("id", requestId);
        event.putArray("choices").addObject().put("index", 0).put("text", text).put("finish_reason", finishReason);
        return event;
    }
}
