package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.GroupMembership;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;

/** Derives replica groups from the memberships that VMs report. */
public final class ReplicaGroups {
    private ReplicaGroups() {}

    /**
     * Identifies one epoch of a replica.
     *
     * @param replica identifier of the replica
     * @param epoch epoch of the replica
     */
    public record ReplicaGroupId(ReplicaId replica, long epoch) {
        /**
         * Returns the group that a membership refers to.
         *
         * @param membership reported membership
         * @return identifier of the group
         */
        public static ReplicaGroupId of(GroupMembership membership) {
            return new ReplicaGroupId(membership.replica(), membership.epoch());
        }
    }

    /**
     * Known members of one epoch of a replica.
     *
     * @param id identifies the group
     * @param model model of the replica
     * @param size number of members that the replica needs
     * @param members known members by rank, possibly incomplete
     */
    public record ReplicaGroup(ReplicaGroupId id, ModelId model, int size, List<UpstreamVm> members) {
        /**
         * Returns the head.
         *
         * @return member that receives the requests, or empty if it is not known
         */
        public Optional<UpstreamVm> head() {
            return members.stream()
                    .filter(member -> member.group().orElseThrow().rank() == 0)
                    .findFirst();
        }

        /**
         * Returns whether all members are known.
         *
         * @return true if none is missing
         */
        public boolean complete() {
            return members.size() == size;
        }

        /**
         * Returns whether the head serves.
         *
         * @return true if the head reports that it is open
         */
        public boolean open() {
            return headPhase() == GroupPhase.OPEN;
        }

        /**
         * Returns the phase of the head.
         *
         * @return phase, or null if the head is not known
         */
        public GroupPhase headPhase() {
            return head().map(vm -> vm.group().orElseThrow().phase()).orElse(null);
        }

        /**
         * Returns whether all members are ready.
         *
         * @return true if all are known, and none is joining or broken
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
     * Builds a replica name that contains the model and is unique among all planners.
     *
     * @param model model of the replica
     * @param planner name of the planning node's incarnation
     * @param epoch epoch of the replica
     * @return replica name
     */
    public static ReplicaId replicaName(ModelId model, String planner, long epoch) {
        return new ReplicaId(model + "." + planner + "-" + Long.toString(epoch, Character.MAX_RADIX));
    }

    /**
     * Derives the replica groups of an upstream.
     *
     * @param vms VMs of the upstream
     * @param engine profile of the engines
     * @return groups; replicas that were not named by this system are omitted
     */
    public static List<ReplicaGroup> of(Collection<UpstreamVm> vms, EngineProfile engine) {
        Map<ReplicaGroupId, List<UpstreamVm>> members = new LinkedHashMap<>();
        for (UpstreamVm vm : vms) {
            vm.group().ifPresent(membership -> members.computeIfAbsent(
                            ReplicaGroupId.of(membership), id -> new ArrayList<>())
                    .add(vm));
        }
        List<ReplicaGroup> groups = new ArrayList<>();
        members.forEach((id, knownMembers) -> modelOf(id.replica(), engine).ifPresent(model -> {
            knownMembers.sort(
                    Comparator.comparingInt(vm -> vm.group().orElseThrow().rank()));
            groups.add(new ReplicaGroup(id, model.id(), model.replicaSize(), List.copyOf(knownMembers)));
        }));
        return groups;
    }

    /**
     * Leaves out the unlisted VMs that are not in a serving replica, since they may be gone soon.
     *
     * @param vms VMs of the upstream
     * @param engine profile of the engines
     * @param unlisted whether the entry of a VM is missing
     * @return VMs that replicas can be planned with
     */
    public static List<UpstreamVm> plannable(
            Collection<UpstreamVm> vms, EngineProfile engine, Predicate<UpstreamVm> unlisted) {
        Set<VmId> serving = new HashSet<>();
        for (ReplicaGroup group : of(vms, engine)) {
            if (group.open() && group.ready()) {
                group.members().forEach(member -> serving.add(member.id()));
            }
        }
        return vms.stream()
                .filter(vm -> serving.contains(vm.id()) || !unlisted.test(vm))
                .toList();
    }

    /**
     * Extracts the model from a replica name.
     *
     * @param replica name of the replica
     * @param engine profile of the engines
     * @return model, or empty if the replica was not named by this system
     */
    static Optional<ModelSpec> modelOf(ReplicaId replica, EngineProfile engine) {
        int dot = replica.value().lastIndexOf('.');
        return dot <= 0
                ? Optional.empty()
                : engine.model(new ModelId(replica.value().substring(0, dot)));
    }
}
