package org.apricotdeal.relay.model;

import java.util.List;
import java.util.Optional;

import org.apricotdeal.kernel.id.FabricDomainId;

/**
 * A VM's own report, asked for directly.
 *
 * @param fabricDomain its fabric domain, where it names one
 * @param startedWallMillis time of its start; 0 where it does not say
 * @param orderCount number of orders that it has begun since its start
 * @param busy true while it carries out an order
 * @param stagedModels models whose weights lie on its host
 * @param loadedModel model of its last replica since its start, where known
 * @param group its place in a replica, or nothing
 * @param waiting requests that wait there
 * @param running requests that it works on
 * @param slowdown how much slower than usual it works; 1 is usual
 */
public record VmReport(
        Optional<FabricDomainId> fabricDomain,
        long startedWallMillis,
        long orderCount,
        boolean busy,
        List<ModelId> stagedModels,
        Optional<ModelId> loadedModel,
        Optional<GroupMembership> group,
        int waiting,
        int running,
        double slowdown) {
    /** Copies the list. */
    public VmReport {
        stagedModels = List.copyOf(stagedModels);
    }
}
