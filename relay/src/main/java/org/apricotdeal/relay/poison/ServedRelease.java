package org.apricotdeal.relay.poison;

import java.util.Optional;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.ModelId;

/**
 * What VMs of one software release serve. A request may crash one model or release and not another.
 *
 * @param upstream upstream of the VMs
 * @param model model that the VMs serve; empty for a plain service
 * @param release software release of the VMs; empty if they report none
 */
public record ServedRelease(UpstreamId upstream, Optional<ModelId> model, String release) {
    @Override
    public String toString() {
        return upstream + model.map(id -> "/" + id).orElse("") + (release.isEmpty() ? "" : "@" + release);
    }
}
