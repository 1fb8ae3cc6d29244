package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.ReplicaGroups.ReplicaGroup;

/**
 * Chooses replicas to dissolve for a model that lacks members, and keeps their VMs for it. Small replicas can be formed
 * again from any two VMs and large ones cannot, so a series of losses would leave most VMs to the small ones.
 *
 * <p>The model furthest below its share takes replicas whose members have the required weights, if it is still further
 * below its share than theirs afterwards. This prevents models from preempting each other in turn. Besides, a model that
 * refuses requests takes replicas of models that refuse none, if at least as many idle VMs serve in the new replica as VMs
 * are taken. It answers losses among large replicas while the demand for their model stays: the survivors of one would
 * wait for its last member, though the other models have slots to spare.
 */
final class Preemption {
    /** Time for which the VMs of a dissolved replica join no other model's replica; some reports may be late. */
    private static final long CLAIM_MILLIS = 5_000;

    private final Map<VmId, Claim> claims = new HashMap<>();

    /** A model that a VM was freed for. */
    private record Claim(ModelId model, long untilMillis) {}

    /**
     * Returns the models that may take replicas of others.
     *
     * @param balance current number of replicas by model
     * @param demand demand for the models
     * @return models that refuse requests, the one furthest below its share first; without the others if all refuse some
     */
    static List<ModelSpec> beneficiaries(ModelBalance balance, ModelDemand demand) {
        List<ModelSpec> order = balance.byDeficit();
        List<ModelSpec> refusing = order.stream()
                .filter(model -> demand.refusingModels().contains(model.id()))
                .toList();
        boolean allRefuse = refusing.size() == order.size();
        return allRefuse ? refusing.subList(0, Math.min(1, refusing.size())) : refusing;
    }

    /**
     * Chooses the replicas to dissolve.
     *
     * @param model model that gets a replica
     * @param missing number of members that it lacks, above 0
     * @param candidates open replicas of the same fabric domain
     * @param balance current number of replicas by model
     * @param demand demand for the models
     * @return replicas to dissolve; empty if this would not allow a replica or not improve the balance
     */
    static List<ReplicaGroup> choose(
            ModelSpec model, int missing, List<ReplicaGroup> candidates, ModelBalance balance, ModelDemand demand) {
        List<ReplicaGroup> donors = candidates.stream()
                .filter(group -> !group.model().equals(model.id()) && countWithWeights(group, model) > 0)
                .sorted(Comparator.comparingLong((ReplicaGroup group) -> -countWithWeights(group, model))
                        .thenComparingInt(ReplicaGroup::size))
                .toList();
        List<ReplicaGroup> chosen = new ArrayList<>();
        Map<ModelId, Integer> closedReplicas = new HashMap<>();
        long stillMissing = missing;
        for (ReplicaGroup donor : donors) {
            if (stillMissing <= 0) {
                break;
            }
            chosen.add(donor);
            closedReplicas.merge(donor.model(), 1, Integer::sum);
            stillMissing -= countWithWeights(donor, model);
        }
        boolean first = balance.byDeficit().getFirst().equals(model);
        if (stillMissing <= 0 && first && balance.remainsFurtherBelowShare(model, closedReplicas)) {
            return chosen;
        }
        return exchange(model, missing, donors, balance, demand);
    }

    /** Chooses replicas of models that refuse no requests; they may be as many VMs as the idle ones put to use. */
    private static List<ReplicaGroup> exchange(
            ModelSpec model, int missing, List<ReplicaGroup> donors, ModelBalance balance, ModelDemand demand) {
        List<ReplicaGroup> chosen = new ArrayList<>();
        Map<ModelId, Integer> closedReplicas = new HashMap<>();
        long stillMissing = missing;
        int closedVms = 0;
        for (ReplicaGroup donor : donors) {
            boolean last = closedReplicas.getOrDefault(donor.model(), 0) + 1 >= balance.replicaCount(donor.model());
            if (stillMissing <= 0 || last || demand.refusingModels().contains(donor.model())) {
                continue;
            }
            chosen.add(donor);
            closedReplicas.merge(donor.model(), 1, Integer::sum);
            stillMissing -= countWithWeights(donor, model);
            closedVms += donor.size();
        }
        return stillMissing <= 0 && 2 * closedVms <= model.replicaSize() ? chosen : List.of();
    }

    /**
     * Keeps the VMs of a replica that is dissolved for a model.
     *
     * @param group replica that is dissolved
     * @param model model that gets its VMs
     * @param nowMillis monotonic time
     */
    void claim(ReplicaGroup group, ModelId model, long nowMillis) {
        claims.values().removeIf(claim -> nowMillis >= claim.untilMillis());
        for (UpstreamVm vm : group.members()) {
            if (vm.hasWeights(model)) {
                claims.put(vm.id(), new Claim(model, nowMillis + CLAIM_MILLIS));
            }
        }
    }

    /**
     * Returns whether a VM may join a replica of a model.
     *
     * @param vm VM that is free
     * @param model model of the replica
     * @param nowMillis monotonic time
     * @return false if it was freed for another model shortly before
     */
    boolean mayJoin(VmId vm, ModelId model, long nowMillis) {
        Claim claim = claims.get(vm);
        return claim == null
                || nowMillis >= claim.untilMillis()
                || claim.model().equals(model);
    }

    private static long countWithWeights(ReplicaGroup group, ModelSpec model) {
        return group.members().stream()
                .filter((UpstreamVm vm) -> vm.hasWeights(model.id()))
                .count();
    }
}
