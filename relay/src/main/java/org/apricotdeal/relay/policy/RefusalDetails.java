package org.apricotdeal.relay.policy;

/**
 * State on which a refusal was based.
 *
 * @param waiting number of requests in the same queue
 * @param predictedWaitMillis predicted waiting time of the request; -1 if no target can serve it
 * @param freeSlots slots of the queue's targets without a known request
 * @param usableSlots slots of the queue's targets that are not suspected
 * @param waitedMillis time since the request arrived
 */
public record RefusalDetails(
        int waiting, long predictedWaitMillis, int freeSlots, int usableSlots, long waitedMillis) {}
