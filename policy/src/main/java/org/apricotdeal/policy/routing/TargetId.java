package org.apricotdeal.policy.routing;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.Names;

/**
 * Identifies a target of requests: one generation of a model replica, or one VM of a plain service.
 *
 * @param value name of the target: 1 to 128 letters, digits, dots, dashes, underscores or colons
 */
public record TargetId(String value) implements Comparable<TargetId> {
    /** Validates the name. */
    public TargetId {
        Names.require(value);
    }

    /**
     * Returns the id of one generation of a replica. Each generation is a separate target, which starts with no requests in
     * flight.
     *
     * @param replica replica that the target belongs to
     * @param generation generation of the replica
     * @return replica and generation, separated by a colon
     */
    public static TargetId of(ReplicaId replica, long generation) {
        return new TargetId(replica + ":" + generation);
    }

    /**
     * Returns the id of a VM of a plain service.
     *
     * @param vm VM that runs the service
     * @return an id with the name of the VM
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
