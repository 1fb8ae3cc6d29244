package org.apricotdeal.relay.model;

/**
 * How the VMs of an upstream behave after a start.
 *
 * @param startMillis time for which a VM is cold after a start during traffic
 * @param requestsPerSecond number of requests in a second that a cold VM tolerates; 0 if there is no limit
 */
public record ColdStart(long startMillis, double requestsPerSecond) {
    /** VMs that tolerate any rate of requests at any time. */
    public static final ColdStart UNLIMITED = new ColdStart(0, 0);

    /**
     * Returns whether cold VMs tolerate only a limited rate of requests.
     *
     * @return false if there is no limit
     */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }
}
