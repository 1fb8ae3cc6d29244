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
 */
public record UpstreamEntry(UpstreamId id, String healthPath, int maxConnections, Optional<EngineProfile> engine) {}
