package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.GroupMembership;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;

/**
 * What a node believes of the VMs, from the store's entries, the VMs' own reports and the replies to orders. These overtake
 * each other.
 *
 * <p>An entry may be old, also when it has just been written: a VM that is cut off from the store leaves its last one there,
 * and a delayed write arrives late. So an entry moves a membership only forward, by the formation's number and the phase in
 * it, and never ends one. That a VM has left is believed of the reply to an order and of the VM's own report.
 */
public final class VmTable {
    /** Calls for a VM's state without an answer after which it counts as lost, although it is listed. */
    private static final int UNRESPONSIVE_AFTER_MISSES = 2;

    /** A report may be this old: the platform's lag, and the way. */
    private static final long MAX_REPORT_AGE_MILLIS = 600;

    /** Another node's word that a VM is silent is passed on, and left out of account without an own call, for so long. */
    private static final long SUSPICION_MILLIS = 1_000;

    /** A VM that has answered this node of late is not suspected on the word of another, which may be the one cut off. */
    private static final long TRUST_OWN_ANSWER_MILLIS = 3_000;

    private final Map<VmId, TrackedVm> vms = new HashMap<>();

    /** A VM and how its state was learned. */
    private static final class TrackedVm {
        private UpstreamVm vm;
        private long groupChangedMillis;
        private long leftEpoch = -1;
        private int misses;
        private long answeredMillis = Long.MIN_VALUE / 2;
        private long missedMillis = Long.MIN_VALUE / 2;
        private long suspectedMillis = Long.MIN_VALUE / 2;
        private long removeAtMillis = Long.MAX_VALUE;

        TrackedVm(UpstreamVm vm) {
            this.vm = vm;
        }
    }

    /**
     * Takes a VM's entry.
     *
     * @param entry the entry
     * @param nowMillis time
     * @return true where the entry names no replica, although the VM is believed to be in one: it should be asked
     */
    public boolean applyEntry(UpstreamVm entry, long nowMillis) {
        TrackedVm known = vms.get(entry.id());
        if (known == null || entry.startedWallMillis() > known.vm.startedWallMillis()) {
            TrackedVm fresh = new TrackedVm(entry);
            fresh.groupChangedMillis = nowMillis;
            vms.put(entry.id(), fresh);
            return false;
        }
        if (entry.startedWallMillis() < known.vm.startedWallMillis()) {
            return false;
        }
        known.removeAtMillis = Long.MAX_VALUE;
        update(known, entry.withOrdersAndGroup(known.vm.orderCount(), mostAdvanced(known, entry.group())), nowMillis);
        return entry.group().isEmpty() && known.vm.group().isPresent();
    }

    /**
     * Takes the removal of a VM's entry.
     *
     * @param id the VM
     * @param atMillis time at which the VM is removed, unless its entry is back by then
     */
    public void removeEntryLater(VmId id, long atMillis) {
        TrackedVm known = vms.get(id);
        if (known != null) {
            known.removeAtMillis = Math.min(known.removeAtMillis, atMillis);
        }
    }

    /**
     * Takes all entries at once. VMs without an entry are removed at the given time, unless they come back until then:
     * entries that lapsed while the store was away return shortly after it.
     *
     * @param entries all entries
     * @param removeAtMillis time until which VMs without an entry are kept
     * @param nowMillis time
     * @return VMs that should be asked, as after {@link #applyEntry}
     */
    public List<VmId> replaceEntries(Collection<UpstreamVm> entries, long removeAtMillis, long nowMillis) {
        vms.keySet().forEach(id -> removeEntryLater(id, removeAtMillis));
        List<VmId> doubtful = new ArrayList<>();
        for (UpstreamVm entry : entries) {
            if (applyEntry(entry, nowMillis)) {
                doubtful.add(entry.id());
            }
        }
        return doubtful;
    }

    /**
     * Removes VMs whose entries have not come back in time.
     *
     * @param nowMillis time
     * @return true where VMs were removed
     */
    public boolean removeExpired(long nowMillis) {
        return vms.values().removeIf(known -> nowMillis >= known.removeAtMillis);
    }

    /**
     * Takes a VM's own report.
     *
     * @param id the VM
     * @param report the report
     * @param nowMillis time
     */
    public void applyReport(VmId id, VmReport report, long nowMillis) {
        TrackedVm known = vms.get(id);
        if (known == null) {
            return;
        }
        known.misses = 0;
        known.answeredMillis = nowMillis;
        known.suspectedMillis = Long.MIN_VALUE / 2;
        if (report.startedWallMillis() != 0 && report.startedWallMillis() != known.vm.startedWallMillis()) {
            return;
        }
        if (report.orderCount() < known.vm.orderCount()) {
            return;
        }
        boolean mayBeOlder = nowMillis - known.groupChangedMillis < MAX_REPORT_AGE_MILLIS;
        if (mayBeOlder && known.vm.group().isPresent() && report.group().isEmpty()) {
            return;
        }
        // An old report may still name a replica that the VM is known to have left.
        Optional<GroupMembership> said = report.group().filter(membership -> membership.epoch() > known.leftEpoch);
        Optional<GroupMembership> group =
                report.orderCount() > known.vm.orderCount() ? said : mostAdvanced(known, said);
        update(known, known.vm.withWeights(report).withOrdersAndGroup(report.orderCount(), group), nowMillis);
    }

    /**
     * Takes the reply to an order: what a VM has begun shows at once.
     *
     * @param order the order
     * @param reply the reply
     * @param nowMillis time
     */
    public void applyReply(PlannedOrder order, OrderReply reply, long nowMillis) {
        TrackedVm known = vms.get(order.vm().id());
        if (known == null || known.vm.startedWallMillis() != order.vm().startedWallMillis()) {
            return;
        }
        switch (reply) {
            case BEGUN -> {
                if (known.vm.orderCount() <= order.expectedOrders()) {
                    Optional<GroupMembership> group = groupAfterOrder(order, known.vm.group());
                    update(known, known.vm.withOrdersAndGroup(order.expectedOrders() + 1, group), nowMillis);
                }
            }
            // Another order came first, or its effect is not known: only the VM itself can tell the count now.
            case CONFLICT, OUTDATED, REFUSED, NOT_THIS_VM ->
                known.vm = known.vm.withOrdersAndGroup(UpstreamVm.ORDER_COUNT_UNKNOWN, known.vm.group());
            case HOLDS -> {
                if (order.order() instanceof ReplicaOrder.Leave) {
                    // A VM leaves at once, so it answers that the order is done; it has counted it.
                    update(known, known.vm.withOrdersAndGroup(order.expectedOrders() + 1, Optional.empty()), nowMillis);
                } else {
                    known.vm = known.vm.withOrdersAndGroup(UpstreamVm.ORDER_COUNT_UNKNOWN, known.vm.group());
                }
            }
            case UNKNOWN -> {}
            default -> throw new IllegalStateException("reply " + reply);
        }
    }

    private static Optional<GroupMembership> groupAfterOrder(PlannedOrder order, Optional<GroupMembership> before) {
        return switch (order.order()) {
            case ReplicaOrder.Join(var replica, long number, var model, var members) ->
                Optional.of(new GroupMembership(
                        replica, number, members.indexOf(order.vm().id()), GroupPhase.JOINING));
            case ReplicaOrder.Leave leave -> Optional.empty();
            case ReplicaOrder.Open open -> before;
            case ReplicaOrder.Close close -> before.map(VmTable::closing);
            case ReplicaOrder.Stage stage -> before;
        };
    }

    private static GroupMembership closing(GroupMembership group) {
        return new GroupMembership(group.replica(), group.epoch(), group.rank(), GroupPhase.CLOSING);
    }

    private static void update(TrackedVm known, UpstreamVm vm, long nowMillis) {
        if (!vm.group().equals(known.vm.group())) {
            known.groupChangedMillis = nowMillis;
        }
        if (vm.group().isEmpty()) {
            known.vm.group().ifPresent(left -> known.leftEpoch = left.epoch());
        }
        known.vm = vm;
    }

    /** Chooses the membership that is further on; one that the VM is known to have left does not come back. */
    private static Optional<GroupMembership> mostAdvanced(TrackedVm known, Optional<GroupMembership> said) {
        Optional<GroupMembership> before = known.vm.group();
        if (said.isEmpty() || said.get().epoch() <= known.leftEpoch) {
            return before;
        }
        if (before.isEmpty()) {
            return said;
        }
        int order = Long.compare(said.get().epoch(), before.get().epoch());
        if (order == 0) {
            order = said.get().phase().compareTo(before.get().phase());
        }
        return order > 0 ? said : before;
    }

    /**
     * Notes that a VM did not answer a call for its state.
     *
     * @param id the VM
     * @param nowMillis time
     */
    public void recordMissedCall(VmId id, long nowMillis) {
        TrackedVm known = vms.get(id);
        if (known != null) {
            known.misses++;
            if (known.misses >= UNRESPONSIVE_AFTER_MISSES) {
                known.missedMillis = nowMillis;
            }
        }
    }

    /**
     * Takes another node's word that a VM does not answer. The VM counts as suspected until this node's own calls show what
     * is so.
     *
     * @param id the VM
     * @param missedMillis time of the last call that it did not answer
     * @param nowMillis time
     * @return true where the VM should be asked
     */
    public boolean suspectOnPeerReport(VmId id, long missedMillis, long nowMillis) {
        TrackedVm known = vms.get(id);
        if (known == null
                || missedMillis <= known.missedMillis
                || nowMillis - missedMillis >= SUSPICION_MILLIS
                || nowMillis - known.answeredMillis < TRUST_OWN_ANSWER_MILLIS) {
            return false;
        }
        known.missedMillis = missedMillis;
        if (isUnresponsive(id) || isSuspected(id, nowMillis)) {
            return false;
        }
        known.suspectedMillis = nowMillis;
        return true;
    }

    /**
     * Tells whether a VM is taken for silent on another node's word, and this node has not found out yet.
     *
     * @param id the VM
     * @param nowMillis time
     * @return true for a short time after the word came
     */
    public boolean isSuspected(VmId id, long nowMillis) {
        TrackedVm known = vms.get(id);
        return known != null && nowMillis - known.suspectedMillis < SUSPICION_MILLIS;
    }

    /**
     * Returns the VMs that lately did not answer this node or another, for other nodes.
     *
     * @param nowMillis time
     * @return time of the last call without an answer, by VM
     */
    public Map<VmId, Long> recentlyUnresponsive(long nowMillis) {
        Map<VmId, Long> silent = new HashMap<>();
        vms.forEach((id, known) -> {
            if (nowMillis - known.missedMillis < SUSPICION_MILLIS && known.answeredMillis < known.missedMillis) {
                silent.put(id, known.missedMillis);
            }
        });
        return silent;
    }

    /**
     * Tells whether a VM that is listed does not answer.
     *
     * @param id the VM
     * @return true after several calls in a row without an answer
     */
    public boolean isUnresponsive(VmId id) {
        TrackedVm known = vms.get(id);
        return known != null && known.misses >= UNRESPONSIVE_AFTER_MISSES;
    }

    /**
     * Returns a VM.
     *
     * @param id the VM
     * @return the VM, or nothing where it is not listed
     */
    public Optional<UpstreamVm> find(VmId id) {
        return Optional.ofNullable(vms.get(id)).map(known -> known.vm);
    }

    /**
     * Returns all VMs.
     *
     * @return the VMs
     */
    public List<UpstreamVm> all() {
        return vms.values().stream().map(known -> known.vm).toList();
    }
}
