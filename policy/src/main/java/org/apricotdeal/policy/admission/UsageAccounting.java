package org.apricotdeal.policy.admission;

/**
 * Charges callers for the actual cost of their requests, and updates the measured speed of upstreams and targets and the
 * observed length of callers' answers.
 */
final class UsageAccounting {
    private static final double OVERRUN_TOLERANCE = 0.25;

    private final OutputEstimator estimator;

    UsageAccounting(OutputEstimator estimator) {
        this.estimator = estimator;
    }

    /** Records new tokens of a running request. */
    void progressed(long nowMillis, RequestState request, int tokens) {
        long passedMillis = nowMillis - request.lastProgressMillis;
        request.target.attemptProgressed();
        if (request.tokens == request.tokensAtDispatch) {
            request.upstream.observeFirstToken((double) passedMillis);
        } else {
            request.target.observeInterval((double) passedMillis / (tokens - request.tokens));
        }
        request.tokens = tokens;
        request.lastProgressMillis = nowMillis;
        chargeOverrun(nowMillis, request);
    }

    /** Charges a stream that exceeds its estimate while it is running, not only when it ends. */
    private static void chargeOverrun(long nowMillis, RequestState request) {
        double overrun = request.usedCost() - request.chargedCost;
        if (overrun > OVERRUN_TOLERANCE * request.chargedCost) {
            request.classState.queue.charge(nowMillis, request.callerQueue, overrun);
            request.chargedCost += overrun;
        }
    }

    /** Removes a running request from its target and class, and charges its actual cost. */
    void released(long nowMillis, RequestState request) {
        request.target.released(nowMillis);
        request.classState.running.remove(request);
        request.classState.queue.charge(nowMillis, request.callerQueue, request.usedCost() - request.chargedCost);
        request.phase = RequestState.Phase.ENDED;
    }

    /** Updates the measurements with a request whose whole answer was received. */
    void completed(long nowMillis, RequestState request) {
        double serviceMillis = nowMillis - request.dispatchedMillis;
        double used = request.usedCost();
        request.upstream.observeServiceTime(serviceMillis, used);
        request.target.attemptProgressed();
        if (request.tokens == 0) {
            request.target.observeInterval(serviceMillis / used);
            return;
        }
        estimator.observe(request.arrival, request.tokens);
    }
}
