package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.GroupMembership;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;

/** Puts replicas together from what their members say. */
public final class ReplicaGroups {
    private ReplicaGroups() {}

    /**
     * Identifies one formation of a replica.
     *
     * @param replica the replica
     * @param number number of the formation
     */
    public record ReplicaGroupId(ReplicaId replica, long number) {
        /**
         * Returns the formation that a membership belongs to.
         *
         * @param membership the membership
         * @return the formation
         */
        public static ReplicaGroupId of(GroupMembership membership) {
            return new ReplicaGroupId(membership.replica(), membership.epoch());
        }
    }

    /**
     * A replica's members as far as they are known.
     *
     * @param id the formation
     * @param model its model
     * @param size members that it needs
     * @param members known members by rank, not necessarily all
     */
    public record ReplicaGroup(ReplicaGroupId id, ModelId model, int size, List<UpstreamVm> members) {
        /**
         * Returns the head.
         *
         * @return the member that takes requests, or nothing where it is not known
         */
        public Optional<UpstreamVm> head() {
            return members.stream()
                    .filter(member -> member.group().orElseThrow().rank() == 0)
                    .findFirst();
        }

        /**
         * Tells whether all members are known.
         *
         * @return true where none is missing
         */
        public boolean complete() {
            return members.size() == size;
        }

        /**
         * Tells whether the head serves.
         *
         * @return true while it says so
         */
        public boolean open() {
            return headPhase() == GroupPhase.OPEN;
        }

        /**
         * Returns the head's phase.
         *
         * @return the phase, or null where the head is not known
         */
        public GroupPhase headPhase() {
            return head().map(vm -> vm.group().orElseThrow().phase()).orElse(null);
        }

        /**
         * Tells whether all members can work.
         *
         * @return true where all are known and past joining
         */
        public boolean ready() {
            return complete()
                    && members.stream().noneMatch(vm -> {
                        GroupPhase phase = vm.group().orElseThrow().phase();
                        return phase == GroupPhase.JOINING || phase == GroupPhase.BROKEN;
                    });
        }
    }

    /**
     * Names a replica so that its model can be told from the name, and no two planners choose the same name.
     *
     * @param model the model
     * @param planner name of the planning node's incarnation
     * @param number number of the formation
     * @return the name
     */
    public static ReplicaId replicaName(ModelId model, String planner, long number) {
        return new ReplicaId(model + "." + planner + "-" + Long.toString(number, Character.MAX_RADIX));
    }

    /**
     * Puts the formations of an upstream together.
     *
     * @param vms VMs of the upstream
     * @param engine the upstream's engines
     * @return the formations; those of replicas that this system did not name are left out
     */
    public static List<ReplicaGroup> of(Collection<UpstreamVm> vms, EngineProfile engine) {
        Map<ReplicaGroupId, List<UpstreamVm>> members = new LinkedHashMap<>();
        for (UpstreamVm vm : vms) {
            vm.group().ifPresent(membership -> members.computeIfAbsent(
                            ReplicaGroupId.of(membership), id -> new ArrayList<>())
                    .add(vm));
        }
        List<ReplicaGroup> formations = new ArrayList<>();
        members.forEach((id, list) -> modelOf(id.replica(), engine).ifPresent(model -> {
            list.sort(Comparator.comparingInt(vm -> vm.group().orElseThrow().rank()));
            formations.add(new ReplicaGroup(id, model.id(), model.replicaSize(), List.copyOf(list)));
        }));
        return formations;
    }

    /**
     * Tells a replica's model from its name.
     *
     * @param replica the replica
     * @param engine the upstream's engines
     * @return the model, or nothing where this system did not name the replica
     */
    static Optional<ModelSpec> modelOf(ReplicaId replica, EngineProfile engine) {
        int dot = replica.value().lastIndexOf('.');
        return dot <= 0
                ? Optional.empty()
                : engine.model(new ModelId(replica.value().substring(0, dot)));
    }
}
