package org.apricotdeal.relay.model;

/**
 * A model of an upstream, and what a replica of it needs.
 *
 * @param id the model
 * @param size number of VMs of a replica
 * @param share the model's share of the work when the fleet starts, 0 to 1
 * @param pace factor on all times of a replica
 * @param loadMillis time to load the weights from the weight store
 * @param warmMillis time to load them where the host has them
 */
public record ModelSpec(ModelId id, int size, double share, double pace, long loadMillis, long warmMillis) {}
