package org.apricotdeal.policy.admission;

/**
 * Charges callers for what their requests really use, and learns from each request how fast its upstream and target are
 * and how long its caller's answers get.
 */
final class Settlement {
    private static final double OVERRUN_SHARE = 0.25;

    private final OutputEstimator estimator;

    Settlement(OutputEstimator estimator) {
        this.estimator = estimator;
    }

    /** Takes new tokens of a running request. */
    void progressed(long nowMillis, RequestState request, int tokens) {
        long passedMillis = nowMillis - request.lastProgressMillis;
        request.target.succeeded();
        if (request.tokens == request.tokensAtDispatch) {
            request.upstream.observeFirstToken((double) passedMillis);
        } else {
            request.target.observeInterval((double) passedMillis / (tokens - request.tokens));
        }
        request.tokens = tokens;
        request.lastProgressMillis = nowMillis;
        chargeOverrun(nowMillis, request);
    }

    /** Charges a stream that runs on past its estimate while it runs, not only at its end. */
    private static void chargeOverrun(long nowMillis, RequestState request) {
        double overrun = request.usedCost() - request.charged;
        if (overrun > OVERRUN_SHARE * request.charged) {
            request.classState.queue.charge(nowMillis, request.callerQueue, overrun);
            request.charged += overrun;
        }
    }

    /** Takes a running request off its target and class, and charges what it used. */
    void released(long nowMillis, RequestState request) {
        request.target.released(nowMillis);
        request.classState.running.remove(request);
        request.classState.queue.charge(nowMillis, request.callerQueue, request.usedCost() - request.charged);
        request.phase = RequestState.Phase.ENDED;
    }

    /** Learns from a request whose whole answer came. */
    void completed(long nowMillis, RequestState request) {
        double holdMillis = nowMillis - request.dispatchedMillis;
        double used = request.usedCost();
        request.upstream.observeHold(holdMillis, used);
        request.target.succeeded();
        if (request.tokens == 0) {
            request.target.observeInterval(holdMillis / used);
            return;
        }
        estimator.observe(request.arrival, request.tokens);
    }
}
