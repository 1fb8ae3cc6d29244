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
 * What callers ask of an upstream's models, as its planner weighs it. What is refused counts too, so a model whose replicas
 * are lost keeps its share. A node that has counted few requests goes by the shares of the configuration.
 *
 * @param shares the models' shares of the VMs, above 0 where the configuration's are; their sum need not be 1
 * @param refusingModels models that refuse callers for want of replicas
 */
public record ModelDemand(Map<ModelId, Double> shares, Set<ModelId> refusingModels) {
    /** Nothing is known: the shares of the configuration hold, and no model is known to refuse anyone. */
    public static final ModelDemand UNKNOWN = new ModelDemand(Map.of(), Set.of());

    /** Requests that the configuration's shares weigh as much as; a few seconds of a small node's traffic. */
    private static final double CONFIGURED_SHARE_WEIGHT = 50;

    /** A model that nobody asks for keeps this part of its configured share, so that its next request can be served. */
    private static final double MIN_SHARE_FACTOR = 0.25;

    /** Refusals for each request beyond which a model lacks replicas; single refusals come with every loss. */
    private static final double MAX_REFUSED_RATIO = 0.05;

    /** Copies the collections. */
    public ModelDemand {
        shares = Map.copyOf(shares);
        refusingModels = Set.copyOf(refusingModels);
    }

    /**
     * Weighs what is asked.
     *
     * @param upstream the upstream
     * @param engine its engines
     * @param lines what is asked of each line at this node
     * @return the demand
     */
    public static ModelDemand of(UpstreamId upstream, EngineProfile engine, Map<QueueId, QueueDemand> lines) {
        Map<ModelId, Double> wantedVms = new HashMap<>();
        Set<ModelId> refusing = new HashSet<>();
        double wantedInAll = 0;
        double requests = 0;
        for (ModelSpec model : engine.models()) {
            QueueDemand asked = lines.get(new QueueId(upstream, Optional.of(model.id())));
            if (asked == null) {
                continue;
            }
            double vms = asked.requiredSlots() * model.replicaSize() / Math.max(1, engine.slotsPerReplica());
            wantedVms.put(model.id(), vms);
            wantedInAll += vms;
            requests += asked.sampleWeight();
            if (asked.totalRefusedPerSecond() > MAX_REFUSED_RATIO * asked.newRequestsPerSecond()) {
                refusing.add(model.id());
            }
        }
        double weight = wantedInAll <= 0 ? 0 : requests / (requests + CONFIGURED_SHARE_WEIGHT);
        Map<ModelId, Double> shares = new HashMap<>();
        for (ModelSpec model : engine.models()) {
            double wanted = wantedInAll <= 0 ? 0 : wantedVms.getOrDefault(model.id(), 0.0) / wantedInAll;
            double share = weight * wanted + (1 - weight) * model.initialShare();
            shares.put(model.id(), Math.max(share, MIN_SHARE_FACTOR * model.initialShare()));
        }
        return new ModelDemand(shares, refusing);
    }
}
