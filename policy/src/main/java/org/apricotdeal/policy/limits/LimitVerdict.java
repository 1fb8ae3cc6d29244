package org.apricotdeal.policy.limits;

/** Whether a caller's limits allow a request. */
public sealed interface LimitVerdict {
    /** The limits allow it. */
    record Allowed() implements LimitVerdict {
        static final Allowed INSTANCE = new Allowed();
    }

    /**
     * The node's share of a limit is used up.
     *
     * @param retryAfterMillis time after which the share allows a request again
     */
    record Exceeded(long retryAfterMillis) implements LimitVerdict {}
}
