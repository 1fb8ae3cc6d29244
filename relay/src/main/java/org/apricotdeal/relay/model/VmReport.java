package org.apricotdeal.relay.model;

import java.util.List;
import java.util.Optional;

import org.apricotdeal.kernel.id.FabricDomainId;

/**
 * A VM's own report, asked for directly.
 *
 * @param fabricDomain its fabric domain, where it names one
 * @param startedWallMillis time of its start; 0 where it does not say
 * @param orders number of orders that it has begun since its start
 * @param busy true while it carries out an order
 * @param staged models whose weights lie on its host
 * @param loaded model of its last replica since its start, where known
 * @param group its place in a replica, or nothing
 * @param waiting requests that wait there
 * @param running requests that it works on
 * @param pace how much slower than usual it works; 1 is usual
 */
public record VmReport(
        Optional<FabricDomainId> fabricDomain,
        long startedWallMillis,
        long orders,
        boolean busy,
        List<ModelId> staged,
        Optional<ModelId> loaded,
        Optional<GroupMembership> group,
        int waiting,
        int running,
        double pace) {
    /** Copies the list. */
    public VmReport {
        staged = List.copyOf(staged);
    }
}
