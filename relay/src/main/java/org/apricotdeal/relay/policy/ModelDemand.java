package org.apricotdeal.relay.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;

/**
 * Demand for the models of an upstream, as used by its planner. Refused requests count as demand, so a model keeps
 * its share when its replicas are lost. With few counted requests, the shares are close to the configured ones.
 *
 * @param shares target shares of the VMs by model, above 0 if the configured ones are; they need not add up to 1
 * @param refusingModels models that refuse requests because they lack replicas
 */
public record ModelDemand(Map<ModelId, Double> shares, Set<ModelId> refusingModels) {
    /** Unknown demand: the configured shares apply, and no model refuses requests. */
    public static final ModelDemand UNKNOWN = new ModelDemand(Map.of(), Set.of());

    /** Number of requests that the configured shares weigh as much as; a few seconds of a small fleet's traffic. */
    private static final double CONFIGURED_SHARE_WEIGHT = 50;

    /**
     * Minimum share of a model without demand relative to its configured share, so that its next request can be
     * served.
     */
    private static final double MIN_SHARE_FACTOR = 0.25;

    /** Ratio of refusals to new requests above which a model lacks replicas; each loss causes a few refusals. */
    private static final double MAX_REFUSED_RATIO = 0.05;

    /** Copies the collections. */
    public ModelDemand {
        shares = Map.copyOf(shares);
        refusingModels = Set.copyOf(refusingModels);
    }

    /**
     * Derives the demand from measurements of all nodes that serve the upstream, as far as they are known.
     *
     * @param upstream upstream of the models
     * @param engine profile of the engines
     * @param demandByQueue demand by queue, summed over the nodes
     * @return demand for the models
     */
    public static ModelDemand of(UpstreamId upstream, EngineProfile engine, Map<QueueId, QueueDemand> demandByQueue) {
        Map<ModelId, Double> requiredVms = new HashMap<>();
        Set<ModelId> refusing = new HashSet<>();
        double totalRequiredVms = 0;
        double totalSampleWeight = 0;
        for (ModelSpec model : engine.models()) {
            QueueDemand demand = demandByQueue.get(new QueueId(upstream, Optional.of(model.id())));
            if (demand == null) {
                continue;
            }
            double vms = demand.requiredSlots() * model.replicaSize() / Math.max(1, engine.slotsPerReplica());
            requiredVms.put(model.id(), vms);
            totalRequiredVms += vms;
            totalSampleWeight += demand.sampleWeight();
            if (demand.totalRefusedPerSecond() > MAX_REFUSED_RATIO * demand.newRequestsPerSecond()) {
                refusing.add(model.id());
            }
        }
        double weight = totalRequiredVms <= 0 ? 0 : totalSampleWeight / (totalSampleWeight + CONFIGURED_SHARE_WEIGHT);
        Map<ModelId, Double> shares = new HashMap<>();
        for (ModelSpec model : engine.models()) {
            double requiredShare =
                    totalRequiredVms <= 0 ? 0 : requiredVms.getOrDefault(model.id(), 0.0) / totalRequiredVms;
            double share = weight * requiredShare + (1 - weight) * model.initialShare();
            shares.put(model.id(), Math.max(share, MIN_SHARE_FACTOR * model.initialShare()));
        }
        return new ModelDemand(shares, refusing);
    }
}
