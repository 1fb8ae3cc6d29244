package org.apricotdeal.policy.planning;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;

import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.VmId;

/** A replica in a plan that is being built. It has a slot for each rank, which is empty if the member is lost. */
final class ReplicaDraft {
    private final ReplicaId id;
    private final ModelEntry model;
    private final PlannedReplica previous;
    private final List<PlannedMember> slots = new ArrayList<>();
    private long generation;
    private boolean spanning;
    private boolean filled;

    private ReplicaDraft(ReplicaId id, ModelEntry model, PlannedReplica previous) {
        this.id = id;
        this.model = model;
        this.previous = previous;
    }

    /** Creates a draft of a replica of the previous plan; slots of lost members are empty. */
    static ReplicaDraft fromPlanned(PlannedReplica previous, ModelEntry model, FleetSnapshot fleet) {
        ReplicaDraft draft = new ReplicaDraft(previous.id(), model, previous);
        draft.generation = previous.generation();
        draft.spanning = previous.spanning();
        for (int rank = 0; rank < model.vmsPerReplica(); rank++) {
            PlannedMember member =
                    rank < previous.members().size() ? previous.members().get(rank) : null;
            draft.slots.add(member == null || fleet.isLost(member) ? null : member);
        }
        return draft;
    }

    /** Creates a draft of a new replica with empty slots. */
    static ReplicaDraft empty(ReplicaId id, ModelEntry model) {
        ReplicaDraft draft = new ReplicaDraft(id, model, null);
        for (int rank = 0; rank < model.vmsPerReplica(); rank++) {
            draft.slots.add(null);
        }
        return draft;
    }

    ReplicaId id() {
        return id;
    }

    ModelEntry model() {
        return model;
    }

    long generation() {
        return generation;
    }

    boolean isSpanning() {
        return spanning;
    }

    boolean isBroken() {
        return slots.contains(null)
                || (!filled && previous != null && previous.members().size() != slots.size());
    }

    /** Returns the VMs of the remaining members. */
    List<VmId> survivors() {
        List<VmId> vms = new ArrayList<>();
        for (PlannedMember member : slots) {
            if (member != null) {
                vms.add(member.vm());
            }
        }
        return vms;
    }

    /** Returns the VMs of the remaining members that may become members of another replica. */
    List<VmId> usableSurvivors(FleetSnapshot fleet) {
        List<VmId> usable = new ArrayList<>();
        for (VmId vm : survivors()) {
            if (fleet.isUsable(vm, model.id())) {
                usable.add(vm);
            }
        }
        return usable;
    }

    /** Counts the remaining members in one fabric domain. */
    int countSurvivorsIn(FabricDomainId fabric, FleetSnapshot fleet) {
        int count = 0;
        for (VmId vm : survivors()) {
            if (fabric.equals(fleet.fabricDomain(vm))) {
                count++;
            }
        }
        return count;
    }

    /** Empties the slots of all members outside a fabric domain and returns their VMs. */
    List<VmId> removeMembersOutside(FabricDomainId fabric, FleetSnapshot fleet) {
        List<VmId> removed = new ArrayList<>();
        for (int rank = 0; rank < slots.size(); rank++) {
            PlannedMember member = slots.get(rank);
            if (member != null && !fabric.equals(fleet.fabricDomain(member.vm()))) {
                removed.add(member.vm());
                slots.set(rank, null);
            }
        }
        return removed;
    }

    /** Empties the slot of the member on a VM. */
    void removeMember(VmId vm) {
        slots.replaceAll(member -> member != null && member.vm().equals(vm) ? null : member);
    }

    /** Fills the empty slots with VMs and increments the generation. */
    void fillSlots(List<VmId> vms, FleetSnapshot fleet) {
        int nextIndex = 0;
        for (int rank = 0; rank < slots.size(); rank++) {
            if (slots.get(rank) == null) {
                VmId vm = vms.get(nextIndex++);
                slots.set(rank, new PlannedMember(vm, fleet.state(vm).bootId()));
            }
        }
        generation++;
        filled = true;
        TreeSet<FabricDomainId> fabrics = new TreeSet<>();
        survivors().stream().map(fleet::fabricDomain).filter(Objects::nonNull).forEach(fabrics::add);
        spanning = fabrics.size() > 1;
    }

    /** Returns the replica to plan; a broken one is returned unchanged, because its lost members may recover. */
    PlannedReplica toPlanned() {
        if (isBroken()) {
            return previous;
        }
        return new PlannedReplica(id, generation, model.id(), slots, spanning);
    }
}
