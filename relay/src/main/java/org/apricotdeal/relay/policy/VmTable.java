package org.apricotdeal.relay.policy;

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

/**
 * What a node believes of the VMs, from the store's entries and from the VMs' own reports. News of a VM overtake each
 * other; its count of orders tells which are newer, and within one count a membership only moves on.
 */
public final class VmTable {
    /** Time without an answer after which a VM that is still listed counts as lost. */
    private static final int LOST_AFTER_MISSES = 2;

    private final Map<VmId, UpstreamVm> vms = new HashMap<>();
    private final Map<VmId, Integer> misses = new HashMap<>();
    private final Map<VmId, Long> removeAtMillis = new HashMap<>();

    /**
     * Takes a VM's entry.
     *
     * @param entry the entry
     */
    public void listed(UpstreamVm entry) {
        removeAtMillis.remove(entry.id());
        UpstreamVm known = vms.get(entry.id());
        if (known != null && known.startedWallMillis() > entry.startedWallMillis()) {
            return;
        }
        boolean newer = known == null || isNewer(known, entry);
        if (known == null || known.startedWallMillis() != entry.startedWallMillis()) {
            misses.remove(entry.id());
        }
        vms.put(entry.id(), newer ? entry : entry.leaving() ? known.asLeaving() : known);
    }

    /**
     * Takes the removal of a VM's entry.
     *
     * @param id the VM
     */
    public void removed(VmId id) {
        vms.remove(id);
        misses.remove(id);
        removeAtMillis.remove(id);
    }

    /**
     * Takes the removal of a VM's entry that may come back.
     *
     * @param id the VM
     * @param atMillis time at which the VM is removed, unless its entry is back by then
     */
    public void removedUnlessBack(VmId id, long atMillis) {
        if (vms.containsKey(id)) {
            removeAtMillis.putIfAbsent(id, atMillis);
        }
    }

    /**
     * Takes all entries at once. VMs without an entry are removed at the given time, unless they come back until then:
     * entries that lapsed while the store was away return shortly after it.
     *
     * @param entries all entries
     * @param atMillis time until which VMs without an entry are kept
     */
    public void listedAll(Collection<UpstreamVm> entries, long atMillis) {
        vms.keySet().forEach(id -> removeAtMillis.putIfAbsent(id, atMillis));
        entries.forEach(this::listed);
    }

    /**
     * Removes VMs whose entries have not come back in time.
     *
     * @param nowMillis time
     * @return true where VMs were removed
     */
    public boolean expire(long nowMillis) {
        List<VmId> due = removeAtMillis.entrySet().stream()
                .filter(entry -> nowMillis >= entry.getValue())
                .map(Map.Entry::getKey)
                .toList();
        due.forEach(this::removed);
        return !due.isEmpty();
    }

    /**
     * Takes a VM's own report.
     *
     * @param id the VM
     * @param report the report
     */
    public void reported(VmId id, VmReport report) {
        UpstreamVm known = vms.get(id);
        if (known == null) {
            return;
        }
        misses.remove(id);
        UpstreamVm updated = known.with(report);
        if (isNewer(known, updated)) {
            vms.put(id, updated);
        }
    }

    /**
     * Notes that a VM did not answer a call for its report.
     *
     * @param id the VM
     */
    public void missed(VmId id) {
        if (vms.containsKey(id)) {
            misses.merge(id, 1, Integer::sum);
        }
    }

    /**
     * Tells whether a VM that is listed does not answer.
     *
     * @param id the VM
     * @return true after several calls in a row without an answer
     */
    public boolean isSilent(VmId id) {
        return misses.getOrDefault(id, 0) >= LOST_AFTER_MISSES;
    }

    /**
     * Returns a VM.
     *
     * @param id the VM
     * @return the VM, or nothing where it is not listed
     */
    public Optional<UpstreamVm> find(VmId id) {
        return Optional.ofNullable(vms.get(id));
    }

    /**
     * Returns all VMs.
     *
     * @return the VMs
     */
    public List<UpstreamVm> all() {
        return List.copyOf(vms.values());
    }

    private static boolean isNewer(UpstreamVm known, UpstreamVm other) {
        if (other.startedWallMillis() != known.startedWallMillis()) {
            return other.startedWallMillis() > known.startedWallMillis();
        }
        if (other.orders() != known.orders()) {
            return other.orders() > known.orders();
        }
        if (known.leaving() && !other.leaving()) {
            return false;
        }
        Optional<GroupPhase> otherPhase = other.group().map(GroupMembership::phase);
        Optional<GroupPhase> knownPhase = known.group().map(GroupMembership::phase);
        return knownPhase.isEmpty()
                || (otherPhase.isPresent() && otherPhase.get().compareTo(knownPhase.get()) >= 0);
    }
}
