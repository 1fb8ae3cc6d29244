package org.apricotdeal.catalogue.model;

import org.apricotdeal.kernel.id.UpstreamId;

/**
 * A model whose replicas span several VMs.
 *
 * @param id the upstream, as callers name it
 * @param owner who may be asked about the entry
 * @param vmsPerReplica VMs that form one replica
 * @param replicasPerFailureDomain replicas wanted in each failure domain; further VMs stay spares
 * @param maxStreamsPerReplica requests that one replica decodes at a time; further ones wait at the nodes
 * @param loadTimeoutMillis time after which a VM that has not loaded the weights counts as failed
 * @param orderCheck what the engines do with old fencing numbers
 * @param orderMaxDelayMillis longest time that an order can take to reach an engine
 * @param orderCredential credential sent with orders; empty where the engines check none
 * @param worth relative worth of a replica when loads compete for the weight store
 */
public record ModelEntry(
        UpstreamId id,
        String owner,
        int vmsPerReplica,
        int replicasPerFailureDomain,
        int maxStreamsPerReplica,
        long loadTimeoutMillis,
        OrderCheck orderCheck,
        long orderMaxDelayMillis,
        String orderCredential,
        double worth)
        implements Entry {
    @Override
    public String key() {
        return "model " + id;
    }
}
