package org.apricotdeal.engine;

/** Reason why a token stream ended prematurely. */
public sealed interface StreamFailure {
    /**
     * Returns a description of the failure.
     *
     * @return human-readable description
     */
    String detail();

    /**
     * The engine did not start the stream: it could not be reached, or rejected the request.
     *
     * @param detail human-readable description
     */
    record NotStarted(String detail) implements StreamFailure {}

    /**
     * The stream was interrupted after it had started.
     *
     * @param detail human-readable description
     */
    record Broken(String detail) implements StreamFailure {}
}
