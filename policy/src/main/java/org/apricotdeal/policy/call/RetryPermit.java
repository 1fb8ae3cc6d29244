package org.apricotdeal.policy.call;

/** Decides whether a retry is within the retry budget; shared by all calls of a node. */
@FunctionalInterface
public interface RetryPermit {
    /** Permits every retry. */
    RetryPermit UNLIMITED = nowMillis -> true;

    /**
     * Takes one retry from the budget.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true where the retry may be sent
     */
    boolean tryRetry(long nowMillis);
}
