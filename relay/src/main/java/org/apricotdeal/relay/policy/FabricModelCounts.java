package org.apricotdeal.relay.policy;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.relay.model.ModelId;

/**
 * What a fabric domain holds of a model: how near its VMs are to another replica of it.
 *
 * @param fabricDomain the fabric domain
 * @param model the model
 * @param serving replicas that are open
 * @param forming replicas that are not open yet
 * @param idle VMs in no replica that hold the weights
 * @param loading VMs that load them
 * @param elsewhere members of other models' replicas that hold them too
 */
public record FabricModelCounts(
        FabricDomainId fabricDomain, ModelId model, int serving, int forming, int idle, int loading, int elsewhere) {}
