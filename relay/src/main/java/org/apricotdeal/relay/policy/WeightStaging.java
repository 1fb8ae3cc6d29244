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

    private final LoadLimit limit = new LoadLimit();
    private final Map<VmId, Load> underWay = new HashMap<>();

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
     * @param turn what is known of the VMs
     * @param balance replicas that there are
     * @param places model of the replica that a VM belongs to; VMs of replicas that are being dissolved are left out
     * @param serving members of replicas that are open
     * @param canOrder tells whether a VM can take an order now
     */
    record Situation(
            ReplicaPlanner.Turn turn,
            ModelBalance balance,
            Map<VmId, ModelId> places,
            Predicate<UpstreamVm> serving,
            Predicate<UpstreamVm> canOrder) {}

    /** Forgets loads that have ended, and those whose VM is gone. */
    void beginTurn(ReplicaPlanner.Turn turn) {
        Map<VmId, UpstreamVm> vms = new HashMap<>();
        turn.vms().forEach(vm -> vms.put(vm.id(), vm));
        underWay.entrySet().removeIf(entry -> {
            UpstreamVm vm = vms.get(entry.getKey());
            return vm == null
                    || turn.nowMillis() >= entry.getValue().untilMillis()
                    || vm.staged().contains(entry.getValue().model());
        });
    }

    void begun(Choice choice, long nowMillis) {
        underWay.put(
                choice.vm().id(),
                new Load(choice.model().id(), nowMillis + 2 * choice.model().loadMillis()));
    }

    void ended(VmId vm) {
        underWay.remove(vm);
    }

    int count() {
        return underWay.size();
    }

    boolean isLoading(UpstreamVm vm) {
        return underWay.containsKey(vm.id());
    }

    boolean isLoading(UpstreamVm vm, ModelId model) {
        Load load = underWay.get(vm.id());
        return load != null && load.model().equals(model);
    }

    /** Chooses the next load of so many; nothing where none is useful or the weight store's rate does not allow one. */
    Optional<Choice> next(Situation now, int freeLoads) {
        Optional<Choice> choice = blank(now);
        if (choice.isEmpty() && (now.turn().beforeTraffic() || freeLoads > RESERVED_LOADS)) {
            choice = idle(now).or(() -> reserve(now));
        }
        boolean allowed = choice.isPresent()
                && (now.turn().beforeTraffic()
                        || limit.tryLoad(
                                now.turn().nowMillis(),
                                now.turn().engine().loadsPerSecond()
                                        * now.turn().loadShare()));
        return allowed ? choice : Optional.empty();
    }

    private boolean mayLoad(Situation now, UpstreamVm vm) {
        return vm.fabricDomain().isPresent()
                && !vm.leaving()
                && !now.turn().lost().contains(vm.id())
                && !isLoading(vm)
                && now.canOrder().test(vm);
    }

    private Optional<Choice> blank(Situation now) {
        for (UpstreamVm vm : now.turn().vms()) {
            if (vm.group().isEmpty() && vm.staged().isEmpty() && mayLoad(now, vm)) {
                return Optional.of(new Choice(vm, modelFor(now, vm), "spare"));
            }
        }
        return Optional.empty();
    }

    private ModelSpec modelFor(Situation now, UpstreamVm vm) {
        List<UpstreamVm> others = neighbours(now, vm);
        Comparator<ModelSpec> order = Comparator.comparing(
                        (ModelSpec model) -> !now.turn().beforeTraffic() || available(now, others, model) > 0)
                .thenComparingDouble(
                        model -> missingPart(now, others, model) * now.balance().fill(model, 0));
        return now.turn().engine().models().stream().min(order).orElseThrow();
    }

    private double missingPart(Situation now, List<UpstreamVm> others, ModelSpec model) {
        return 1 - (double) (available(now, others, model) % model.size()) / model.size();
    }

    /** Idle VMs that do not complete a replica of their own model may complete one of a model that lacks more. */
    private Optional<Choice> idle(Situation now) {
        if (now.turn().beforeTraffic()) {
            return Optional.empty();
        }
        for (ModelSpec model : now.balance().byDeficit()) {
            for (UpstreamVm vm : now.turn().vms()) {
                if (isUseful(now, vm, model) && mayLoad(now, vm)) {
                    return Optional.of(new Choice(vm, model, "completes a replica"));
                }
            }
        }
        return Optional.empty();
    }

    private boolean isUseful(Situation now, UpstreamVm vm, ModelSpec model) {
        if (!isIdle(now, vm) || vm.holds(model.id()) || isLoading(vm)) {
            return false;
        }
        List<UpstreamVm> others = neighbours(now, vm);
        long have = available(now, others, model);
        long missing = model.size() - have;
        long candidates = 1
                + others.stream()
                        .filter(other -> isIdle(now, other) && !other.holds(model.id()) && !isLoading(other))
                        .count();
        return have > 0 && missing > 0 && missing <= candidates && isWorthMore(now, model, vm);
    }

    /** Weights that the VM would lose are not given for a model that is hardly worse off than theirs. */
    private boolean isWorthMore(Situation now, ModelSpec model, UpstreamVm vm) {
        return vm.staged().stream()
                .filter(lost -> !vm.loaded().equals(Optional.of(lost)))
                .allMatch(lost -> now.balance().staysBehind(model, Map.of(lost, 1)));
    }

    private Optional<Choice> reserve(Situation now) {
        for (UpstreamVm vm : now.turn().vms()) {
            ModelId place = now.places().get(vm.id());
            if (place == null || !now.serving().test(vm) || !mayLoad(now, vm)) {
                continue;
            }
            int size = now.turn().engine().model(place).orElseThrow().size();
            for (ModelSpec larger : now.turn().engine().models()) {
                if (larger.size() > size && !vm.holds(larger.id()) && reserves(now, vm, larger) < larger.size()) {
                    return Optional.of(new Choice(vm, larger, "reserve"));
                }
            }
        }
        return Optional.empty();
    }

    private long reserves(Situation now, UpstreamVm vm, ModelSpec model) {
        return neighbours(now, vm).stream()
                .filter(other -> !model.id().equals(now.places().get(other.id())))
                .filter(other -> other.holds(model.id()) || isLoading(other, model.id()))
                .count();
    }

    /** Counts idle VMs that hold a model's weights or load them. */
    private long available(Situation now, List<UpstreamVm> vms, ModelSpec model) {
        return vms.stream()
                .filter(vm -> isIdle(now, vm) && (vm.holds(model.id()) || isLoading(vm, model.id())))
                .count();
    }

    private static boolean isIdle(Situation now, UpstreamVm vm) {
        return !vm.leaving() && !now.places().containsKey(vm.id());
    }

    private static List<UpstreamVm> neighbours(Situation now, UpstreamVm vm) {
        return now.turn().vms().stream()
                .filter(other -> other.fabricDomain().equals(vm.fabricDomain()))
                .filter(other -> !other.id().equals(vm.id()))
                .toList();
    }
}
