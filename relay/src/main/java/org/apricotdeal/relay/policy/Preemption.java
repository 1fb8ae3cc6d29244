package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.ReplicaGroups.ReplicaGroup;

/**
 * Chooses replicas to dissolve for a model that is further below its share. Small replicas can be formed again from
 * any two VMs and large ones cannot, so a series of losses would leave most VMs to the small ones. A replica is
 * dissolved only if its members have the required weights, and if the other model is still further below its share
 * than theirs afterwards. This prevents models from preempting each other in turn.
 */
final class Preemption {
    private Preemption() {}

    /**
     * Chooses the replicas to dissolve.
     *
     * @param model model that gets a replica
     * @param missing number of members that it lacks, above 0
     * @param candidates open replicas of the same fabric domain
     * @param balance current number of replicas by model
     * @return replicas to dissolve; empty if this would not allow a replica or not improve the balance
     */
    static List<ReplicaGroup> choose(
            ModelSpec model, int missing, List<ReplicaGroup> candidates, ModelBalance balance) {
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
        return stillMissing <= 0 && balance.remainsFurtherBelowShare(model, closedReplicas) ? chosen : List.of();
    }

    private static long countWithWeights(ReplicaGroup group, ModelSpec model) {
        return group.members().stream()
                .filter((UpstreamVm vm) -> vm.hasWeights(model.id()))
                .count();
    }
}
