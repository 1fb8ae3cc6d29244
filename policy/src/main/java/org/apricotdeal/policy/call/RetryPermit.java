package org.apricotdeal.policy.call;

/** Decides whether the retry budget permits a retry. The budget is shared by all calls of a node. */
@FunctionalInterface
public interface RetryPermit {
    /** Permits every retry. */
    RetryPermit UNLIMITED = nowMillis -> true;

    /**
     * Takes one retry from the budget.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return true if the retry may be sent
     */
    boolean tryRetry(long nowMillis);
}
