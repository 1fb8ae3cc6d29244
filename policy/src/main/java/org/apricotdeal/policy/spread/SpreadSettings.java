package org.apricotdeal.policy.spread;

/**
 * Settings of the catalogue's spread.
 *
 * @param watchersPerDomain nodes of a failure domain that wait for changes at the platform
 * @param watchMillis longest time of one waiting call; a change that a silent connection has lost is found by the next
 * @param callTimeoutMillis time beyond a call's own waiting time after which it counts as failed
 * @param retryMillis time before a failed call to the platform is repeated
 * @param domainPollMillis time between two short calls to the platform by nodes of one failure domain that are no
 *     watchers; each of them calls the less often the more they are
 * @param minPollMillis shortest time between two such calls of one node
 * @param settleMillis time for which a node without a catalogue collects peers' versions while the platform is away
 * @param peerTimeoutMillis time after which a peer that was asked for entries is taken for gone
 * @param keptVersions versions whose changes a node keeps, to send peers only what has changed
 */
public record SpreadSettings(
        int watchersPerDomain,
        long watchMillis,
        long callTimeoutMillis,
        long retryMillis,
        long domainPollMillis,
        long minPollMillis,
        long settleMillis,
        long peerTimeoutMillis,
        int keptVersions) {
    /** The settings of a node. */
    public static final SpreadSettings DEFAULT =
            new SpreadSettings(2, 5_000, 2_000, 1_000, 1_000, 5_000, 2_000, 1_000, 64);
}
