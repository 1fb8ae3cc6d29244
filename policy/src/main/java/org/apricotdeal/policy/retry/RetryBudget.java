package org.apricotdeal.policy.retry;

/**
 * Bounds retries to a share of first attempts, so that a fault that fails many requests cannot multiply the load. Each
 * first attempt earns a part of a retry, each retry costs a whole one; what is earned is kept up to a bound.
 */
public final class RetryBudget {
    private static final double MAX_SAVED_RETRIES = 20;

    private double share;
    private double saved = MAX_SAVED_RETRIES / 2;

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
     * @param changed retries allowed for each first attempt, from 0 to 1
     */
    public void setShare(double changed) {
        share = changed;
    }

    /** Counts a first attempt. */
    public void attempted() {
        saved = Math.min(MAX_SAVED_RETRIES, saved + share);
    }

    /**
     * Takes a retry out of the budget.
     *
     * @return false where the budget is spent
     */
    public boolean tryRetry() {
        if (saved < 1) {
            return false;
        }
        saved--;
        return true;
    }
}
