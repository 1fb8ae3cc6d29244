package org.apricotdeal.relay.policy;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;

/**
 * How many replicas of each model a failure domain should have: by the shares that the operator names until there is
 * traffic, by the slots in use from then on.
 */
final class ReplicaNeeds {
    /** Part of a model's slots in use above which it gets another replica also out of the spares. */
    private static final double BUSY = 0.5;

    /** Part of a model's slots in use above which another model's replicas give way to it. */
    private static final double SHORT = 0.7;

    /** Part of the slots in use up to which a model may give replicas away, counted without those. */
    private static final double SPARING = 0.6;

    /** Least slots in use that a model counts with, so that an idle one keeps a weight. */
    private static final double LEAST_BUSY_SLOTS = 1;

    private final EngineProfile engine;
    private final Map<ModelId, ModelLoad> loads;
    private final int vms;
    private final int spares;
    private final boolean allShort;

    /**
     * Creates the needs of one turn.
     *
     * @param engine the upstream's engines
     * @param loads load of the models; empty before traffic
     * @param vms number of VMs in the failure domain
     * @param spares number of those to be kept as spares
     */
    ReplicaNeeds(EngineProfile engine, Map<ModelId, ModelLoad> loads, int vms, int spares) {
        this.engine = engine;
        this.loads = loads;
        this.vms = vms;
        this.spares = spares;
        this.allShort = engine.models().stream().allMatch(this::isShort);
    }

    /** Returns the models, the one furthest below its part of the VMs first. */
    List<ModelSpec> byDeficit(Map<ModelId, Integer> counts) {
        return engine.models().stream()
                .sorted(Comparator.comparingDouble(model -> fill(model, counts)))
                .toList();
    }

    /** Tells how well a model is provided with VMs, against what its work weighs. */
    double fill(ModelSpec model, Map<ModelId, Integer> counts) {
        return (counts.getOrDefault(model.id(), 0) + 0.5) * model.size() / weight(model);
    }

    private double weight(ModelSpec model) {
        if (loads.isEmpty()) {
            return Math.max(model.share(), Double.MIN_NORMAL);
        }
        double busySlots = Math.max(LEAST_BUSY_SLOTS, load(model).busySlots());
        // Where all are short, VMs go to where they make most slots.
        return allShort ? busySlots : busySlots * model.size();
    }

    /** Tells whether a model should get another replica even if no spare is left for repairs. */
    boolean wants(ModelSpec model, Map<ModelId, Integer> counts) {
        int count = counts.getOrDefault(model.id(), 0);
        if (loads.isEmpty()) {
            return count < Math.ceil((vms - spares) * model.share() / model.size());
        }
        return count == 0 || load(model).utilization() > BUSY;
    }

    /** Tells whether a model's slots are so far in use that requests are refused or will be soon. */
    boolean isShort(ModelSpec model) {
        return load(model).utilization() > SHORT;
    }

    /** Tells whether a model stays better provided than the one that gets its replicas, and has slots to spare. */
    boolean canSpare(ModelSpec giver, int replicas, ModelSpec needy, Map<ModelId, Integer> counts) {
        int left = counts.getOrDefault(giver.id(), 0) - replicas;
        if (left < 1) {
            return false;
        }
        double utilizationAfter = load(giver).utilization() * (left + replicas) / left;
        Map<ModelId, Integer> after = new HashMap<>(counts);
        after.put(giver.id(), left);
        after.merge(needy.id(), 1, Integer::sum);
        return utilizationAfter < SPARING && fill(giver, after) >= fill(needy, after);
    }

    private ModelLoad load(ModelSpec model) {
        return loads.getOrDefault(model.id(), ModelLoad.NONE);
    }
}
