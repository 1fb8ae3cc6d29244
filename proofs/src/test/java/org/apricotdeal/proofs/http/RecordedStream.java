package org.apricotdeal.proofs.http;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.engine.TokenListener;
import org.apricotdeal.proofs.standins.StandinFixture;

import static org.testng.Assert.assertEquals;

/** Records a token stream and checks that it keeps its order and ends once. */
public final class RecordedStream implements TokenListener {
    private final List<String> tokens = new ArrayList<>();
    private int firstOffset = -1;
    private String violation = "";
    private End end;

    /** How a stream ended. */
    public sealed interface End {}

    /**
     * The whole answer has come.
     *
     * @param reason why the engine ended it
     */
    public record Finished(String reason) implements End {}

    /**
     * The stream failed.
     *
     * @param failure what went wrong
     */
    public record Failed(StreamFailure failure) implements End {}

    @Override
    public synchronized void token(int offset, String text) {
        if (firstOffset < 0) {
            firstOffset = offset;
        }
        if (end != null || offset != firstOffset + tokens.size()) {
            violation = "token " + offset + " after " + tokens.size() + " tokens from " + firstOffset + ", end " + end;
        }
        tokens.add(text);
    }

    @Override
    public synchronized void finished(String finishReason) {
        end(new Finished(finishReason));
    }

    @Override
    public synchronized void failed(StreamFailure failure) {
        end(new Failed(failure));
    }

    private void end(End next) {
        if (end != null) {
            violation = "ended twice: " + end + ", " + next;
        }
        end = next;
    }

    /**
     * Tells whether the stream has not ended.
     *
     * @return true while it goes on
     */
    public synchronized boolean isOpen() {
        assertEquals(violation, "");
        return end == null;
    }

    /**
     * Returns the text so far.
     *
     * @return all tokens
     */
    public synchronized String text() {
        assertEquals(violation, "");
        return String.join("", tokens);
    }

    /**
     * Returns the offset of the first token.
     *
     * @return the offset, -1 where none has come
     */
    public synchronized int firstOffset() {
        return firstOffset;
    }

    /**
     * Returns how many tokens have come.
     *
     * @return number of tokens
     */
    public synchronized int count() {
        return tokens.size();
    }

    /**
     * Waits for tokens.
     *
     * @param count number of tokens
     */
    public void awaitTokens(int count) {
        StandinFixture.await(count + " tokens", () -> count() >= count);
    }

    /**
     * Waits for the end.
     *
     * @return how the stream ended
     */
    public End awaitEnd() {
        StandinFixture.await("the end of the stream", () -> !isOpen());
        return end();
    }

    private synchronized End end() {
        return end;
    }

    /**
     * Waits for the end of the whole answer.
     *
     * @param reason the reason expected
     */
    public void awaitFinished(String reason) {
        assertEquals(awaitEnd(), new Finished(reason));
    }

    /**
     * Waits for a failure.
     *
     * @return the failure
     */
    public StreamFailure awaitFailure() {
        return switch (awaitEnd()) {
            case Failed(StreamFailure failure) -> failure;
            case Finished finished -> throw new AssertionError(finished);
        };
    }
}
