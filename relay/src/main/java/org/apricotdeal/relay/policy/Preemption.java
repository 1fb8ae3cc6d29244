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
 * Chooses replicas that are dissolved so that a model further below its share gets one: small replicas are whole again from
 * any two VMs, large ones are not, so losses in series would leave the VMs with the small ones. A replica is given up
 * only where its members hold the weights that are needed, and where the other model is still the one further below
 * its share after that. So no replica is given up to and fro.
 */
final class Preemption {
    private Preemption() {}

    /**
     * Chooses the replicas.
     *
     * @param model the model that gets a replica
     * @param missing members that it lacks, above 0
     * @param candidates replicas of the same fabric domain that serve
     * @param balance replicas that there are
     * @return what to dissolve; empty where it would not make a replica, or not be worth it
     */
    static List<ReplicaGroup> choose(
            ModelSpec model, int missing, List<ReplicaGroup> candidates, ModelBalance balance) {
        List<ReplicaGroup> givers = candidates.stream()
                .filter(formation -> !formation.model().equals(model.id()) && countWithWeights(formation, model) > 0)
                .sorted(Comparator.comparingLong((ReplicaGroup formation) -> -countWithWeights(formation, model))
                        .thenComparingInt(ReplicaGroup::size))
                .toList();
        List<ReplicaGroup> chosen = new ArrayList<>();
        Map<ModelId, Integer> givenUp = new HashMap<>();
        long left = missing;
        for (ReplicaGroup giver : givers) {
            if (left <= 0) {
                break;
            }
            chosen.add(giver);
            givenUp.merge(giver.model(), 1, Integer::sum);
            left -= countWithWeights(giver, model);
        }
        return left <= 0 && balance.remainsMostBelowShare(model, givenUp) ? chosen : List.of();
    }

    private static long countWithWeights(ReplicaGroup formation, ModelSpec model) {
        return formation.members().stream()
                .filter((UpstreamVm vm) -> vm.hasWeights(model.id()))
                .count();
    }
}
