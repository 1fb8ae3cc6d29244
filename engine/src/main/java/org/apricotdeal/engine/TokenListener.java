package org.apricotdeal.engine;

/** Receives the tokens and the end of one token stream. */
public interface TokenListener {
    /**
     * Called for each token.
     *
     * @param offset index of the token in the whole answer, from 0
     * @param text text of the token
     */
    void token(int offset, String text);

    /**
     * Called when the stream has ended normally; no further call follows.
     *
     * @param finishReason reason given by the engine, such as {@code stop} or {@code length}
     */
    void finished(String finishReason);

    /**
     * Called when the stream has failed; no further call follows.
     *
     * @param failure cause of the failure
     */
    void failed(StreamFailure failure);
}
