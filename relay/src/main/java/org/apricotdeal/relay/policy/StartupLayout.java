package org.apricotdeal.relay.policy;

import java.util.List;
import java.util.Optional;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.ReplicaOrder;

/** How a fleet that starts is divided between models, while loads are short and VMs register one after the other. */
final class StartupLayout {
    /** Least bound on the loads under way at once; as many as a weight store serves without slowing down. */
    private static final int MIN_LOADS = 8;

    /** Replicas that may load at once: one more than the one whose members are just getting ready. */
    private static final int REPLICAS_AT_ONCE = 2;

    private StartupLayout() {}

    /** Bounds the loads under way at once; the largest replica always finds room beside a few stagings. */
    static int maxLoads(EngineProfile engine) {
        int largest =
                engine.models().stream().mapToInt(ModelSpec::replicaSize).max().orElse(1);
        return Math.max(MIN_LOADS, REPLICAS_AT_ONCE * largest);
    }

    /**
     * Tells whether a new replica leaves a spare of each model in the fabric domain, and room for the larger replicas that the
     * domain should have.
     *
     * @param turn what is known
     * @param orders orders under way
     * @param free free VMs of the fabric domain, not empty
     * @param model the new replica's model
     */
    static boolean leavesRoomForOtherModels(
            ReplicaPlanner.Input turn, PendingOrders orders, List<UpstreamVm> free, ModelSpec model) {
        int kept = turn.engine().models().size();
        for (ModelSpec larger : turn.engine().models()) {
            if (larger.replicaSize() > model.replicaSize()) {
                kept += missingMembers(turn, orders, free.getFirst().fabricDomain(), larger);
            }
        }
        return free.size() - model.replicaSize() >= kept;
    }

    /** Counts the VMs that a fabric domain's replicas of a model lack, as far as its share of the domain makes whole ones. */
    private static int missingMembers(
            ReplicaPlanner.Input turn, PendingOrders orders, Optional<FabricDomainId> domain, ModelSpec model) {
        int all = 0;
        int members = 0;
        for (UpstreamVm vm : turn.vms()) {
            if (vm.leaving() || !vm.fabricDomain().equals(domain)) {
                continue;
            }
            all++;
            if (isMemberOf(turn, orders, vm, model)) {
                members++;
            }
        }
        long wanted = Math.round(all * model.initialShare() / model.replicaSize()) * model.replicaSize();
        return (int) Math.max(0, wanted - members);
    }

    private static boolean isMemberOf(ReplicaPlanner.Input turn, PendingOrders orders, UpstreamVm vm, ModelSpec model) {
        PlannedOrder pending = orders.pending(vm.id());
        if (pending != null && pending.order() instanceof ReplicaOrder.Join join) {
            return join.model().equals(model.id());
        }
        return vm.group()
                .flatMap(group -> ReplicaGroups.modelOf(group.replica(), turn.engine()))
                .filter(model::equals)
                .isPresent();
    }
}
