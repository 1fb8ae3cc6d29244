package org.apricotdeal.relay.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.apricotdeal.kernel.id.FabricDomainId;

/**
 * State that a VM reports when polled.
 *
 * @param fabricDomain fabric domain, if the VM reports it
 * @param startedWallMillis wall-clock time of its start; 0 if the VM does not report it
 * @param orderCount number of orders that it has begun since its start
 * @param busy true while it executes an order
 * @param stagedModels models whose weights are stored on its host
 * @param loadedModel model of its last replica since its start, if known
 * @param group membership in a replica, or empty
 * @param waiting number of requests that wait at the VM
 * @param running number of requests that the VM is executing
 * @param slowdown factor by which the VM is slower than normal; 1 is normal
 * @param coldRemainingMillis time for which the VM remains cold; empty if it does not report it
 * @param memory memory for the requests that the VM holds; empty if it does not report it
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
        double slowdown,
        OptionalLong coldRemainingMillis,
        Optional<MemoryUse> memory) {
    /** Copies the list. */
    public VmReport {
        stagedModels = List.copyOf(stagedModels);
    }

    /**
     * Creates the report of a VM that says neither whether it is cold nor what it holds.
     *
     * @param fabricDomain fabric domain, if the VM reports it
     * @param startedWallMillis wall-clock time of its start; 0 if the VM does not report it
     * @param orderCount number of orders that it has begun since its start
     * @param busy true while it executes an order
     * @param stagedModels models whose weights are stored on its host
     * @param loadedModel model of its last replica since its start, if known
     * @param group membership in a replica, or empty
     * @param waiting number of requests that wait at the VM
     * @param running number of requests that the VM is executing
     * @param slowdown factor by which the VM is slower than normal; 1 is normal
     */
    public VmReport(
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
        this(
                fabricDomain,
                startedWallMillis,
                orderCount,
                busy,
                stagedModels,
                loadedModel,
                group,
                waiting,
                running,
                slowdown,
                OptionalLong.empty(),
                Optional.empty());
    }
}
