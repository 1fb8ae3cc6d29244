package org.apricotdeal.policy.planning;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeSet;

import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.VmId;

/** A replica while a plan is being built: a slot for each rank, empty where the member is lost. */
final class ReplicaDraft {
    private final ReplicaId id;
    private final ModelEntry model;
    private final PlannedReplica former;
    private final List<PlannedMember> slots = new ArrayList<>();
    private long generation;
    private boolean spanning;
    private boolean filled;

    private ReplicaDraft(ReplicaId id, ModelEntry model, PlannedReplica former) {
        this.id = id;
        this.model = model;
        this.former = former;
    }

    /** Takes over a replica of the plan before; slots of lost members stay empty. */
    static ReplicaDraft of(PlannedReplica former, ModelEntry model, Fleet fleet) {
        ReplicaDraft draft = new ReplicaDraft(former.id(), model, former);
        draft.generation = former.generation();
        draft.spanning = former.spanning();
        for (int rank = 0; rank < model.vmsPerReplica(); rank++) {
            PlannedMember member =
                    rank < former.members().size() ? former.members().get(rank) : null;
            draft.slots.add(member == null || fleet.isLost(member) ? null : member);
        }
        return draft;
    }

    /** Starts a new replica with empty slots. */
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
                || (!filled && former != null && former.members().size() != slots.size());
    }

    /** VMs of the members that are left. */
    List<VmId> survivors() {
        List<VmId> vms = new ArrayList<>();
        for (PlannedMember member : slots) {
            if (member != null) {
                vms.add(member.vm());
            }
        }
        return vms;
    }

    /** Members that are left and may enter another replica. */
    List<VmId> usableSurvivors(Fleet fleet) {
        List<VmId> usable = new ArrayList<>();
        for (VmId vm : survivors()) {
            if (fleet.isUsable(vm, model.id())) {
                usable.add(vm);
            }
        }
        return usable;
    }

    /** Members that are left in one fabric domain. */
    int survivorsIn(FabricDomainId fabric, Fleet fleet) {
        int count = 0;
        for (VmId vm : survivors()) {
            if (fabric.equals(fleet.fabricDomain(vm))) {
                count++;
            }
        }
        return count;
    }

    /** Empties the slots of all members outside of a fabric domain. */
    List<VmId> keepOnly(FabricDomainId fabric, Fleet fleet) {
        List<VmId> freed = new ArrayList<>();
        for (int rank = 0; rank < slots.size(); rank++) {
            PlannedMember member = slots.get(rank);
            if (member != null && !fabric.equals(fleet.fabricDomain(member.vm()))) {
                freed.add(member.vm());
                slots.set(rank, null);
            }
        }
        return freed;
    }

    /** Empties the slot of one member. */
    void vacate(VmId vm) {
        slots.replaceAll(member -> member != null && member.vm().equals(vm) ? null : member);
    }

    /** Fills the empty slots and starts the next generation. */
    void fill(List<VmId> vms, Fleet fleet) {
        int next = 0;
        for (int rank = 0; rank < slots.size(); rank++) {
            if (slots.get(rank) == null) {
                VmId vm = vms.get(next++);
                slots.set(rank, new PlannedMember(vm, fleet.state(vm).bootId()));
            }
        }
        generation++;
        filled = true;
        TreeSet<FabricDomainId> fabrics = new TreeSet<>();
        survivors().stream().map(fleet::fabricDomain).filter(Objects::nonNull).forEach(fabrics::add);
        spanning = fabrics.size() > 1;
    }

    /** The replica as planned; a broken one stays as it was, for its lost members may come back. */
    PlannedReplica planned() {
        if (isBroken()) {
            return former;
        }
        return new PlannedReplica(id, generation, model.id(), slots, spanning);
    }
}
