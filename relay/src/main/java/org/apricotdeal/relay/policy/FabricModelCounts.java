package org.apricotdeal.relay.policy;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.relay.model.ModelId;

/**
 * Replicas and weights of a model in a fabric domain; shows how close its VMs are to another replica of the model.
 *
 * @param fabricDomain fabric domain of the VMs
 * @param model model that is counted
 * @param serving number of open replicas
 * @param forming number of replicas that are not open yet
 * @param idle number of VMs outside replicas that have the weights
 * @param loading number of VMs that are loading the weights
 * @param elsewhere number of members of other models' replicas that also have the weights
 */
public record FabricModelCounts(
        FabricDomainId fabricDomain, ModelId model, int serving, int forming, int idle, int loading, int elsewhere) {}
