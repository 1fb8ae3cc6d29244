package org.apricotdeal.policy.retry;

/**
 * Limits retries to a share of first attempts, so that a fault that fails many requests cannot multiply the load. Each first
 * attempt adds the share to the budget, and each retry takes 1 from it. The budget is bounded.
 */
public final class RetryBudget {
    private static final double MAX_AVAILABLE_RETRIES = 20;

    private double share;
    private double available = MAX_AVAILABLE_RETRIES / 2;

    /**
     * Creates a budget.
     *
     * @param share retries allowed for each first attempt, from 0 to 1
     */
    public RetryBudget(double share) {
        this.share = share;
    }

    /**
     * Changes the share.
     *
     * @param newShare retries allowed for each first attempt, from 0 to 1
     */
    public void setShare(double newShare) {
        share = newShare;
    }

    /** Adds the share of a first attempt to the budget. */
    public void firstAttemptStarted() {
        available = Math.min(MAX_AVAILABLE_RETRIES, available + share);
    }

    /**
     * Takes a retry from the budget if it holds at least one.
     *
     * @return false if the budget is exhausted
     */
    public boolean tryRetry() {
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
