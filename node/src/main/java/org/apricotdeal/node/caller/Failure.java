package org.apricotdeal.node.caller;

/**
 * An answer of the node itself in place of an upstream's.
 *
 * @param status HTTP status
 * @param code machine-readable reason
 * @param message reason for people
 * @param outcome whether the request ran
 * @param retryAfterMillis when a retry can help; 0 where it cannot
 */
public record Failure(int status, FailureCode code, String message, Outcome outcome, long retryAfterMillis) {
    /**
     * Creates a failure of a request that certainly did not run.
     *
     * @param status HTTP status
     * @param code machine-readable reason
     * @param message reason for people
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
     * @param message reason for people
     * @param retryAfterMillis when a retry can help
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
     * @param message reason for people
     * @return the failure
     */
    public static Failure unknown(int status, FailureCode code, String message) {
        return new Failure(status, code, message, Outcome.UNKNOWN, 0);
    }
}
