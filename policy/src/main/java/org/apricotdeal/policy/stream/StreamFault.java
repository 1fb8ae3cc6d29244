package org.apricotdeal.policy.stream;

/** Faults injected into {@link TokenStreamMachine} to test that the checks detect them. */
public enum StreamFault {
    /** No fault. */
    NONE,
    /** Accepts tokens of attempts that have ended. */
    TAKE_LATE_TOKENS,
    /** Skips one token when the stream is resumed. */
    SKIP_ON_RESUME,
    /** Finishes when the engine finishes, although tokens are missing. */
    FINISH_EARLY
}
