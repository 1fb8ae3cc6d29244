package org.apricotdeal.relay.policy;

/**
 * What a refusal was decided on.
 *
 * @param waiting requests that wait in the same line
 * @param predictedWaitMillis time that a newcomer would wait there; -1 where no target could serve it
 * @param freeSlots slots of the line's targets that are taken by no request known of
 * @param usableSlots slots of the line's targets that are not in doubt
 * @param waitedMillis time since the request arrived
 */
public record RefusalDetails(
        int waiting, long predictedWaitMillis, int freeSlots, int usableSlots, long waitedMillis) {}
