package org.apricotdeal.lab.experiment;

import java.util.List;

/**
 * The simulated fleet.
 *
 * @param failureDomains names of the failure domains
 * @param nodesPerDomain number of nodes of each failure domain, in the same order
 * @param replicasPerDomain model replicas in each failure domain
 * @param serviceVmsPerDomain service VMs in each failure domain
 * @param prefixCacheEntries prompt prefixes that one replica's cache holds
 * @param minDelayMicros shortest one-way time between two processes
 * @param maxDelayMicros longest one-way time between two processes
 */
public record FleetSpec(
        List<String> failureDomains,
        List<Integer> nodesPerDomain,
        int replicasPerDomain,
        int serviceVmsPerDomain,
        int prefixCacheEntries,
        long minDelayMicros,
        long maxDelayMicros) {
    /** Copies the lists. */
    public FleetSpec {
        failureDomains = List.copyOf(failureDomains);
        nodesPerDomain = List.copyOf(nodesPerDomain);
    }
}
