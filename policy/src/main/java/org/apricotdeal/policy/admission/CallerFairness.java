package org.apricotdeal.policy.admission;

/** Orders the callers of one class: the one with the lowest rank goes next. */
interface CallerFairness {
    /**
     * Called when a caller that had nothing waiting gets a request.
     *
     * @param queue the caller's queue
     */
    void activated(CallerQueue queue);

    /**
     * Called when a request is dispatched, and when its real cost becomes known.
     *
     * @param nowMillis monotonic time
     * @param queue the caller's queue
     * @param cost work in units of output tokens; negative to take some back
     */
    void charged(long nowMillis, CallerQueue queue, double cost);

    /**
     * Called when a caller's request goes next.
     *
     * @param queue the caller's queue
     */
    void served(CallerQueue queue);
}
