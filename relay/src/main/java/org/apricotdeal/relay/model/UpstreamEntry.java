package org.apricotdeal.relay.model;

import java.util.Optional;

import org.apricotdeal.kernel.id.UpstreamId;

/**
 * An upstream that routes lead to.
 *
 * @param id the upstream
 * @param healthPath path of the health check
 * @param maxConnections connections that one of its VMs accepts from all nodes together
 * @param engine its engines; nothing for a plain service
 */
public record UpstreamEntry(UpstreamId id, String healthPath, int maxConnections, Optional<EngineProfile> engine) {}
