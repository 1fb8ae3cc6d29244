package org.apricotdeal.policy.routing;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.Names;

/**
 * Identifies what a request can be dispatched to: one generation of a model replica, or one VM of a plain service.
 *
 * @param value the name: 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record TargetId(String value) implements Comparable<TargetId> {
    /** Checks the name. */
    public TargetId {
        Names.require(value);
    }

    /**
     * Names a generation of a replica. A new generation is a new target: it starts with nothing in flight.
     *
     * @param replica the replica
     * @param generation its generation
     * @return the target
     */
    public static TargetId of(ReplicaId replica, long generation) {
        return new TargetId(replica + ":" + generation);
    }

    /**
     * Names a VM of a plain service.
     *
     * @param vm the VM
     * @return the target
     */
    public static TargetId of(VmId vm) {
        return new TargetId(vm.value());
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
