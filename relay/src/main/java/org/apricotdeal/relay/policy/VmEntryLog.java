package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.VmHeartbeat;

/**
 * The VM entries known to a node, each with the store revision of its last change. A node that follows the store
 * uses this log to answer which entries have changed since a revision, for nodes that the store rejects.
 *
 * <p>A VM writes its entry with every heartbeat. Such a write counts as a change only if the described VM differs,
 * which keeps the messages between nodes small.
 *
 * <p>Load pattern: the store is restored from an older copy. All revisions in the log are of one incarnation of the
 * store, so the log begins anew with the first list of the next one. A list of a restored store may contain entries
 * that this log has seen removed or replaced; what the log has seen counts until their VMs have written them again. This
 * class is not thread-safe.
 */
public final class VmEntryLog {
    /**
     * Maximum number of remembered removals, of which the oldest are dropped first; more than a fleet loses in a
     * minute.
     */
    private static final int MAX_REMOVED = 512;

    private final Function<byte[], Optional<VmHeartbeat>> heartbeatReader;
    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Removal> removals = new LinkedHashMap<>();
    private StoreRevision revision = StoreRevision.NONE;

    /** An entry, the VM that it describes, if any, and the revision of its last change. */
    private record Entry(VersionedValue item, Optional<UpstreamVm> vm, long changeRevision) {
        /** Returns this entry as if it had been written at a revision. */
        Entry at(long revision) {
            return new Entry(new VersionedValue(item.key(), revision, item.value()), vm, revision);
        }
    }

    /** Revision of a removal, and the last heartbeat before it, if known. */
    private record Removal(long atRevision, Optional<VmHeartbeat> lastHeartbeat) {}

    /** A change and its revision; a later heartbeat of the VM may have raised the revision of the entry itself. */
    private record LoggedChange(long atRevision, StoreChange change) {}

    /**
     * Creates an empty log.
     *
     * @param heartbeatReader parser of the position of an entry among those that its VM has written
     */
    public VmEntryLog(Function<byte[], Optional<VmHeartbeat>> heartbeatReader) {
        this.heartbeatReader = heartbeatReader;
    }

    /**
     * Returns the store revision up to which the entries are known.
     *
     * @return revision, or {@link StoreRevision#NONE}
     */
    public StoreRevision revision() {
        return revision;
    }

    /**
     * Records that the entries are known up to a revision.
     *
     * @param upToRevision store revision; an older one has no effect
     */
    public void advanceTo(StoreRevision upToRevision) {
        revision = StoreRevision.latest(revision, upToRevision);
    }

    /**
     * Replaces all entries; missing ones are recorded as removed.
     *
     * @param items all entries of the store
     * @param vms described VMs by key, without the entries that describe none
     * @param atRevision store revision of the list, not of an earlier incarnation than {@link #revision}
     * @return the described VMs without those that had been removed before the store was restored, and as their latest
     *     known heartbeats describe them
     */
    public List<UpstreamVm> replaceAll(
            List<VersionedValue> items, Map<String, UpstreamVm> vms, StoreRevision atRevision) {
        boolean restored = revision.isKnown() && !revision.hasIncarnationOf(atRevision);
        List<UpstreamVm> present = new ArrayList<>();
        Set<String> missing = new HashSet<>(entries.keySet());
        if (restored) {
            entries.replaceAll((key, entry) -> entry.at(atRevision.number()));
            removals.replaceAll((key, removal) -> new Removal(atRevision.number(), removal.lastHeartbeat()));
        }
        for (VersionedValue item : items) {
            if (!isOutdated(item)) {
                recordWrite(item, Optional.ofNullable(vms.get(item.key())));
            }
            Entry entry = entries.get(item.key());
            if (entry != null) {
                missing.remove(item.key());
                entry.vm().ifPresent(present::add);
            }
        }
        missing.forEach(key -> recordRemoval(key, atRevision.number()));
        advanceTo(atRevision);
        return present;
    }

    /**
     * Counts listed entries of removed VMs as outdated, for the first list of a new incarnation. Their heartbeats may be
     * later than those known here, since nodes pass on only changes of the described VM.
     *
     * @param items all entries of the restored store
     */
    public void withholdRemoved(List<VersionedValue> items) {
        for (VersionedValue item : items) {
            Removal removal = removals.get(item.key());
            Optional<VmHeartbeat> listed = removal == null ? Optional.empty() : heartbeatReader.apply(item.value());
            if (listed.isPresent() && !listed.get().isOfLaterStart(removal.lastHeartbeat())) {
                removals.put(item.key(), new Removal(removal.atRevision(), listed));
            }
        }
    }

    /** Returns whether a later heartbeat of the VM than that of an entry is known, or its removal after that entry. */
    private boolean isOutdated(VersionedValue item) {
        if (item.revision() > lastRevision(item.key())) {
            return false;
        }
        Optional<VmHeartbeat> known = lastHeartbeat(item.key());
        Optional<VmHeartbeat> listed = heartbeatReader.apply(item.value());
        return known.isPresent() && listed.isPresent() && listed.get().compareTo(known.get()) <= 0;
    }

    /** Returns the revision at which an entry was written or removed last; -1 if neither is known. */
    private long lastRevision(String key) {
        if (entries.containsKey(key)) {
            return entries.get(key).item().revision();
        }
        return removals.containsKey(key) ? removals.get(key).atRevision() : StoreRevision.NONE.number();
    }

    /** Returns the last heartbeat that the entry with a key had, also before its removal. */
    private Optional<VmHeartbeat> lastHeartbeat(String key) {
        Entry entry = entries.get(key);
        return entry != null
                ? heartbeatReader.apply(entry.item().value())
                : Optional.ofNullable(removals.get(key)).flatMap(Removal::lastHeartbeat);
    }

    /**
     * Records that an entry was written.
     *
     * @param item entry as written
     * @param vm VM that it describes, or empty
     */
    public void recordWrite(VersionedValue item, Optional<UpstreamVm> vm) {
        Entry before = entries.get(item.key());
        boolean changed = before == null || !before.vm().equals(vm);
        entries.put(item.key(), new Entry(item, vm, changed ? item.revision() : before.changeRevision()));
        removals.remove(item.key());
    }

    /**
     * Records that an entry was removed.
     *
     * @param key key of the entry
     * @param atRevision number of the change of the store that removed it
     */
    public void recordRemoval(String key, long atRevision) {
        Optional<VmHeartbeat> lastHeartbeat = lastHeartbeat(key);
        entries.remove(key);
        removals.remove(key);
        removals.put(key, new Removal(atRevision, lastHeartbeat));
        if (removals.size() > MAX_REMOVED) {
            removals.remove(removals.keySet().iterator().next());
        }
    }

    /**
     * Returns the changes after a revision.
     *
     * @param after changes up to this revision are omitted; all entries are returned if it is of a different incarnation
     *     of the store
     * @return writes and removals in the order of their revisions
     */
    public List<StoreChange> changesSince(StoreRevision after) {
        long afterRevision = after.hasIncarnationOf(revision) ? after.number() : StoreRevision.NONE.number();
        List<LoggedChange> changes = new ArrayList<>();
        entries.values()
                .forEach(entry ->
                        changes.add(new LoggedChange(entry.changeRevision(), new StoreChange.Written(entry.item()))));
        removals.forEach((key, removal) -> changes.add(
                new LoggedChange(removal.atRevision(), new StoreChange.Deleted(key, removal.atRevision()))));
        return changes.stream()
                .filter(item -> item.atRevision() > afterRevision)
                .sorted(Comparator.comparingLong(LoggedChange::atRevision))
                .map(LoggedChange::change)
                .toList();
    }
}
