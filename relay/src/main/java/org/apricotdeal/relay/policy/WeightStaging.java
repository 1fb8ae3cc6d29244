package org.apricotdeal.relay.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;

/**
 * Chooses which weights are loaded onto which hosts, beside what their VMs do. A VM remembers the model of its last replica without
 * its host, so a member of a replica can hold a second model.
 *
 * <p>First come VMs without weights: they get those of the model that is furthest below its share and lacks the smallest
 * part of a replica in their fabric domain. Then idle VMs that complete a replica of a model further below its share than theirs.
 * Last, members of smaller replicas get the weights of larger ones as a reserve, so that a large replica that loses members
 * needs no load; before the first request that costs next to nothing.
 */
final class WeightStaging {
    /** Loads that are kept for VMs that serve nobody, as one under way cannot be ended. */
    private static final int RESERVED_LOADS = 1;

    private final WeightLoadLimiter limit = new WeightLoadLimiter();
    private final Map<VmId, Load> loadsInProgress = new HashMap<>();

    /** A load of weights onto a host that was ordered. */
    private record Load(ModelId model, long untilMillis) {}

    /**
     * A load to be ordered.
     *
     * @param vm the VM
     * @param model the model
     * @param reason why
     */
    record Choice(UpstreamVm vm, ModelSpec model, String reason) {}

    /**
     * What a choice is made on.
     *
     * @param planning what is known of the VMs
     * @param balance replicas that there are
     * @param modelByMember model of the replica that a VM belongs to; VMs of replicas that are being dissolved are left out
     * @param serving members of replicas that are open
     * @param canOrder tells whether a VM can take an order now
     */
    record Input(
            ReplicaPlanner.Input planning,
            ModelBalance balance,
            Map<VmId, ModelId> modelByMember,
            Predicate<UpstreamVm> serving,
            Predicate<UpstreamVm> canOrder) {}

    /** Forgets loads that have ended, and those whose VM is gone. */
    void removeEndedLoads(ReplicaPlanner.Input turn) {
        Map<VmId, UpstreamVm> vms = new HashMap<>();
        turn.vms().forEach(vm -> vms.put(vm.id(), vm));
        loadsInProgress.entrySet().removeIf(entry -> {
            UpstreamVm vm = vms.get(entry.getKey());
            return vm == null
                    || turn.nowMillis() >= entry.getValue().untilMillis()
                    || vm.stagedModels().contains(entry.getValue().model());
        });
    }

    void onBegun(Choice choice, long nowMillis) {
        loadsInProgress.put(
                choice.vm().id(),
                new Load(choice.model().id(), nowMillis + 2 * choice.model().coldLoadMillis()));
    }

    void onEnded(VmId vm) {
        loadsInProgress.remove(vm);
    }

    int loadCount() {
        return loadsInProgress.size();
    }

    boolean isLoading(UpstreamVm vm) {
        return loadsInProgress.containsKey(vm.id());
    }

    boolean isLoading(UpstreamVm vm, ModelId model) {
        Load load = loadsInProgress.get(vm.id());
        return load != null && load.model().equals(model);
    }

    /** Chooses the next load of so many; nothing where none is useful or the weight store's rate does not allow one. */
    Optional<Choice> chooseNext(Input now, int freeLoads) {
        Optional<Choice> choice = chooseForEmptyVm(now);
        if (choice.isEmpty() && (now.planning().startup() || freeLoads > RESERVED_LOADS)) {
            choice = chooseForIdleVm(now).or(() -> chooseReserve(now));
        }
        boolean allowed = choice.isPresent()
                && (now.planning().startup()
                        || limit.tryAcquire(
                                now.planning().nowMillis(),
                                now.planning().engine().loadsPerSecond()
                                        * now.planning().loadShare()));
        return allowed ? choice : Optional.empty();
    }

    private boolean mayLoad(Input now, UpstreamVm vm) {
        return vm.fabricDomain().isPresent()
                && !vm.leaving()
                && !now.planning().unresponsive().contains(vm.id())
                && !isLoading(vm)
                && now.canOrder().test(vm);
    }

    private Optional<Choice> chooseForEmptyVm(Input now) {
        for (UpstreamVm vm : now.planning().vms()) {
            if (vm.group().isEmpty() && vm.stagedModels().isEmpty() && mayLoad(now, vm)) {
                return Optional.of(new Choice(vm, modelForEmptyVm(now, vm), "spare"));
            }
        }
        return Optional.empty();
    }

    private ModelSpec modelForEmptyVm(Input now, UpstreamVm vm) {
        List<UpstreamVm> others = vmsOfSameFabric(now, vm);
        Comparator<ModelSpec> order = Comparator.comparing(
                        (ModelSpec model) -> !now.planning().startup() || availableCount(now, others, model) > 0)
                .thenComparingDouble(model -> missingShareOfReplica(now, others, model)
                        * now.balance().vmsPerShare(model, 0));
        return now.planning().engine().models().stream().min(order).orElseThrow();
    }

    private double missingShareOfReplica(Input now, List<UpstreamVm> others, ModelSpec model) {
        return 1 - (double) (availableCount(now, others, model) % model.replicaSize()) / model.replicaSize();
    }

    /** Idle VMs that do not complete a replica of their own model may complete one of a model that lacks more. */
    private Optional<Choice> chooseForIdleVm(Input now) {
        if (now.planning().startup()) {
            return Optional.empty();
        }
        for (ModelSpec model : now.balance().byDeficit()) {
            for (UpstreamVm vm : now.planning().vms()) {
                if (isUseful(now, vm, model) && mayLoad(now, vm)) {
                    return Optional.of(new Choice(vm, model, "completes a replica"));
                }
            }
        }
        return Optional.empty();
    }

    private boolean isUseful(Input now, UpstreamVm vm, ModelSpec model) {
        if (!isIdle(now, vm) || vm.hasWeights(model.id()) || isLoading(vm)) {
            return false;
        }
        List<UpstreamVm> others = vmsOfSameFabric(now, vm);
        long have = availableCount(now, others, model);
        long missing = model.replicaSize() - have;
        long candidates = 1
                + others.stream()
                        .filter(other -> isIdle(now, other) && !other.hasWeights(model.id()) && !isLoading(other))
                        .count();
        return have > 0 && missing > 0 && missing <= candidates && justifiesReplacingWeights(now, model, vm);
    }

    /** Weights that the VM would lose are not given for a model that is hardly worse off than theirs. */
    private boolean justifiesReplacingWeights(Input now, ModelSpec model, UpstreamVm vm) {
        return vm.stagedModels().stream()
                .filter(lost -> !vm.loadedModel().equals(Optional.of(lost)))
                .allMatch(lost -> now.balance().remainsMostBelowShare(model, Map.of(lost, 1)));
    }

    private Optional<Choice> chooseReserve(Input now) {
        for (UpstreamVm vm : now.planning().vms()) {
            ModelId place = now.modelByMember().get(vm.id());
            if (place == null || !now.serving().test(vm) || !mayLoad(now, vm)) {
                continue;
            }
            int size = now.planning().engine().model(place).orElseThrow().replicaSize();
            for (ModelSpec larger : now.planning().engine().models()) {
                if (larger.replicaSize() > size
                        && !vm.hasWeights(larger.id())
                        && reserveCount(now, vm, larger) < larger.replicaSize()) {
                    return Optional.of(new Choice(vm, larger, "reserve"));
                }
            }
        }
        return Optional.empty();
    }

    private long reserveCount(Input now, UpstreamVm vm, ModelSpec model) {
        return vmsOfSameFabric(now, vm).stream()
                .filter(other -> !model.id().equals(now.modelByMember().get(other.id())))
                .filter(other -> other.hasWeights(model.id()) || isLoading(other, model.id()))
                .count();
    }

    /** Counts idle VMs that hold a model's weights or load them. */
    private long availableCount(Input now, List<UpstreamVm> vms, ModelSpec model) {
        return vms.stream()
                .filter(vm -> isIdle(now, vm) && (vm.hasWeights(model.id()) || isLoading(vm, model.id())))
                .count();
    }

    private static boolean isIdle(Input now, UpstreamVm vm) {
        return !vm.leaving() && !now.modelByMember().containsKey(vm.id());
    }

    private static List<UpstreamVm> vmsOfSameFabric(Input now, UpstreamVm vm) {
        return now.planning().vms().stream()
                .filter(other -> other.fabricDomain().equals(vm.fabricDomain()))
                .filter(other -> !other.id().equals(vm.id()))
                .toList();
    }
}
