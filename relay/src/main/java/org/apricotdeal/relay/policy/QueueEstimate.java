package org.apricotdeal.relay.policy;

/**
 * What a line can do for a request now.
 *
 * @param waiting requests that wait in the line
 * @param freeSlots slots that are taken by no request known of
 * @param usableSlots slots of the targets that are not in doubt
 * @param waitMillis predicted time behind those that go before the request; {@link Double#MAX_VALUE} without slots
 */
record QueueEstimate(int waiting, int freeSlots, int usableSlots, double waitMillis) {
    /** Tells whether no target can serve the request. */
    boolean hasNoTarget() {
        return freeSlots == 0 && usableSlots == 0;
    }

    /** Describes a refusal of a request that has waited. */
    RefusalDetails refusalDetails(long waitedMillis) {
        long predictedMillis = waitMillis == Double.MAX_VALUE ? -1 : Math.round(waitMillis);
        return new RefusalDetails(waiting, predictedMillis, freeSlots, usableSlots, waitedMillis);
    }
}
