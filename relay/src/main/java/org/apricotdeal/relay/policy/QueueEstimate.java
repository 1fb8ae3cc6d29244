package org.apricotdeal.relay.policy;

/**
 * Current capacity of a queue for a given request.
 *
 * @param waiting number of requests in the queue
 * @param freeSlots slots without a known request
 * @param usableSlots slots of targets that are not suspected
 * @param waitMillis predicted waiting time behind the requests that precede it; {@link Double#MAX_VALUE} without
 * slots
 */
record QueueEstimate(int waiting, int freeSlots, int usableSlots, double waitMillis) {
    /** Returns whether no target can serve the request. */
    boolean hasNoTarget() {
        return freeSlots == 0 && usableSlots == 0;
    }

    /** Returns the details of a refusal, given how long the request has waited. */
    RefusalDetails refusalDetails(long waitedMillis) {
        long predictedMillis = waitMillis == Double.MAX_VALUE ? -1 : Math.round(waitMillis);
        return new RefusalDetails(waiting, predictedMillis, freeSlots, usableSlots, waitedMillis);
    }
}
