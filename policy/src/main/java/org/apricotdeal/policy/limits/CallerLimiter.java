package org.apricotdeal.policy.limits;

import org.apricotdeal.catalogue.model.CallerEntry;

/**
 * Enforces this node's share of the limits of one caller: tokens per second, requests per second, and requests in progress.
 * The estimated tokens of a request are consumed when it is accepted, and corrected to the actual tokens when it ends.
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
     * @param caller catalogue entry with the limits over all nodes
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
     * Applies a change of the caller's entry or of the node's share.
     *
     * @param newCaller catalogue entry with the limits over all nodes
     * @param newShare the node's share of the limits, from 0 to 1
     * @param nowMillis monotonic time
     */
    public void update(CallerEntry newCaller, double newShare, long nowMillis) {
        caller = newCaller;
        share = newShare;
        tokens.setRate(caller.tokensPerSecond() * share, nowMillis);
        requests.setRate(caller.requestsPerSecond() * share, nowMillis);
    }

    /**
     * Checks the limits without counting a request against them.
     *
     * @param nowMillis monotonic time
     * @return whether the limits allow a request
     */
    public LimitVerdict check(long nowMillis) {
        if (inFlight >= maxInFlight()) {
            return new LimitVerdict.Exceeded(IN_FLIGHT_RETRY_MILLIS);
        }
        if (!requests.isAvailable(nowMillis)) {
            return new LimitVerdict.Exceeded(requests.millisUntilAvailable());
        }
        if (!tokens.isAvailable(nowMillis)) {
            return new LimitVerdict.Exceeded(tokens.millisUntilAvailable());
        }
        return LimitVerdict.Allowed.INSTANCE;
    }

    /**
     * Counts an accepted request against the limits.
     *
     * @param estimatedTokens tokens that the request is expected to generate
     */
    public void accept(double estimatedTokens) {
        inFlight++;
        requests.consume(1);
        tokens.consume(estimatedTokens);
    }

    /**
     * Corrects the consumed tokens after a request has ended, and no longer counts it as in progress.
     *
     * @param estimatedTokens tokens consumed when the request was accepted
     * @param generatedTokens tokens that the request generated
     */
    public void settle(double estimatedTokens, double generatedTokens) {
        inFlight--;
        tokens.consume(generatedTokens - estimatedTokens);
    }

    /**
     * Returns the number of accepted requests that have not ended.
     *
     * @return number of requests that are running or waiting
     */
    public int inFlight() {
        return inFlight;
    }

    /**
     * Returns the number of requests in progress that the share allows.
     *
     * @return number of requests, rounded down so that all nodes together stay within the limit
     */
    public int maxInFlight() {
        return (int) Math.floor(caller.maxInFlight() * share + 1e-9);
    }
}
