package org.apricotdeal.relay.model;

import java.util.List;
import java.util.Optional;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;

/**
 * What a VM of an upstream says of itself.
 *
 * @param id the VM
 * @param upstream the upstream that it serves
 * @param address host and port
 * @param failureDomain its failure domain
 * @param fabricDomain its fabric domain; nothing for plain services
 * @param slots requests that it works on at once
 * @param leaving true once it has announced that it leaves
 * @param startedWallMillis time of its start; a different value is another incarnation
 * @param orderCount number of orders that it has begun since its start, or {@link #ORDER_COUNT_UNKNOWN}
 * @param stagedModels models whose weights lie on its host
 * @param loadedModel model of its last replica since its start, where known
 * @param group its place in a replica, or nothing
 */
public record UpstreamVm(
        VmId id,
        UpstreamId upstream,
        String address,
        FailureDomainId failureDomain,
        Optional<FabricDomainId> fabricDomain,
        int slots,
        boolean leaving,
        long startedWallMillis,
        long orderCount,
        List<ModelId> stagedModels,
        Optional<ModelId> loadedModel,
        Optional<GroupMembership> group) {
    /** The number of orders is not known; a VM tells it when asked for its state. */
    public static final long ORDER_COUNT_UNKNOWN = -1;

    /** Copies the list. */
    public UpstreamVm {
        stagedModels = List.copyOf(stagedModels);
    }

    /**
     * Tells whether the VM can join a replica of a model without a load from the weight store.
     *
     * @param model the model
     * @return true where its host has the weights, or its last replica was of the model
     */
    public boolean hasWeights(ModelId model) {
        return stagedModels.contains(model) || loadedModel.filter(model::equals).isPresent();
    }

    /**
     * Returns the same VM with another count of orders and another place in a replica.
     *
     * @param otherOrders number of orders that it has begun, or {@link #ORDER_COUNT_UNKNOWN}
     * @param otherGroup its place in a replica, or nothing
     * @return the VM
     */
    public UpstreamVm withOrdersAndGroup(long otherOrders, Optional<GroupMembership> otherGroup) {
        return new UpstreamVm(
                id,
                upstream,
                address,
                failureDomain,
                fabricDomain,
                slots,
                leaving,
                startedWallMillis,
                otherOrders,
                stagedModels,
                loadedModel,
                otherGroup);
    }

    /**
     * Returns the same VM with the weights that its own report names.
     *
     * @param report the report
     * @return the VM
     */
    public UpstreamVm withWeights(VmReport report) {
        return new UpstreamVm(
                id,
                upstream,
                address,
                failureDomain,
                report.fabricDomain().or(() -> fabricDomain),
                slots,
                leaving,
                startedWallMillis,
                orderCount,
                report.stagedModels(),
                report.loadedModel(),
                group);
    }
}
