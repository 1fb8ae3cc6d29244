package org.apricotdeal.policy.spread;

/**
 * Intervals, timeouts and limits of {@link CatalogueSpread}.
 *
 * @param watchersPerDomain number of nodes of a failure domain that watch the platform for changes
 * @param watchMillis maximum wait of one long-polling call; a change missed because a connection was lost without notice is
 *     found by the next call
 * @param callTimeoutMillis time, in addition to the call's own wait, after which the call has failed
 * @param retryMillis minimum delay before a failed call to the platform is retried
 * @param domainPollMillis mean time between two polls of the platform by nodes of one failure domain that are not
 *     watchers; the interval of each node is proportional to the number of nodes
 * @param minPollMillis lower limit of the mean time between two such polls of one node
 * @param collectMillis time for which a node without a catalogue collects peers' versions while the platform is unavailable
 * @param peerTimeoutMillis time without a reply after which a request to a peer has failed and its version is forgotten
 * @param retainedVersions number of versions that a node retains to send its peers only changed entries
 */
public record SpreadSettings(
        int watchersPerDomain,
        long watchMillis,
        long callTimeoutMillis,
        long retryMillis,
        long domainPollMillis,
        long minPollMillis,
        long collectMillis,
        long peerTimeoutMillis,
        int retainedVersions) {
    /** Settings used by a node. */
    public static final SpreadSettings DEFAULT =
            new SpreadSettings(2, 5_000, 2_000, 1_000, 1_000, 5_000, 2_000, 1_000, 64);
}
