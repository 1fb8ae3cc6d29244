package org.apricotdeal.relay.policy;

import java.util.Optional;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.ModelId;

/**
 * Identifies a queue of requests that are served by the same targets.
 *
 * @param upstream upstream of the targets
 * @param model requested model, or empty for a plain service
 */
public record QueueId(UpstreamId upstream, Optional<ModelId> model) {
    @Override
    public String toString() {
        return model.map(id -> upstream + "/" + id).orElse(upstream.value());
    }
}
