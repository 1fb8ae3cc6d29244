package org.apricotdeal.relay.policy;

import org.apricotdeal.relay.model.ColdStart;

/**
 * Bound on the requests to a cold VM, over all nodes.
 *
 * @param overrun factor by which requests may exceed the rate that a cold VM tolerates; 0 if there is no bound
 * @param slackRequests number of requests that are allowed in addition in each second
 */
public record ColdBounds(double overrun, double slackRequests) {
    /** No bound. */
    public static final ColdBounds OFF = new ColdBounds(0, 0);

    /**
     * Returns the bound for the VMs of an upstream.
     *
     * @param coldStart what a cold VM tolerates
     * @return maximum number of requests in any second; 0 if there is no bound
     */
    public int maxPerSecond(ColdStart coldStart) {
        return overrun > 0 && coldStart.isLimited()
                ? (int) Math.floor(coldStart.requestsPerSecond() * overrun + slackRequests)
                : 0;
    }
}
