package org.apricotdeal.relay.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;

/** How many replicas of each model there are, against the models' shares of the VMs. */
final class ModelBalance {
    private final List<ModelSpec> models;
    private final Map<ModelId, Double> shares;
    private final Map<ModelId, Integer> replicasInOtherDomains;
    private final Map<ModelId, Integer> replicaCounts = new HashMap<>();

    /**
     * Creates a balance.
     *
     * @param models the models
     * @param shares the models' shares of the VMs
     * @param elsewhere replicas that serve the same requests from other failure domains
     */
    ModelBalance(List<ModelSpec> models, Map<ModelId, Double> shares, Map<ModelId, Integer> elsewhere) {
        this.models = models;
        this.shares = shares;
        this.replicasInOtherDomains = elsewhere;
    }

    void add(ModelId model) {
        replicaCounts.merge(model, 1, Integer::sum);
    }

    /** Returns the replicas of the own failure domain. */
    int replicaCount(ModelId model) {
        return replicaCounts.getOrDefault(model, 0);
    }

    /** Returns the models, the one furthest below its share of the VMs first; of equal ones that with the larger replicas. */
    List<ModelSpec> byDeficit() {
        return models.stream()
                .sorted(Comparator.comparingDouble((ModelSpec model) -> vmsPerShare(model, 0))
                        .thenComparing(
                                Comparator.comparingInt(ModelSpec::replicaSize).reversed()))
                .toList();
    }

    /** Returns a model's VMs against its share, with so many replicas fewer. */
    double vmsPerShare(ModelSpec model, int fewer) {
        double share = Math.max(shares.getOrDefault(model.id(), model.initialShare()), Double.MIN_NORMAL);
        int all = replicaCount(model.id()) + replicasInOtherDomains.getOrDefault(model.id(), 0);
        return (all - fewer) * model.replicaSize() / share;
    }

    /** Tells whether a model is still the one further below its share after others have given up replicas for it. */
    boolean remainsMostBelowShare(ModelSpec model, Map<ModelId, Integer> givenUp) {
        double fill = vmsPerShare(model, 0);
        for (ModelSpec giver : models) {
            int fewer = givenUp.getOrDefault(giver.id(), 0);
            if (fewer > 0 && vmsPerShare(giver, fewer) <= fill) {
                return false;
            }
        }
        return true;
    }
}
