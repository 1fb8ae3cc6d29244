package org.apricotdeal.relay.model;

/**
 * A model of an upstream, and what a replica of it needs.
 *
 * @param id the model
 * @param replicaSize number of VMs of a replica
 * @param initialShare the model's share of the work when the fleet starts, 0 to 1
 * @param timeFactor factor on all times of a replica
 * @param coldLoadMillis time to load the weights from the weight store
 * @param warmLoadMillis time to load them where the host has them
 */
public record ModelSpec(
        ModelId id,
        int replicaSize,
        double initialShare,
        double timeFactor,
        long coldLoadMillis,
        long warmLoadMillis) {}
