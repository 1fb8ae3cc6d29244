package org.apricotdeal.policy.limits;

import org.apricotdeal.catalogue.model.CallerEntry;

/**
 * Holds one caller to this node's share of its limits: tokens and requests each second, and requests in progress. Tokens
 * are drawn as estimated when a request is accepted and settled when it ends.
 */
public final class CallerLimiter {
    private static final long IN_FLIGHT_RETRY_MILLIS = 250;

    private final TokenBucket tokens;
    private final TokenBucket requests;
    private CallerEntry caller;
    private double share;
    private int inFlight;

    /**
     * Creates the limiter.
     *
     * @param caller the caller
     * @param share the node's share of the limits, from 0 to 1
     * @param nowMillis monotonic time
     */
    public CallerLimiter(CallerEntry caller, double share, long nowMillis) {
        this.caller = caller;
        this.share = share;
        this.tokens = new TokenBucket(caller.tokensPerSecond() * share, nowMillis);
        this.requests = new TokenBucket(caller.requestsPerSecond() * share, nowMillis);
    }

    /**
     * Takes a change of the caller's entry or of the node's share.
     *
     * @param changedCaller the caller
     * @param changedShare the node's share of the limits, from 0 to 1
     * @param nowMillis monotonic time
     */
    public void change(CallerEntry changedCaller, double changedShare, long nowMillis) {
        caller = changedCaller;
        share = changedShare;
        tokens.setRate(caller.tokensPerSecond() * share, nowMillis);
        requests.setRate(caller.requestsPerSecond() * share, nowMillis);
    }

    /**
     * Checks the limits without drawing on them.
     *
     * @param nowMillis monotonic time
     * @return whether they allow a request
     */
    public LimitVerdict check(long nowMillis) {
        if (inFlight >= maxInFlight()) {
            return new LimitVerdict.Exceeded(IN_FLIGHT_RETRY_MILLIS);
        }
        if (!requests.isOpen(nowMillis)) {
            return new LimitVerdict.Exceeded(requests.millisUntilOpen());
        }
        if (!tokens.isOpen(nowMillis)) {
            return new LimitVerdict.Exceeded(tokens.millisUntilOpen());
        }
        return LimitVerdict.Allowed.INSTANCE;
    }

    /**
     * Draws on the limits for an accepted request.
     *
     * @param estimatedTokens tokens that it is expected to generate
     */
    public void accept(double estimatedTokens) {
        inFlight++;
        requests.draw(1);
        tokens.draw(estimatedTokens);
    }

    /**
     * Settles a request that has ended.
     *
     * @param estimatedTokens tokens drawn when it was accepted
     * @param generatedTokens tokens that it generated
     */
    public void settle(double estimatedTokens, double generatedTokens) {
        inFlight--;
        tokens.draw(generatedTokens - estimatedTokens);
    }

    /**
     * Returns requests in progress or waiting.
     *
     * @return number of requests
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns how many requests in progress the share allows.
     *
     * @return number of requests; parts are rounded down, so that the shares of all nodes stay within the limit
     */
    public int maxInFlight() {
        return (int) Math.floor(caller.maxInFlight() * share + 1e-9);
    }
}
