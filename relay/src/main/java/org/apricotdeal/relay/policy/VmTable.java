package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.GroupMembership;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;

/**
 * State of the VMs as known to a node, from store entries, the VMs' own reports and replies to orders. These arrive
 * in any order.
 *
 * <p>An entry may be outdated even if it was just written: a VM that is cut off from the store leaves its last entry
 * there, and a delayed write arrives late. An entry therefore only advances a membership, by epoch and then by
 * phase, and never ends one. Only the reply to an order and the VM's own report show that a VM has left a replica.
 */
public final class VmTable {
    /** Number of unanswered state requests after which a listed VM is considered unresponsive. */
    private static final int UNRESPONSIVE_AFTER_MISSES = 2;

    /** Maximum age of a report: the lag of the platform plus transmission. */
    private static final long MAX_REPORT_AGE_MILLIS = 600;

    /**
     * Time for which a peer's report of an unresponsive VM is forwarded and excludes the VM without a state request
     * by this node.
     */
    private static final long SUSPICION_MILLIS = 1_000;

    /**
     * Time for which a VM that answered this node is not suspected on a peer's report; the peer may be the one cut
     * off.
     */
    private static final long TRUST_OWN_ANSWER_MILLIS = 3_000;

    /** Upper bound on a reported time, far above the time that a VM needs to warm up. */
    private static final long MAX_COLD_MILLIS = 600_000;

    /**
     * Difference up to which two reports tell of the same end of the cold state; a VM reports the remaining time again
     * and again, and the reports arrive with different delays.
     */
    private static final long COLD_JITTER_MILLIS = 250;

    /** Time for which a member without an entry is kept, below the ten seconds for which a member that leaves remains. */
    private static final long UNLISTED_MEMBER_MILLIS = 9_000;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final Map<VmId, TrackedVm> vms = new HashMap<>();

    /** A VM and the origin of its known state. */
    private static final class TrackedVm {
        private UpstreamVm vm;
        private long groupChangedMillis;
        private long leftEpoch = -1;
        private long idleOrderCount = -1;
        private long ordersBeforeBegun = -1;
        private long begunMillis = NEVER_MILLIS;
        private int misses;
        private long answeredMillis = Long.MIN_VALUE / 2;
        private long missedMillis = Long.MIN_VALUE / 2;
        private long suspectedMillis = Long.MIN_VALUE / 2;
        private long removeAtMillis = Long.MAX_VALUE;
        private boolean leaving;
        private long coldUntilMillis = NEVER_MILLIS;
        private long coldnessUnknownMillis = NEVER_MILLIS;

        TrackedVm(UpstreamVm vm) {
            this.vm = vm;
        }
    }

    /**
     * Applies the store entry of a VM.
     *
     * @param entry state from the entry
     * @param nowMillis monotonic time
     * @return true if the VM should be polled, because the entry names no replica but the VM is known to be in one
     */
    public boolean applyEntry(UpstreamVm entry, long nowMillis) {
        TrackedVm tracked = vms.get(entry.id());
        if (tracked == null || entry.startedWallMillis() > tracked.vm.startedWallMillis()) {
            TrackedVm added = new TrackedVm(entry);
            added.groupChangedMillis = nowMillis;
            added.leaving = entry.leaving();
            recordColdness(added, entry.coldRemainingMillis(), nowMillis);
            vms.put(entry.id(), added);
            return false;
        }
        if (entry.startedWallMillis() < tracked.vm.startedWallMillis()) {
            return false;
        }
        tracked.removeAtMillis = Long.MAX_VALUE;
        // Holds for the rest of the incarnation; an entry of a restored store may be older than the announcement.
        tracked.leaving |= entry.leaving();
        recordColdness(tracked, entry.coldRemainingMillis(), nowMillis);
        boolean busy = tracked.vm.busy() && entry.stagedModels().equals(tracked.vm.stagedModels());
        UpstreamVm current =
                entry.withBusy(busy).withOrdersAndGroup(tracked.vm.orderCount(), mostAdvanced(tracked, entry.group()));
        update(tracked, tracked.leaving ? current.withLeaving() : current, nowMillis);
        return entry.group().isEmpty() && tracked.vm.group().isPresent();
    }

    /**
     * Records that a VM has said itself that it leaves, which holds for the rest of this incarnation, whatever its entry
     * says.
     *
     * @param target target through which it was reached; ignored if the VM is no longer part of that target
     * @return true if this was not known
     */
    public boolean recordLeaving(TargetId target) {
        TrackedVm tracked = vms.get(target.vm());
        if (tracked == null || tracked.vm.leaving()) {
            return false;
        }
        long epoch = tracked.vm.group().map(GroupMembership::epoch).orElse(tracked.vm.startedWallMillis());
        if (epoch != target.epoch()) {
            return false;
        }
        tracked.leaving = true;
        tracked.vm = tracked.vm.withLeaving();
        return true;
    }

    /**
     * Schedules the removal of a VM whose entry has been removed.
     *
     * @param id identifies the VM
     * @param atMillis monotonic time of the removal, unless the entry has returned by then
     */
    public void removeEntryLater(VmId id, long atMillis) {
        TrackedVm tracked = vms.get(id);
        if (tracked != null) {
            tracked.removeAtMillis = Math.min(tracked.removeAtMillis, atMillis);
        }
    }

    /**
     * Applies the complete set of entries. VMs without an entry are removed later unless their entries return:
     * entries that expired while the store was unavailable are written again shortly afterwards.
     *
     * @param entries all entries of the store
     * @param removeAtMillis monotonic time until which VMs without an entry are kept
     * @param nowMillis monotonic time
     * @return VMs that should be polled, see {@link #applyEntry}
     */
    public List<VmId> replaceEntries(Collection<UpstreamVm> entries, long removeAtMillis, long nowMillis) {
        vms.keySet().forEach(id -> removeEntryLater(id, removeAtMillis));
        List<VmId> toPoll = new ArrayList<>();
        for (UpstreamVm entry : entries) {
            if (applyEntry(entry, nowMillis)) {
                toPoll.add(entry.id());
            }
        }
        return toPoll;
    }

    /**
     * Removes the VMs whose entries have not returned in time. A member of a replica that is not its head is kept for some
     * seconds while it answers: it may only be cut off from the store, and requests reach the head.
     *
     * @param nowMillis monotonic time
     * @return true if any VM was removed
     */
    public boolean removeExpired(long nowMillis) {
        return vms.values().removeIf(tracked -> nowMillis >= tracked.removeAtMillis && !isKept(tracked, nowMillis));
    }

    private static boolean isKept(TrackedVm tracked, long nowMillis) {
        return tracked.vm.group().filter(group -> group.rank() > 0).isPresent()
                && !tracked.leaving
                && tracked.misses < UNRESPONSIVE_AFTER_MISSES
                && nowMillis - tracked.removeAtMillis < UNLISTED_MEMBER_MILLIS;
    }

    /**
     * Returns whether the entry of a VM is missing, though the VM is kept.
     *
     * @param id identifies the VM
     * @param nowMillis monotonic time
     * @return true if the VM may only remain in the replica in which it is
     */
    public boolean isUnlisted(VmId id, long nowMillis) {
        TrackedVm tracked = vms.get(id);
        return tracked != null && nowMillis >= tracked.removeAtMillis;
    }

    /**
     * Applies a VM's own report.
     *
     * @param id identifies the VM
     * @param report state from the VM itself
     * @param nowMillis monotonic time
     */
    public void applyReport(VmId id, VmReport report, long nowMillis) {
        TrackedVm tracked = vms.get(id);
        if (tracked == null) {
            return;
        }
        tracked.misses = 0;
        tracked.answeredMillis = nowMillis;
        tracked.suspectedMillis = Long.MIN_VALUE / 2;
        if (report.startedWallMillis() != 0 && report.startedWallMillis() != tracked.vm.startedWallMillis()) {
            return;
        }
        if (report.coldRemainingMillis().isPresent()) {
            recordColdness(tracked, report.coldRemainingMillis(), nowMillis);
        }
        boolean mayPrecedeBegun = report.orderCount() <= tracked.ordersBeforeBegun
                && nowMillis - tracked.begunMillis < MAX_REPORT_AGE_MILLIS;
        if (report.orderCount() < tracked.vm.orderCount() || mayPrecedeBegun || namesFormerReplica(tracked, report)) {
            return;
        }
        boolean mayBeOlder = nowMillis - tracked.groupChangedMillis < MAX_REPORT_AGE_MILLIS;
        if (mayBeOlder && tracked.vm.group().isPresent() && report.group().isEmpty()) {
            return;
        }
        // An outdated report may still name a replica that the VM is known to have left.
        Optional<GroupMembership> reported =
                report.group().filter(membership -> membership.epoch() > tracked.leftEpoch);
        Optional<GroupMembership> group =
                report.orderCount() > tracked.vm.orderCount() ? reported : mostAdvanced(tracked, reported);
        update(tracked, tracked.vm.withWeights(report).withOrdersAndGroup(report.orderCount(), group), nowMillis);
        if (!report.busy()) {
            tracked.idleOrderCount = report.orderCount();
        }
    }

    /** Returns whether a report is older than the known membership: the epochs of an incarnation only increase. */
    private static boolean namesFormerReplica(TrackedVm tracked, VmReport report) {
        return report.group().isPresent()
                && tracked.vm
                        .group()
                        .filter(known -> known.epoch() > report.group().get().epoch())
                        .isPresent();
    }

    /**
     * Applies the reply to an order, which shows at once whether the VM has begun it.
     *
     * @param order order that was sent
     * @param reply reply of the VM
     * @param nowMillis monotonic time
     */
    public void applyReply(PlannedOrder order, OrderReply reply, long nowMillis) {
        TrackedVm tracked = vms.get(order.vm().id());
        if (tracked == null || tracked.vm.startedWallMillis() != order.vm().startedWallMillis()) {
            return;
        }
        switch (reply) {
            case BEGUN -> {
                if (tracked.vm.orderCount() > order.expectedOrders()) {
                    return;
                }
                if (order.order() instanceof ReplicaOrder.Stage && tracked.idleOrderCount != order.expectedOrders()) {
                    // A VM replies the same to a load that it may execute already, and does not count it again.
                    tracked.ordersBeforeBegun = order.expectedOrders();
                    tracked.begunMillis = nowMillis;
                    tracked.vm = tracked.vm.withOrdersAndGroup(UpstreamVm.ORDER_COUNT_UNKNOWN, tracked.vm.group());
                } else {
                    Optional<GroupMembership> group = groupAfterOrder(order, tracked.vm.group());
                    update(tracked, tracked.vm.withOrdersAndGroup(order.expectedOrders() + 1, group), nowMillis);
                }
            }
            // Another order came first, or its effect is unknown: only the VM itself can report its order count now.
            case CONFLICT, OUTDATED, REFUSED, NOT_THIS_VM ->
                tracked.vm = tracked.vm.withOrdersAndGroup(UpstreamVm.ORDER_COUNT_UNKNOWN, tracked.vm.group());
            case HOLDS -> {
                if (order.order() instanceof ReplicaOrder.Leave) {
                    // A VM leaves at once, so it replies that the order already holds, and it has counted the order.
                    update(
                            tracked,
                            tracked.vm.withOrdersAndGroup(order.expectedOrders() + 1, Optional.empty()),
                            nowMillis);
                } else {
                    tracked.vm = tracked.vm.withOrdersAndGroup(UpstreamVm.ORDER_COUNT_UNKNOWN, tracked.vm.group());
                }
            }
            case UNKNOWN -> {}
            default -> throw new IllegalStateException("reply " + reply);
        }
    }

    private static Optional<GroupMembership> groupAfterOrder(PlannedOrder order, Optional<GroupMembership> before) {
        return switch (order.order()) {
            case ReplicaOrder.Join(var replica, long epoch, var model, var members) ->
                Optional.of(new GroupMembership(
                        replica, epoch, members.indexOf(order.vm().id()), GroupPhase.JOINING));
            case ReplicaOrder.Leave leave -> Optional.empty();
            case ReplicaOrder.Open open -> before;
            case ReplicaOrder.Close close -> before.map(VmTable::closing);
            case ReplicaOrder.Stage stage -> before;
        };
    }

    private static GroupMembership closing(GroupMembership group) {
        return new GroupMembership(group.replica(), group.epoch(), group.rank(), GroupPhase.CLOSING);
    }

    private static void update(TrackedVm tracked, UpstreamVm vm, long nowMillis) {
        if (!vm.group().equals(tracked.vm.group())) {
            tracked.groupChangedMillis = nowMillis;
        }
        if (vm.group().isEmpty()) {
            tracked.vm.group().ifPresent(left -> tracked.leftEpoch = left.epoch());
        }
        tracked.vm = vm;
    }

    /** Returns the more advanced membership; one that the VM is known to have left is ignored. */
    private static Optional<GroupMembership> mostAdvanced(TrackedVm tracked, Optional<GroupMembership> reported) {
        Optional<GroupMembership> before = tracked.vm.group();
        if (reported.isEmpty() || reported.get().epoch() <= tracked.leftEpoch) {
            return before;
        }
        if (before.isEmpty()) {
            return reported;
        }
        int order = Long.compare(reported.get().epoch(), before.get().epoch());
        if (order == 0) {
            order = reported.get().phase().compareTo(before.get().phase());
        }
        return order > 0 ? reported : before;
    }

    /**
     * Records for how long a VM remains cold. The time counts from its arrival, since the age of a report is not known,
     * and a report never shortens an earlier one, since reports overtake each other.
     */
    private static void recordColdness(TrackedVm tracked, OptionalLong remainingMillis, long nowMillis) {
        if (remainingMillis.isEmpty()) {
            if (tracked.coldnessUnknownMillis == NEVER_MILLIS) {
                tracked.coldnessUnknownMillis = nowMillis;
            }
            return;
        }
        long endMillis = nowMillis + Math.min(MAX_COLD_MILLIS, remainingMillis.getAsLong());
        if (remainingMillis.getAsLong() > 0 && endMillis > tracked.coldUntilMillis + COLD_JITTER_MILLIS) {
            tracked.coldUntilMillis = endMillis;
        }
    }

    /**
     * Returns the time until which a VM is cold. A VM that has reported an unusable time is taken for cold as after a
     * start, once in an incarnation.
     *
     * @param id identifies the VM
     * @param startMillis time for which a VM is cold after a start
     * @return monotonic time; in the past if the VM is not cold
     */
    public long coldUntilMillis(VmId id, long startMillis) {
        TrackedVm tracked = vms.get(id);
        return tracked == null
                ? NEVER_MILLIS
                : Math.max(tracked.coldUntilMillis, tracked.coldnessUnknownMillis + startMillis);
    }

    /**
     * Records that a VM did not answer a state request.
     *
     * @param id identifies the VM
     * @param nowMillis monotonic time
     */
    public void recordMissedCall(VmId id, long nowMillis) {
        TrackedVm tracked = vms.get(id);
        if (tracked != null) {
            tracked.misses++;
            if (tracked.misses >= UNRESPONSIVE_AFTER_MISSES) {
                tracked.missedMillis = nowMillis;
            }
        }
    }

    /**
     * Handles a peer's report that a VM does not answer. The VM is suspected until this node's own state request
     * shows whether it answers; a single one confirms the report.
     *
     * @param id identifies the VM
     * @param missedMillis monotonic time of the last unanswered state request
     * @param nowMillis monotonic time
     * @return true if the VM should be polled
     */
    public boolean suspectOnPeerReport(VmId id, long missedMillis, long nowMillis) {
        TrackedVm tracked = vms.get(id);
        if (tracked == null
                || missedMillis <= tracked.missedMillis
                || nowMillis - missedMillis >= SUSPICION_MILLIS
                || nowMillis - tracked.answeredMillis < TRUST_OWN_ANSWER_MILLIS) {
            return false;
        }
        tracked.missedMillis = missedMillis;
        if (isUnresponsive(id) || isSuspected(id, nowMillis)) {
            return false;
        }
        tracked.suspectedMillis = nowMillis;
        tracked.misses = Math.max(tracked.misses, UNRESPONSIVE_AFTER_MISSES - 1);
        return true;
    }

    /**
     * Returns whether a VM is suspected on a peer's report that this node has not checked yet.
     *
     * @param id identifies the VM
     * @param nowMillis monotonic time
     * @return true for a short time after the report
     */
    public boolean isSuspected(VmId id, long nowMillis) {
        TrackedVm tracked = vms.get(id);
        return tracked != null && nowMillis - tracked.suspectedMillis < SUSPICION_MILLIS;
    }

    /**
     * Returns the VMs that recently did not answer this node or a peer, for reports to other nodes.
     *
     * @param nowMillis monotonic time
     * @return monotonic time of the last unanswered state request by VM
     */
    public Map<VmId, Long> recentlyUnresponsive(long nowMillis) {
        Map<VmId, Long> unresponsive = new HashMap<>();
        vms.forEach((id, tracked) -> {
            if (nowMillis - tracked.missedMillis < SUSPICION_MILLIS && tracked.answeredMillis < tracked.missedMillis) {
                unresponsive.put(id, tracked.missedMillis);
            }
        });
        return unresponsive;
    }

    /**
     * Returns whether a listed VM does not answer.
     *
     * @param id identifies the VM
     * @return true after several consecutive unanswered state requests
     */
    public boolean isUnresponsive(VmId id) {
        TrackedVm tracked = vms.get(id);
        return tracked != null && tracked.misses >= UNRESPONSIVE_AFTER_MISSES;
    }

    /**
     * Returns the known state of a VM.
     *
     * @param id identifies the VM
     * @return state, or empty if the VM is not listed
     */
    public Optional<UpstreamVm> find(VmId id) {
        return Optional.ofNullable(vms.get(id)).map(tracked -> tracked.vm);
    }

    /**
     * Returns which members of a target to suspect of a failure.
     *
     * @param members members of the target
     * @param faultyAddress address of the member that the target named as faulty; empty if it named none
     * @return the member with that address, or all members if none has it
     */
    public List<VmId> faultyVms(List<VmId> members, Optional<String> faultyAddress) {
        List<VmId> faulty = members.stream()
                .filter(id -> faultyAddress.isPresent()
                        && find(id).map(UpstreamVm::address).equals(faultyAddress))
                .toList();
        return faulty.isEmpty() ? members : faulty;
    }

    /**
     * Returns the known state of all VMs.
     *
     * @return state of each VM, in no particular order
     */
    public List<UpstreamVm> all() {
        return vms.values().stream().map(tracked -> tracked.vm).toList();
    }
}
