package org.apricotdeal.relay.policy;

/**
 * Work that a request is likely to cause at an engine of usual pace.
 *
 * @param readMillis time for which its prompt delays the first events of other requests
 * @param answerMillis time from the first event to the end of the answer, for which it occupies a slot
 */
record RequestCost(double readMillis, double answerMillis) {
    /** Share of the predicted answer that is assumed to be left of an answer that has lasted longer than predicted. */
    private static final double MIN_REMAINING_SHARE = 0.25;

    /** Returns the time for which the request occupies a slot from its start. */
    double slotMillis() {
        return readMillis + answerMillis;
    }

    /**
     * Returns the time for which the request is still likely to occupy its slot.
     *
     * @param answeringMillis time since the first event; negative if there was none yet
     */
    double remainingMillis(long answeringMillis) {
        if (answeringMillis < 0) {
            return slotMillis();
        }
        return Math.max(MIN_REMAINING_SHARE * answerMillis, answerMillis - answeringMillis);
    }
}
