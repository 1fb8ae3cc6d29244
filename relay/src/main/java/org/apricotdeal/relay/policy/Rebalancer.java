package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.Formations.Formation;

/**
 * Chooses replicas that give way to a model that is short while theirs has slots to spare.
 *
 * <p>A replica gives way only where its hosts already hold the other model's weights and, with VMs that are idle in the same
 * fabric domain, suffice for a replica of it. It answers a load under which one model refuses work and another is half
 * idle, as after the loss of several replicas of the model that spans more VMs.
 */
final class Rebalancer {
    private final ReplicaNeeds needs;
    private final List<ModelSpec> models;

    Rebalancer(ReplicaNeeds needs, List<ModelSpec> models) {
        this.needs = needs;
        this.models = models;
    }

    /** What is to be done: replicas to close, and the model that gets their VMs. */
    record Choice(ModelSpec model, List<Formation> givingWay) {}

    /**
     * Chooses replicas to close.
     *
     * @param serving replicas that serve with all members well
     * @param idle idle VMs by fabric domain
     * @param counts replicas of each model in the failure domain
     * @return the choice with no replicas where all should stay
     */
    Choice choose(
            List<Formation> serving, Map<FabricDomainId, List<UpstreamVm>> idle, Map<ModelId, Integer> counts) {
        ModelSpec needy = needs.byDeficit(counts).getFirst();
        List<Formation> best = List.of();
        if (!needs.isShort(needy)) {
            return new Choice(needy, best);
        }
        Map<FabricDomainId, List<Formation>> byDomain = new HashMap<>();
        for (Formation formation : serving) {
            formation
                    .head()
                    .flatMap(UpstreamVm::fabricDomain)
                    .ifPresent(domain -> byDomain.computeIfAbsent(domain, id -> new ArrayList<>())
                            .add(formation));
        }
        for (Map.Entry<FabricDomainId, List<Formation>> domain : byDomain.entrySet()) {
            List<UpstreamVm> free = idle.getOrDefault(domain.getKey(), List.of());
            for (ModelSpec giver : models) {
                List<Formation> chosen =
                        giver.equals(needy) ? List.of() : chooseIn(domain.getValue(), free, needy, giver, counts);
                if (!chosen.isEmpty() && (best.isEmpty() || chosen.size() < best.size())) {
                    best = chosen;
                }
            }
        }
        return new Choice(needy, best);
    }

    private List<Formation> chooseIn(
            List<Formation> serving,
            List<UpstreamVm> free,
            ModelSpec needy,
            ModelSpec giver,
            Map<ModelId, Integer> counts) {
        long missing = needy.size()
                - free.stream()
                        .filter(vm -> ReplicaPlanner.holds(vm, needy.id()))
                        .count();
        List<Formation> chosen = new ArrayList<>();
        for (Formation formation : serving) {
            if (missing <= 0) {
                break;
            }
            boolean holdsAll =
                    formation.members().stream().allMatch(vm -> vm.staged().contains(needy.id()));
            if (formation.model().equals(giver.id()) && holdsAll) {
                chosen.add(formation);
                missing -= formation.size();
            }
        }
        boolean worthIt = missing <= 0 && needs.canSpare(giver, chosen.size(), needy, counts);
        return worthIt ? chosen : List.of();
    }
}
