package org.apricotdeal.relay.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;

/** Compares the number of replicas of each model with the model's share of the VMs. */
final class ModelBalance {
    private final List<ModelSpec> models;
    private final Map<ModelId, Double> shares;
    private final Map<ModelId, Integer> replicasInOtherDomains;
    private final Map<ModelId, Integer> replicaCounts = new HashMap<>();

    /**
     * Creates a balance without local replicas.
     *
     * @param models models of the upstream
     * @param shares target shares of the VMs by model
     * @param replicasInOtherDomains replicas that serve the same requests from other failure domains
     */
    ModelBalance(List<ModelSpec> models, Map<ModelId, Double> shares, Map<ModelId, Integer> replicasInOtherDomains) {
        this.models = models;
        this.shares = shares;
        this.replicasInOtherDomains = replicasInOtherDomains;
    }

    void add(ModelId model) {
        replicaCounts.merge(model, 1, Integer::sum);
    }

    /** Returns the number of replicas in the local failure domain. */
    int replicaCount(ModelId model) {
        return replicaCounts.getOrDefault(model, 0);
    }

    /**
     * Returns the models, with the one furthest below its share of the VMs first; among equal ones, the model with
     * larger replicas comes first.
     */
    List<ModelSpec> byDeficit() {
        return models.stream()
                .sorted(Comparator.comparingDouble((ModelSpec model) -> vmsPerShare(model, 0))
                        .thenComparing(
                                Comparator.comparingInt(ModelSpec::replicaSize).reversed()))
                .toList();
    }

    /** Returns the number of VMs of a model relative to its share, after removal of the given number of replicas. */
    double vmsPerShare(ModelSpec model, int closedCount) {
        double share = Math.max(shares.getOrDefault(model.id(), model.initialShare()), Double.MIN_NORMAL);
        int all = replicaCount(model.id()) + replicasInOtherDomains.getOrDefault(model.id(), 0);
        return (all - closedCount) * model.replicaSize() / share;
    }

    /** Returns whether a model is still further below its share than all models that close replicas for it. */
    boolean remainsFurtherBelowShare(ModelSpec model, Map<ModelId, Integer> closedReplicas) {
        double modelVmsPerShare = vmsPerShare(model, 0);
        for (ModelSpec donor : models) {
            int closedCount = closedReplicas.getOrDefault(donor.id(), 0);
            if (closedCount > 0 && vmsPerShare(donor, closedCount) <= modelVmsPerShare) {
                return false;
            }
        }
        return true;
    }
}
