package org.apricotdeal.relay.model;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;

/**
 * State of a VM of an upstream, as reported by the VM.
 *
 * @param id identifies the VM
 * @param upstream upstream that the VM serves
 * @param address host and port
 * @param failureDomain failure domain of the VM
 * @param fabricDomain fabric domain of the VM; empty for plain services
 * @param release release of the software that the VM runs; empty if it reports none
 * @param slots maximum number of concurrent requests
 * @param leaving true once the VM has announced that it leaves
 * @param startedWallMillis wall-clock time of its start; identifies the incarnation
 * @param orderCount number of orders that it has begun since its start, or {@link #ORDER_COUNT_UNKNOWN}
 * @param stagedModels models whose weights are stored on its host
 * @param loadedModel model of its last replica since its start, if known
 * @param group membership in a replica, or empty
 * @param coldRemainingMillis time for which the VM remained cold when it wrote this; empty if that is not known
 * @param busy whether it executed an order when it last reported its state; false if it has not reported it, or has joined or
 * left a replica since
 */
public record UpstreamVm(
        VmId id,
        UpstreamId upstream,
        String address,
        FailureDomainId failureDomain,
        Optional<FabricDomainId> fabricDomain,
        String release,
        int slots,
        boolean leaving,
        long startedWallMillis,
        long orderCount,
        List<ModelId> stagedModels,
        Optional<ModelId> loadedModel,
        Optional<GroupMembership> group,
        OptionalLong coldRemainingMillis,
        boolean busy) {
    /** Order count of a VM that has not reported it; a VM reports it when its state is polled. */
    public static final long ORDER_COUNT_UNKNOWN = -1;

    /** Copies the list. */
    public UpstreamVm {
        stagedModels = List.copyOf(stagedModels);
    }

    /**
     * Creates the state of a VM that is not cold.
     *
     * @param id identifies the VM
     * @param upstream upstream that the VM serves
     * @param address host and port
     * @param failureDomain failure domain of the VM
     * @param fabricDomain fabric domain of the VM; empty for plain services
     * @param release release of the software that the VM runs; empty if it reports none
     * @param slots maximum number of concurrent requests
     * @param leaving true once the VM has announced that it leaves
     * @param startedWallMillis wall-clock time of its start; identifies the incarnation
     * @param orderCount number of orders that it has begun since its start, or {@link #ORDER_COUNT_UNKNOWN}
     * @param stagedModels models whose weights are stored on its host
     * @param loadedModel model of its last replica since its start, if known
     * @param group membership in a replica, or empty
     */
    public UpstreamVm(
            VmId id,
            UpstreamId upstream,
            String address,
            FailureDomainId failureDomain,
            Optional<FabricDomainId> fabricDomain,
            String release,
            int slots,
            boolean leaving,
            long startedWallMillis,
            long orderCount,
            List<ModelId> stagedModels,
            Optional<ModelId> loadedModel,
            Optional<GroupMembership> group) {
        this(
                id,
                upstream,
                address,
                failureDomain,
                fabricDomain,
                release,
                slots,
                leaving,
                startedWallMillis,
                orderCount,
                stagedModels,
                loadedModel,
                group,
                OptionalLong.of(0),
                false);
    }

    /**
     * Returns whether the VM can join a replica of a model without a load from the weight store.
     *
     * @param model model of the replica
     * @return true if its host has the weights, or if its last replica was of this model
     */
    public boolean hasWeights(ModelId model) {
        return stagedModels.contains(model) || loadedModel.filter(model::equals).isPresent();
    }

    /**
     * Returns a copy with a different order count and membership.
     *
     * @param otherOrders number of orders that the VM has begun, or {@link #ORDER_COUNT_UNKNOWN}
     * @param otherGroup membership in a replica, or empty
     * @return modified copy
     */
    public UpstreamVm withOrdersAndGroup(long otherOrders, Optional<GroupMembership> otherGroup) {
        boolean stillBusy = busy && group.isEmpty() && otherGroup.isEmpty();
        return copy(leaving, fabricDomain, otherOrders, stagedModels, loadedModel, otherGroup, stillBusy);
    }

    /**
     * Returns a copy of a VM that has announced that it leaves.
     *
     * @return modified copy
     */
    public UpstreamVm withLeaving() {
        return copy(true, fabricDomain, orderCount, stagedModels, loadedModel, group, busy);
    }

    /**
     * Returns a copy that executes an order, or does not.
     *
     * @param nowBusy whether it executes an order
     * @return modified copy
     */
    public UpstreamVm withBusy(boolean nowBusy) {
        return copy(leaving, fabricDomain, orderCount, stagedModels, loadedModel, group, nowBusy);
    }

    /**
     * Returns a copy with the weights, the fabric domain and the activity of a report.
     *
     * @param report report of the same VM
     * @return modified copy
     */
    public UpstreamVm withWeights(VmReport report) {
        Optional<FabricDomainId> reportedDomain = report.fabricDomain().or(() -> fabricDomain);
        return copy(
                leaving, reportedDomain, orderCount, report.stagedModels(), report.loadedModel(), group, report.busy());
    }

    /** Returns a copy with the fields that change while the VM runs. */
    private UpstreamVm copy(
            boolean newLeaving,
            Optional<FabricDomainId> newFabricDomain,
            long newOrderCount,
            List<ModelId> newStagedModels,
            Optional<ModelId> newLoadedModel,
            Optional<GroupMembership> newGroup,
            boolean newBusy) {
        return new UpstreamVm(
                id,
                upstream,
                address,
                failureDomain,
                newFabricDomain,
                release,
                slots,
                newLeaving,
                startedWallMillis,
                newOrderCount,
                newStagedModels,
                newLoadedModel,
                newGroup,
                coldRemainingMillis,
                newBusy);
    }
}
