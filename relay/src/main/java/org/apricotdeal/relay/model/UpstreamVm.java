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
 * @param orders number of orders that it has begun since its start
 * @param busy true while it carries out an order
 * @param staged models whose weights lie on its host
 * @param loaded model of its last replica since its start, where known
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
        long orders,
        boolean busy,
        List<ModelId> staged,
        Optional<ModelId> loaded,
        Optional<GroupMembership> group) {
    /** Copies the list. */
    public UpstreamVm {
        staged = List.copyOf(staged);
    }

    /**
     * Returns the same VM with a newer state from its own report.
     *
     * @param report the report
     * @return the VM
     */
    public UpstreamVm with(VmReport report) {
        return new UpstreamVm(
                id,
                upstream,
                address,
                failureDomain,
                report.fabricDomain().or(() -> fabricDomain),
                slots,
                leaving,
                report.startedWallMillis() > 0 ? report.startedWallMillis() : startedWallMillis,
                report.orders(),
                report.busy(),
                report.staged(),
                report.loaded(),
                report.group());
    }

    /**
     * Returns the same VM as leaving.
     *
     * @return the VM
     */
    public UpstreamVm asLeaving() {
        return new UpstreamVm(
                id,
                upstream,
                address,
                failureDomain,
                fabricDomain,
                slots,
                true,
                startedWallMillis,
                orders,
                busy,
                staged,
                loaded,
                group);
    }
}
