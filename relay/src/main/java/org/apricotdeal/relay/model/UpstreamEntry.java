package org.apricotdeal.relay.model;

import java.util.Optional;

import org.apricotdeal.kernel.id.UpstreamId;

/**
 * An upstream of the routes.
 *
 * @param id identifies the upstream
 * @param healthPath path of the health check
 * @param maxConnections maximum number of connections to each VM, over all nodes
 * @param engine profile of its engines; empty for a plain service
 * @param coldStart what its VMs tolerate while they are cold
 */
public record UpstreamEntry(
        UpstreamId id, String healthPath, int maxConnections, Optional<EngineProfile> engine, ColdStart coldStart) {
    /**
     * Creates an upstream whose VMs tolerate any rate of requests while they are cold.
     *
     * @param id identifies the upstream
     * @param healthPath path of the health check
     * @param maxConnections maximum number of connections to each VM, over all nodes
     * @param engine profile of its engines; empty for a plain service
     */
    public UpstreamEntry(UpstreamId id, String healthPath, int maxConnections, Optional<EngineProfile> engine) {
        this(id, healthPath, maxConnections, engine, ColdStart.UNLIMITED);
    }
}
