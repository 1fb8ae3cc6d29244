package org.apricotdeal.node.caller;

/**
 * A failure that the node reports to the caller instead of an upstream's answer.
 *
 * @param status HTTP status
 * @param code machine-readable reason
 * @param message human-readable reason
 * @param outcome whether the request ran
 * @param retryAfterMillis time after which a retry may succeed; 0 if a retry wouldn't help
 */
public record Failure(int status, FailureCode code, String message, Outcome outcome, long retryAfterMillis) {
    /**
     * Creates a failure of a request that certainly did not run.
     *
     * @param status HTTP status
     * @param code machine-readable reason
     * @param message human-readable reason
     * @return the failure
     */
    public static Failure notRun(int status, FailureCode code, String message) {
        return new Failure(status, code, message, Outcome.NOT_RUN, 0);
    }

    /**
     * Creates a failure of a request that certainly did not run and may be sent again.
     *
     * @param status HTTP status
     * @param code machine-readable reason
     * @param message human-readable reason
     * @param retryAfterMillis time after which a retry may succeed
     * @return the failure
     */
    public static Failure retryLater(int status, FailureCode code, String message, long retryAfterMillis) {
        return new Failure(status, code, message, Outcome.NOT_RUN, retryAfterMillis);
    }

    /**
     * Creates a failure of a request that may have run.
     *
     * @param status HTTP status
     * @param code machine-readable reason
     * @param message human-readable reason
     * @return the failure
     */
    public static Failure unknown(int status, FailureCode code, String message) {
        return new Failure(status, code, message, Outcome.UNKNOWN, 0);
    }
}
