package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * Another node as it registered in the store.
 *
 * @param name its name
 * @param failureDomain its failure domain
 * @param address host and port for heartbeats
 * @param startedMillis time of its start; a different value is another incarnation
 */
record Peer(String name, FailureDomainId failureDomain, String address, long startedMillis) {}
