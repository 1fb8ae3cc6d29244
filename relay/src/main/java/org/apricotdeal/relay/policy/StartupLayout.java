package org.apricotdeal.relay.policy;

import java.util.List;
import java.util.Optional;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.ReplicaOrder;

/** Distributes VMs among models during startup, while loads are fast and VMs register one after another. */
final class StartupLayout {
    /**
     * Lower limit for the maximum number of concurrent loads; a weight store serves this many without slowing down.
     */
    private static final int MIN_LOADS = 8;

    /**
     * Number of replicas that may load at once: the next one loads while the members of another are becoming ready.
     */
    private static final int REPLICAS_AT_ONCE = 2;

    private StartupLayout() {}

    /**
     * Returns the maximum number of concurrent loads; there is always room for the largest replica besides some
     * staging.
     */
    static int maxLoads(EngineProfile engine) {
        int largest =
                engine.models().stream().mapToInt(ModelSpec::replicaSize).max().orElse(1);
        return Math.max(MIN_LOADS, REPLICAS_AT_ONCE * largest);
    }

    /**
     * Returns whether a new replica leaves a spare for each model in the fabric domain and enough VMs for the larger
     * replicas that the domain should have.
     *
     * @param input current state and demand
     * @param orders pending orders
     * @param free free VMs of the fabric domain, not empty
     * @param model model of the new replica
     */
    static boolean leavesRoomForOtherModels(
            ReplicaPlanner.Input input, PendingOrders orders, List<UpstreamVm> free, ModelSpec model) {
        int reserved = input.engine().models().size();
        for (ModelSpec larger : input.engine().models()) {
            if (larger.replicaSize() > model.replicaSize()) {
                reserved += missingMembers(input, orders, free.getFirst().fabricDomain(), larger);
            }
        }
        return free.size() - model.replicaSize() >= reserved;
    }

    /**
     * Counts the VMs that the replicas of a model still need in a fabric domain; the target is the model's share of
     * the domain, rounded to whole replicas.
     */
    private static int missingMembers(
            ReplicaPlanner.Input input, PendingOrders orders, Optional<FabricDomainId> domain, ModelSpec model) {
        int domainVms = 0;
        int members = 0;
        for (UpstreamVm vm : input.vms()) {
            if (vm.leaving() || !vm.fabricDomain().equals(domain)) {
                continue;
            }
            domainVms++;
            if (isMemberOf(input, orders, vm, model)) {
                members++;
            }
        }
        long plannedMembers = Math.round(domainVms * model.initialShare() / model.replicaSize()) * model.replicaSize();
        return (int) Math.max(0, plannedMembers - members);
    }

    private static boolean isMemberOf(
            ReplicaPlanner.Input input, PendingOrders orders, UpstreamVm vm, ModelSpec model) {
        PlannedOrder pending = orders.pending(vm.id());
        if (pending != null && pending.order() instanceof ReplicaOrder.Join join) {
            return join.model().equals(model.id());
        }
        return vm.group()
                .flatMap(group -> ReplicaGroups.modelOf(group.replica(), input.engine()))
                .filter(model::equals)
                .isPresent();
    }
}
