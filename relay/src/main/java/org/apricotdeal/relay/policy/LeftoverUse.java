package org.apricotdeal.relay.policy;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;

/**
 * Decides for which model the idle VMs of a fabric domain load weights that are too few for a replica of their own
 * model. It answers the load in which large replicas lose members one after the other while callers of a smaller model
 * are refused: the survivors of a large replica would wait for the last member that their fabric domain lacks.
 *
 * <p>A survivor loses nothing by the load, since it keeps the model of its last replica beside the weights of its host.
 * It stays with its own model if that model refuses requests too, is further below its share, and can be completed with
 * members that other replicas of the fabric domain give up.
 */
final class LeftoverUse {
    /** Number of replicas of a model for which weights are loaded in a fabric domain at once. */
    private static final int REPLICAS_AT_ONCE = 2;

    private final EngineProfile engine;
    private final ModelDemand demand;
    private final ModelBalance balance;
    private final List<UpstreamVm> fabricVms;
    private final Predicate<UpstreamVm> idle;
    private final BiPredicate<UpstreamVm, ModelId> holds;

    /**
     * Creates the decision for one fabric domain.
     *
     * @param engine profile of the engines
     * @param demand demand for the models
     * @param balance current number of replicas by model
     * @param fabricVms VMs of the fabric domain
     * @param idle returns whether a VM is in no replica that serves or is about to
     * @param holds returns whether a VM has the weights of a model or is loading them
     */
    LeftoverUse(
            EngineProfile engine,
            ModelDemand demand,
            ModelBalance balance,
            List<UpstreamVm> fabricVms,
            Predicate<UpstreamVm> idle,
            BiPredicate<UpstreamVm, ModelId> holds) {
        this.engine = engine;
        this.demand = demand;
        this.balance = balance;
        this.fabricVms = fabricVms;
        this.idle = idle;
        this.holds = holds;
    }

    /** Returns the model whose weights an idle VM should load, or empty if it should keep waiting. */
    Optional<ModelSpec> modelFor(UpstreamVm vm) {
        if (demand.refusingModels().isEmpty() || !idle.test(vm)) {
            return Optional.empty();
        }
        for (ModelSpec model : balance.byDeficit()) {
            if (!demand.refusingModels().contains(model.id()) || !isLeftover(vm, model)) {
                continue;
            }
            long available = idleHolders(model);
            long missing = model.replicaSize() - available % model.replicaSize();
            long candidates =
                    fabricVms.stream().filter(other -> isLeftover(other, model)).count();
            if (available < (long) REPLICAS_AT_ONCE * model.replicaSize() && missing <= candidates) {
                return Optional.of(model);
            }
        }
        return Optional.empty();
    }

    private boolean isLeftover(UpstreamVm vm, ModelSpec model) {
        return idle.test(vm)
                && !holds.test(vm, model.id())
                && engine.models().stream()
                        .filter(own -> holds.test(vm, own.id()))
                        .allMatch(own -> vm.hasWeights(own.id()) && canSpare(vm, own, model));
    }

    private boolean canSpare(UpstreamVm vm, ModelSpec own, ModelSpec other) {
        long ownIdle = idleHolders(own);
        if (ownIdle >= own.replicaSize()) {
            return false;
        }
        boolean keepsOwn = vm.loadedModel().equals(Optional.of(own.id()));
        if (!keepsOwn) {
            return balance.remainsFurtherBelowShare(other, Map.of(own.id(), 1));
        }
        List<ModelSpec> order = balance.byDeficit();
        return !demand.refusingModels().contains(own.id())
                || order.indexOf(other) < order.indexOf(own)
                || ownIdle + holdersInOtherReplicas(own) < own.replicaSize();
    }

    private long idleHolders(ModelSpec model) {
        return fabricVms.stream()
                .filter(vm -> idle.test(vm) && holds.test(vm, model.id()))
                .count();
    }

    private long holdersInOtherReplicas(ModelSpec model) {
        return fabricVms.stream()
                .filter(vm -> !idle.test(vm) && vm.hasWeights(model.id()))
                .filter(vm -> !vm.loadedModel().equals(Optional.of(model.id())))
                .count();
    }
}
