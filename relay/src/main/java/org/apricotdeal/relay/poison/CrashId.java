package org.apricotdeal.relay.poison;

import org.apricotdeal.kernel.id.VmId;

/**
 * Identifies a crash. All nodes that lose requests by it name the same id.
 *
 * @param vm VM that received the lost requests
 * @param epoch epoch of its replica, which changes before the VM can crash again
 * @param survivals number of earlier losses of connections in this epoch that the VM has survived
 */
public record CrashId(VmId vm, long epoch, int survivals) {
    /**
     * Identifies the first loss in an epoch.
     *
     * @param vm VM that received the lost requests
     * @param epoch epoch of its replica
     */
    public CrashId(VmId vm, long epoch) {
        this(vm, epoch, 0);
    }

    /** Returns the id of the next loss in the same epoch. */
    CrashId next() {
        return new CrashId(vm, epoch, survivals + 1);
    }
}
