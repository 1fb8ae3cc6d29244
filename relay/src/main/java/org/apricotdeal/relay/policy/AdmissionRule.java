package org.apricotdeal.relay.policy;

import java.util.Optional;

/** Decides whether a request may wait for a target or is refused at once; changes nothing. */
final class AdmissionRule {
    /** Minimum share of the objective that a request may wait, so that a slow queue still admits some requests. */
    private static final double MIN_WAIT_SHARE = 0.2;

    private AdmissionRule() {}

    /**
     * Returns why a request is refused.
     *
     * @param request the request
     * @param estimate capacity of its queue for it
     * @param nowMillis monotonic time
     * @return the reason; empty if the request is admitted
     */
    static Optional<RefusalReason> refusal(RequestState request, QueueEstimate estimate, long nowMillis) {
        if (estimate.hasNoTarget()) {
            return Optional.of(request.queue.noTargetReason());
        }
        boolean slotsReserved = request.returningCaller
                && request.queue.reservesSlotsForNewCallers(
                        estimate, nowMillis, request.arrival.route().objectiveMillis());
        return slotsReserved || estimate.waitMillis() > maxWaitMillis(request)
                ? Optional.of(RefusalReason.OVERLOAD)
                : Optional.empty();
    }

    /**
     * Returns how long a request may wait. A new caller has to start within its objective; a returning caller has
     * already missed it.
     */
    static double maxWaitMillis(RequestState request) {
        long objective = request.arrival.route().objectiveMillis();
        if (request.returningCaller) {
            return objective;
        }
        return Math.max(objective * MIN_WAIT_SHARE, objective - request.queue.startMillis.value());
    }
}
