package org.apricotdeal.policy.admission;

/** Orders the callers of one class: the caller with the lowest rank is served next. */
interface CallerFairness {
    /**
     * Called when a request is queued for a caller that had none waiting.
     *
     * @param queue the caller's queue
     */
    void activated(CallerQueue queue);

    /**
     * Called when a request is dispatched, and again when its actual cost is known.
     *
     * @param nowMillis monotonic time
     * @param queue the caller's queue
     * @param cost cost in units of output tokens; negative for a refund
     */
    void charged(long nowMillis, CallerQueue queue, double cost);

    /**
     * Called when a request of the caller is about to be dispatched.
     *
     * @param queue the caller's queue
     */
    void served(CallerQueue queue);
}
