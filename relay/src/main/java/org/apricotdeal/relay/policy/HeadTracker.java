package org.apricotdeal.relay.policy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.id.VmId;
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
    /** Margin beyond the stall time after which a head without its members is certainly broken. */
    private static final long HEAD_STOP_MARGIN_MILLIS = 500;

    private final long stallMillis;
    private final Map<ReplicaGroupId, Head> heads = new HashMap<>();
    private final Set<ReplicaGroupId> stoppedGroups = new HashSet<>();
    private final Map<VmId, Membership> memberships = new HashMap<>();
    private final Map<VmId, Long> restUntilMillis = new HashMap<>();

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
     * Creates a tracker that knows no heads.
     *
     * @param stallMillis time after which a head that lacks a member is broken
     */
    HeadTracker(long stallMillis) {
        this.stallMillis = stallMillis;
    }

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
     * Evaluates the listed state of all VMs. Lets those rest that may have left a replica whose head still serves, on the order of
     * an earlier planner or on one that was executed late: VMs that were in one, and VMs that were not listed before and have been in
     * one since their start.
     *
     * @param input input of the planning run
     * @param groups replicas of the listed VMs
     */
    void observe(ReplicaPlanner.Input input, List<ReplicaGroup> groups) {
        List<UpstreamVm> vms = input.vms();
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
        for (UpstreamVm vm : vms) {
            if (!input.startup() && mayHaveLeftServingHead(vm, memberships.get(vm.id()))) {
                rest(vm.id(), input.nowMillis());
            }
        }
        memberships.clear();
        vms.forEach(vm -> memberships.put(vm.id(), membership(vm)));
        forgetUnnamedGroups(vms);
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
     * @param group the replica
     * @return true if there is evidence
     */
    boolean hasStopped(ReplicaGroupId group) {
        return stoppedGroups.contains(group);
    }

    /**
     * Lets a VM rest until the head that it has left by now is certainly broken.
     *
     * @param vm VM that has left a replica, or is ordered to
     * @param nowMillis monotonic time
     */
    void rest(VmId vm, long nowMillis) {
        restUntilMillis.put(vm, nowMillis + stallMillis + HEAD_STOP_MARGIN_MILLIS);
    }

    /**
     * Returns whether a VM may not join a replica yet.
     *
     * @param vm VM that has left a replica
     * @param nowMillis monotonic time
     * @return true while the head that it has left may serve
     */
    boolean isResting(VmId vm, long nowMillis) {
        return nowMillis < restUntilMillis.getOrDefault(vm, 0L);
    }
}
