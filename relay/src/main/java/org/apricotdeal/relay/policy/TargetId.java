package org.apricotdeal.relay.policy;

import org.apricotdeal.kernel.id.VmId;

/**
 * Identifies a target: one epoch of a replica, or one incarnation of a VM of a plain service.
 *
 * @param vm VM that receives the requests
 * @param epoch epoch of the replica, or start time of the VM of a plain service
 */
public record TargetId(VmId vm, long epoch) {
    @Override
    public String toString() {
        return vm + "/" + epoch;
    }
}
