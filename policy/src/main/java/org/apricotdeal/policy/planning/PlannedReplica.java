package org.apricotdeal.policy.planning;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;

/**
 * A replica as planned. An id and a generation together identify one list of members.
 *
 * @param id id of the replica
 * @param generation grows by one with each change of the members
 * @param model the model that it serves
 * @param members members by rank; the first serves requests
 * @param spanning whether the members are in several fabric domains, which makes the replica slow
 */
public record PlannedReplica(
        ReplicaId id, long generation, UpstreamId model, List<PlannedMember> members, boolean spanning) {
    /** Copies the list. */
    public PlannedReplica {
        members = List.copyOf(members);
    }

    /**
     * Returns the members' VMs.
     *
     * @return the VMs in order of rank
     */
    public List<VmId> vms() {
        List<VmId> vms = new ArrayList<>(members.size());
        for (PlannedMember member : members) {
            vms.add(member.vm());
        }
        return vms;
    }

    /**
     * Tells whether an engine has joined this replica as planned.
     *
     * @param member the planned member on the engine's VM
     * @param state state that the engine reports; may be null
     * @return true if the engine is joined, with the planned boot id, replica, generation and members
     */
    public boolean isJoined(PlannedMember member, EngineState state) {
        return state != null
                && state.phase() == EnginePhase.JOINED
                && member.bootId().equals(state.bootId())
                && id.equals(state.replica())
                && generation == state.generation()
                && vms().equals(state.members());
    }
}
