package org.apricotdeal.relay.policy;

import java.util.Optional;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.ModelId;

/**
 * Identifies a line of requests that the same targets serve.
 *
 * @param upstream the upstream
 * @param model the model, or nothing for a plain service
 */
public record QueueId(UpstreamId upstream, Optional<ModelId> model) {
    @Override
    public String toString() {
        return model.map(id -> upstream + "/" + id).orElse(upstream.value());
    }
}
