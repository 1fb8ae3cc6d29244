package org.apricotdeal.relay.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;

/**
 * Chooses the weights to load onto hosts, independently of the current work of their VMs. A VM remembers the model
 * of its last replica without its host, so a member of a replica can hold the weights of a second model.
 *
 * <p>VMs without weights come first. They get the model that is furthest below its share and lacks the smallest part
 * of a replica in their fabric domain. Next come idle VMs that complete a replica of a model that is further below
 * its share than their own, and idle VMs that are too few for a replica of their own model ({@link LeftoverUse}). Last,
 * members of smaller replicas load the weights of larger ones in reserve, so that a large replica that loses members
 * needs no load. Before the first request this costs almost nothing.
 */
final class WeightStaging {
    /** Number of loads that are reserved for VMs that do not serve, since a running load cannot be cancelled. */
    private static final int RESERVED_LOADS = 1;

    private final WeightLoadLimiter limit = new WeightLoadLimiter();
    private final Map<VmId, Load> loadsInProgress = new HashMap<>();

    /**
     * A load of weights that a host was ordered to begin.
     *
     * @param model model that is loaded; empty if another planner has ordered it
     * @param stagedBefore models whose weights were on the host when the load became known
     * @param overdueMillis time after which a load that this planner has ordered counts as failed, and the VM is asked for
     * another one
     */
    private record Load(Optional<ModelId> model, List<ModelId> stagedBefore, long overdueMillis) {
        boolean hasEnded(UpstreamVm vm, long nowMillis) {
            if (model.isEmpty()) {
                return !vm.busy() || !vm.stagedModels().equals(stagedBefore);
            }
            return nowMillis >= overdueMillis || vm.stagedModels().contains(model.get());
        }
    }

    /**
     * A load to order.
     *
     * @param vm VM whose host loads the weights
     * @param model model to load
     * @param reason reason for the load, for the log
     */
    record Choice(UpstreamVm vm, ModelSpec model, String reason) {}

    /**
     * State on which a choice is based.
     *
     * @param planning input of the planning run
     * @param balance current number of replicas by model
     * @param modelByMember model by VM for members of replicas that are not being dissolved
     * @param serving returns whether a VM is a member of an open replica
     * @param canOrder returns whether a VM can receive an order now
     */
    record Input(
            ReplicaPlanner.Input planning,
            ModelBalance balance,
            Map<VmId, ModelId> modelByMember,
            Predicate<UpstreamVm> serving,
            Predicate<UpstreamVm> canOrder) {}

    /**
     * Removes loads that have ended and loads of VMs that are gone, and adds those that VMs execute for another planner: a
     * host executes one load at a time, so an order for another one would be refused until its end.
     */
    void updateLoads(ReplicaPlanner.Input planning) {
        Map<VmId, UpstreamVm> vms = new HashMap<>();
        planning.vms().forEach(vm -> vms.put(vm.id(), vm));
        loadsInProgress.entrySet().removeIf(entry -> {
            UpstreamVm vm = vms.get(entry.getKey());
            return vm == null || entry.getValue().hasEnded(vm, planning.nowMillis());
        });
        long longestLoadMillis = planning.engine().models().stream()
                .mapToLong(ModelSpec::coldLoadMillis)
                .max()
                .orElse(0);
        for (UpstreamVm vm : planning.vms()) {
            if (vm.busy()) {
                loadsInProgress.putIfAbsent(
                        vm.id(),
                        new Load(Optional.empty(), vm.stagedModels(), planning.nowMillis() + 2 * longestLoadMillis));
            }
        }
    }

    /** Returns the VMs that execute loads for other planners for so long that their last report may be outdated. */
    List<VmId> vmsWithOverdueLoads(long nowMillis) {
        return loadsInProgress.entrySet().stream()
                .filter(entry -> entry.getValue().model().isEmpty()
                        && nowMillis >= entry.getValue().overdueMillis())
                .map(Map.Entry::getKey)
                .toList();
    }

    void onBegun(Choice choice, long nowMillis) {
        loadsInProgress.put(
                choice.vm().id(),
                new Load(
                        Optional.of(choice.model().id()),
                        choice.vm().stagedModels(),
                        nowMillis + 2 * choice.model().coldLoadMillis()));
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
        return load != null && load.model().equals(Optional.of(model));
    }

    /**
     * Chooses the next load, given the number that may still begin; empty if none is useful or the rate limit is
     * reached.
     */
    Optional<Choice> chooseNext(Input input, int freeLoads) {
        Optional<Choice> choice = chooseForEmptyVm(input);
        if (choice.isEmpty() && (input.planning().startup() || freeLoads > RESERVED_LOADS)) {
            choice = chooseForIdleVm(input).or(() -> chooseForLeftover(input)).or(() -> chooseReserve(input));
        }
        boolean allowed = choice.isPresent()
                && (input.planning().startup()
                        || limit.tryAcquire(
                                input.planning().nowMillis(),
                                input.planning().engine().loadsPerSecond()
                                        * input.planning().loadShare()));
        return allowed ? choice : Optional.empty();
    }

    private boolean mayLoad(Input input, UpstreamVm vm) {
        return vm.fabricDomain().isPresent()
                && !vm.leaving()
                && !input.planning().unresponsive().contains(vm.id())
                && !isLoading(vm)
                && input.canOrder().test(vm);
    }

    private Optional<Choice> chooseForEmptyVm(Input input) {
        for (UpstreamVm vm : input.planning().vms()) {
            if (vm.group().isEmpty() && vm.stagedModels().isEmpty() && mayLoad(input, vm)) {
                return Optional.of(new Choice(vm, modelForEmptyVm(input, vm), "spare"));
            }
        }
        return Optional.empty();
    }

    private ModelSpec modelForEmptyVm(Input input, UpstreamVm vm) {
        List<UpstreamVm> others = vmsOfSameFabric(input, vm);
        Comparator<ModelSpec> order = Comparator.comparing(
                        (ModelSpec model) -> !input.planning().startup() || availableCount(input, others, model) > 0)
                .thenComparingDouble(model -> missingShareOfReplica(input, others, model)
                        * input.balance().vmsPerShare(model, 0));
        return input.planning().engine().models().stream().min(order).orElseThrow();
    }

    private double missingShareOfReplica(Input input, List<UpstreamVm> others, ModelSpec model) {
        return 1 - (double) (availableCount(input, others, model) % model.replicaSize()) / model.replicaSize();
    }

    /** Chooses an idle VM that does not complete a replica of its own model for a model that lacks more. */
    private Optional<Choice> chooseForIdleVm(Input input) {
        if (input.planning().startup()) {
            return Optional.empty();
        }
        for (ModelSpec model : input.balance().byDeficit()) {
            for (UpstreamVm vm : input.planning().vms()) {
                if (isUseful(input, vm, model) && mayLoad(input, vm)) {
                    return Optional.of(new Choice(vm, model, "completes a replica"));
                }
            }
        }
        return Optional.empty();
    }

    /** Chooses an idle VM that can be spared for a model that refuses requests ({@link LeftoverUse}). */
    private Optional<Choice> chooseForLeftover(Input input) {
        ReplicaPlanner.Input planning = input.planning();
        if (planning.startup() || planning.demand().refusingModels().isEmpty()) {
            return Optional.empty();
        }
        Map<Optional<FabricDomainId>, List<UpstreamVm>> fabrics =
                planning.vms().stream().collect(Collectors.groupingBy(UpstreamVm::fabricDomain));
        for (UpstreamVm vm : planning.vms()) {
            if (!isIdle(input, vm) || !mayLoad(input, vm)) {
                continue;
            }
            LeftoverUse use = new LeftoverUse(
                    planning.engine(),
                    planning.demand(),
                    input.balance(),
                    fabrics.get(vm.fabricDomain()),
                    other -> isIdle(input, other) && !planning.unresponsive().contains(other.id()),
                    (other, model) -> other.hasWeights(model) || isLoading(other, model));
            Optional<ModelSpec> model = use.modelFor(vm);
            if (model.isPresent()) {
                return Optional.of(new Choice(vm, model.get(), "left over"));
            }
        }
        return Optional.empty();
    }

    private boolean isUseful(Input input, UpstreamVm vm, ModelSpec model) {
        if (!isIdle(input, vm) || vm.hasWeights(model.id()) || isLoading(vm)) {
            return false;
        }
        List<UpstreamVm> others = vmsOfSameFabric(input, vm);
        long availableVms = availableCount(input, others, model);
        long missing = model.replicaSize() - availableVms;
        long candidates = 1
                + others.stream()
                        .filter(other -> isIdle(input, other) && !other.hasWeights(model.id()) && !isLoading(other))
                        .count();
        return availableVms > 0 && missing > 0 && missing <= candidates && justifiesReplacingWeights(input, model, vm);
    }

    /**
     * Returns whether a model justifies replacing the weights of a VM: it has to remain further below its share than
     * the models whose weights the VM would lose.
     */
    private boolean justifiesReplacingWeights(Input input, ModelSpec model, UpstreamVm vm) {
        return vm.stagedModels().stream()
                .filter(lost -> !vm.loadedModel().equals(Optional.of(lost)))
                .allMatch(lost -> input.balance().remainsFurtherBelowShare(model, Map.of(lost, 1)));
    }

    private Optional<Choice> chooseReserve(Input input) {
        for (UpstreamVm vm : input.planning().vms()) {
            ModelId memberModel = input.modelByMember().get(vm.id());
            if (memberModel == null || !input.serving().test(vm) || !mayLoad(input, vm)) {
                continue;
            }
            int size =
                    input.planning().engine().model(memberModel).orElseThrow().replicaSize();
            for (ModelSpec larger : input.planning().engine().models()) {
                if (larger.replicaSize() > size
                        && !vm.hasWeights(larger.id())
                        && reserveCount(input, vm, larger) < larger.replicaSize()) {
                    return Optional.of(new Choice(vm, larger, "reserve"));
                }
            }
        }
        return Optional.empty();
    }

    private long reserveCount(Input input, UpstreamVm vm, ModelSpec model) {
        return vmsOfSameFabric(input, vm).stream()
                .filter(other -> !model.id().equals(input.modelByMember().get(other.id())))
                .filter(other -> other.hasWeights(model.id()) || isLoading(other, model.id()))
                .count();
    }

    /** Counts idle VMs that have the weights of a model or are loading them. */
    private long availableCount(Input input, List<UpstreamVm> vms, ModelSpec model) {
        return vms.stream()
                .filter(vm -> isIdle(input, vm) && (vm.hasWeights(model.id()) || isLoading(vm, model.id())))
                .count();
    }

    private static boolean isIdle(Input input, UpstreamVm vm) {
        return !vm.leaving() && !input.modelByMember().containsKey(vm.id());
    }

    private static List<UpstreamVm> vmsOfSameFabric(Input input, UpstreamVm vm) {
        return input.planning().vms().stream()
                .filter(other -> other.fabricDomain().equals(vm.fabricDomain()))
                .filter(other -> !other.id().equals(vm.id()))
                .toList();
    }
}
