package org.apricotdeal.relay.poison;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.ModelId;

/**
 * A model as VMs of one software release serve it. A part of a prompt may crash one model or release and not another.
 *
 * @param upstream upstream of the VMs
 * @param model model that the VMs serve
 * @param release software release of the VMs; empty if they report none
 */
public record ModelRelease(UpstreamId upstream, ModelId model, String release) {
    @Override
    public String toString() {
        return upstream + "/" + model + (release.isEmpty() ? "" : "@" + release);
    }
}
