package org.apricotdeal.engine;

import java.util.List;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;

/**
 * State that the engine of a VM reports.
 *
 * @param vm the VM
 * @param bootId id that changes with each start of the engine
 * @param phase current phase of the engine
 * @param replica replica that the VM belongs to; null if it belongs to none
 * @param generation generation of that replica, or 0 if there is none
 * @param members members of that replica by rank; the first one serves the requests
 * @param fence highest fencing number that the engine has seen
 * @param loadedModel model whose weights are in memory; null if none are
 * @param load load at the time given by its {@code ageMillis}
 */
public record EngineState(
        VmId vm,
        String bootId,
        EnginePhase phase,
        ReplicaId replica,
        long generation,
        List<VmId> members,
        long fence,
        UpstreamId loadedModel,
        EngineLoad load) {
    /** Copies the list. */
    public EngineState {
        members = List.copyOf(members);
    }
}
