package org.apricotdeal.relay.model;

import java.util.OptionalInt;

/**
 * Size of a generation as its caller states it.
 *
 * @param promptTokens number of tokens that the engine has to read
 * @param maxAnswerTokens number of tokens after which the answer ends
 * @param hintedAnswerTokens caller's estimate of the number of tokens of the answer; empty if there is none
 */
public record RequestSize(int promptTokens, int maxAnswerTokens, OptionalInt hintedAnswerTokens) {
    /** Checks the counts. */
    public RequestSize {
        if (promptTokens < 0 || maxAnswerTokens < 0 || hintedAnswerTokens.orElse(0) < 0) {
            throw new IllegalArgumentException("negative number of tokens");
        }
    }

    /** Returns the number of tokens that the request occupies in the memory of an engine at most. */
    public long maxTokens() {
        return (long) promptTokens + maxAnswerTokens;
    }
}
