package org.apricotdeal.relay.policy;

import org.apricotdeal.kernel.id.VmId;

/**
 * Identifies what requests can be sent to: one formation of a replica, or one incarnation of a plain service's VM.
 *
 * @param vm VM that takes the requests
 * @param epoch number of the replica's formation, or start time of the plain service's VM
 */
public record TargetId(VmId vm, long epoch) {
    @Override
    public String toString() {
        return vm + "/" + epoch;
    }
}
