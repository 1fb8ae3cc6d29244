package org.apricotdeal.relay.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.GroupMembership;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.ReplicaGroups.ReplicaGroup;
import org.apricotdeal.relay.policy.ReplicaGroups.ReplicaGroupId;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;

/**
 * Collects evidence that the head of a replica has stopped serving, so that its members may join other replicas.
 *
 * <p>A head that is not listed any more proves nothing: it may only be cut off from the store. Nor does an order that was sent,
 * because one without a reply may be executed late or never. Evidence is the head's reply to the order to leave, its own
 * report of another membership, its restart, and a report that it is broken. Without evidence, the stalled head breaks a
 * certain time after a member has left it; until then that member rests.
 */
final class HeadTracker {
    private final Map<ReplicaGroupId, Head> heads = new HashMap<>();
    private final Set<ReplicaGroupId> stoppedGroups = new HashSet<>();
    private final Map<VmId, Membership> memberships = new HashMap<>();

    /** An incarnation of the VM that heads a replica. */
    private record Head(VmId vm, long startedWallMillis) {
        boolean isStillIn(ReplicaGroupId group, UpstreamVm vmNow) {
            return vmNow.startedWallMillis() == startedWallMillis
                    && vmNow.group().map(ReplicaGroupId::of).equals(Optional.of(group));
        }
    }

    /** Last known replica of an incarnation of a VM. */
    private record Membership(long startedWallMillis, Optional<ReplicaGroupId> group, boolean head) {}

    /**
     * Evaluates the reply to an order.
     *
     * @param order order that was sent
     * @param reply reply of the VM
     */
    void onReply(PlannedOrder order, OrderReply reply) {
        boolean holds = reply == OrderReply.HOLDS || reply == OrderReply.BEGUN;
        if (!holds || !(order.order() instanceof ReplicaOrder.Leave(var replica, long epoch))) {
            return;
        }
        ReplicaGroupId group = new ReplicaGroupId(replica, epoch);
        boolean sentToHead = order.vm()
                .group()
                .filter(membership -> membership.rank() == 0)
                .map(ReplicaGroupId::of)
                .filter(group::equals)
                .isPresent();
        if (sentToHead) {
            stoppedGroups.add(group);
        }
    }

    /**
     * Evaluates the listed state of all VMs.
     *
     * @param vms listed VMs
     * @param groups their replicas
     * @return VMs that may have left a replica whose head may still serve: those that were in one, and those that were not
     *     listed before and have been in one since their start
     */
    Set<VmId> observe(List<UpstreamVm> vms, List<ReplicaGroup> groups) {
        Map<VmId, UpstreamVm> listed = new HashMap<>();
        vms.forEach(vm -> listed.put(vm.id(), vm));
        for (ReplicaGroup group : groups) {
            group.head().ifPresent(head -> heads.put(group.id(), new Head(head.id(), head.startedWallMillis())));
            if (group.headPhase() == GroupPhase.BROKEN) {
                stoppedGroups.add(group.id());
            }
        }
        heads.forEach((group, head) -> {
            UpstreamVm vmNow = listed.get(head.vm());
            if (vmNow != null && !head.isStillIn(group, vmNow)) {
                stoppedGroups.add(group);
            }
        });
        Set<VmId> doubtful = new HashSet<>();
        for (UpstreamVm vm : vms) {
            if (mayHaveLeftServingHead(vm, memberships.get(vm.id()))) {
                doubtful.add(vm.id());
            }
        }
        memberships.clear();
        vms.forEach(vm -> memberships.put(vm.id(), membership(vm)));
        forgetUnnamedGroups(vms);
        return doubtful;
    }

    private boolean mayHaveLeftServingHead(UpstreamVm vm, Membership before) {
        if (before == null || before.startedWallMillis() != vm.startedWallMillis()) {
            return vm.group().isEmpty() && vm.loadedModel().isPresent();
        }
        return before.group().isPresent()
                && !before.head()
                && !vm.group().map(ReplicaGroupId::of).equals(before.group())
                && !stoppedGroups.contains(before.group().get());
    }

    private static Membership membership(UpstreamVm vm) {
        return new Membership(
                vm.startedWallMillis(),
                vm.group().map(ReplicaGroupId::of),
                vm.group().filter(group -> group.rank() == 0).isPresent());
    }

    private void forgetUnnamedGroups(List<UpstreamVm> vms) {
        Set<ReplicaGroupId> named = new HashSet<>();
        for (UpstreamVm vm : vms) {
            vm.group().map(ReplicaGroupId::of).ifPresent(named::add);
        }
        heads.keySet().retainAll(named);
        stoppedGroups.retainAll(named);
    }

    /**
     * Returns whether the head of a replica has certainly stopped serving.
     *
     * @param membership membership of a VM in the replica
     * @return true if there is evidence
     */
    boolean hasStopped(GroupMembership membership) {
        return hasStopped(ReplicaGroupId.of(membership));
    }

    /**
     * Returns whether the head of a replica has certainly stopped serving.
     *
     * @param group the replica
     * @return true if there is evidence
     */
    boolean hasStopped(ReplicaGroupId group) {
        return stoppedGroups.contains(group);
    }
}
