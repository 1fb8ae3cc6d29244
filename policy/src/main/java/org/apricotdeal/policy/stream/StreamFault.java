package org.apricotdeal.policy.stream;

/** Deliberate faults of a stream's decisions, so that tests can show that the checks find them. */
public enum StreamFault {
    /** No fault. */
    NONE,
    /** Takes tokens of attempts that are over. */
    TAKE_LATE_TOKENS,
    /** Resumes one token too far. */
    SKIP_ON_RESUME,
    /** Ends with the engine's end although tokens are missing. */
    FINISH_EARLY
}
