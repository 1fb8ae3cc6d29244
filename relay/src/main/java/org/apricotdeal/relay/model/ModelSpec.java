package org.apricotdeal.relay.model;

/**
 * A model of an upstream and the requirements of its replicas.
 *
 * @param id identifies the model
 * @param replicaSize number of VMs in a replica
 * @param initialShare share of the work that the model has when the fleet starts, 0 to 1
 * @param timeFactor factor that applies to all times of a replica
 * @param coldLoadMillis time to load the weights from the weight store
 * @param warmLoadMillis time to load the weights if the host has them
 */
public record ModelSpec(
        ModelId id,
        int replicaSize,
        double initialShare,
        double timeFactor,
        long coldLoadMillis,
        long warmLoadMillis) {}
