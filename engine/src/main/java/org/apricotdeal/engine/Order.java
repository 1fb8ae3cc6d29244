package org.apricotdeal.engine;

import java.util.List;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;

/** An order to the engine of one VM. Every order carries the plan version as its fencing number. */
public sealed interface Order {
    /**
     * Returns the VM that the order is for.
     *
     * @return the VM
     */
    VmId vm();

    /**
     * Returns the fencing number.
     *
     * @return version of the plan that the order implements
     */
    long fence();

    /**
     * Orders the engine to load the weights of a model.
     *
     * @param vm the VM
     * @param fence fencing number
     * @param model the model
     */
    record Load(VmId vm, long fence, UpstreamId model) implements Order {}

    /**
     * Orders the engine to join a replica.
     *
     * @param vm the VM
     * @param fence fencing number
     * @param model the model
     * @param replica the replica
     * @param generation the replica's generation
     * @param members members by rank; the first one serves the requests
     */
    record Join(VmId vm, long fence, UpstreamId model, ReplicaId replica, long generation, List<VmId> members)
            implements Order {
        /** Copies the list. */
        public Join {
            members = List.copyOf(members);
        }
    }

    /**
     * Orders the engine to leave the VM's replica and cancel its streams; has no effect if the VM belongs to no replica.
     *
     * @param vm the VM
     * @param fence fencing number
     */
    record Release(VmId vm, long fence) implements Order {}
}
