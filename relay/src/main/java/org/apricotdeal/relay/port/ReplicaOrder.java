package org.apricotdeal.relay.port;

import java.util.List;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ModelId;

/** An order to one VM of a replica. */
public sealed interface ReplicaOrder {
    /**
     * Joins a replica; replaces any other membership of the VM.
     *
     * @param replica the replica
     * @param number epoch of the replica
     * @param model model that the replica serves
     * @param members the members, ordered by rank; the first one is the head
     */
    record Join(ReplicaId replica, long number, ModelId model, List<VmId> members) implements ReplicaOrder {
        /** Copies the list. */
        public Join {
            members = List.copyOf(members);
        }
    }

    /**
     * Starts serving; sent to the head of a ready replica.
     *
     * @param replica the replica
     * @param number epoch of the replica
     */
    record Open(ReplicaId replica, long number) implements ReplicaOrder {}

    /**
     * Stops accepting requests and completes the accepted ones; sent to the head of a serving replica.
     *
     * @param replica the replica
     * @param number epoch of the replica
     */
    record Close(ReplicaId replica, long number) implements ReplicaOrder {}

    /**
     * Leaves a replica immediately.
     *
     * @param replica the replica
     * @param number epoch of the replica
     */
    record Leave(ReplicaId replica, long number) implements ReplicaOrder {}

    /**
     * Loads the weights of a model onto the host.
     *
     * @param model model whose weights are loaded
     */
    record Stage(ModelId model) implements ReplicaOrder {}
}
