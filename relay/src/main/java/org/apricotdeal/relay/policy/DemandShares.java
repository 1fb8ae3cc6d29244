package org.apricotdeal.relay.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;

/**
 * Divides an upstream's VMs between its models by what is asked of them. What callers ask for is counted also where it is
 * refused, so a model whose replicas are lost keeps its share. A node that has counted few requests goes by the shares
 * of the configuration.
 */
public final class DemandShares {
    /** Requests that the configuration's shares weigh as much as; a few seconds of a small node's traffic. */
    private static final double PRIOR_REQUESTS = 50;

    /** A model that nobody asks for keeps this part of its configured share, so that its next request can be served. */
    private static final double LEAST_PART = 0.25;

    private DemandShares() {}

    /**
     * Computes the shares.
     *
     * @param upstream the upstream
     * @param engine its engines
     * @param demand what is asked of each line at this node
     * @return the models' shares of the VMs, above 0 where the configuration's are; their sum need not be 1
     */
    public static Map<ModelId, Double> of(UpstreamId upstream, EngineProfile engine, Map<LineId, LineDemand> demand) {
        Map<ModelId, Double> wantedVms = new HashMap<>();
        double wantedInAll = 0;
        double requests = 0;
        for (ModelSpec model : engine.models()) {
            LineDemand asked = demand.get(new LineId(upstream, Optional.of(model.id())));
            if (asked != null) {
                double vms = asked.wantedSlots() * model.size() / Math.max(1, engine.slots());
                wantedVms.put(model.id(), vms);
                wantedInAll += vms;
                requests += asked.counted();
            }
        }
        double weight = wantedInAll <= 0 ? 0 : requests / (requests + PRIOR_REQUESTS);
        Map<ModelId, Double> shares = new HashMap<>();
        for (ModelSpec model : engine.models()) {
            double wanted = wantedInAll <= 0 ? 0 : wantedVms.getOrDefault(model.id(), 0.0) / wantedInAll;
            double share = weight * wanted + (1 - weight) * model.share();
            shares.put(model.id(), Math.max(share, LEAST_PART * model.share()));
        }
        return shares;
    }
}
