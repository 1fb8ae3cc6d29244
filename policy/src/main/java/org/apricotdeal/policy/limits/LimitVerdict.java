package org.apricotdeal.policy.limits;

/** Result of checking a request against its caller's limits. */
public sealed interface LimitVerdict {
    /** The limits allow the request. */
    record Allowed() implements LimitVerdict {
        static final Allowed INSTANCE = new Allowed();
    }

    /**
     * The node's share of a limit is used up.
     *
     * @param retryAfterMillis time after which the share is expected to allow a request again
     */
    record Exceeded(long retryAfterMillis) implements LimitVerdict {}
}
