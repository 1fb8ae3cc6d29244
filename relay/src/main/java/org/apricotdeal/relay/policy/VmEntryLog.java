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

import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.StoreChange;

/**
 * The VM entries known to a node, each with the store revision of its last change. A node that follows the store
 * uses this log to answer which entries have changed since a revision, for nodes that the store rejects.
 *
 * <p>A VM writes its entry with every heartbeat. Such a write counts as a change only if the described VM differs,
 * which keeps the messages between nodes small. This class is not thread-safe.
 */
public final class VmEntryLog {
    /** Revision of an empty log. */
    public static final long NO_REVISION = -1;

    /**
     * Maximum number of remembered removals, of which the oldest are dropped first; more than a fleet loses in a
     * minute.
     */
    private static final int MAX_REMOVED = 512;

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Long> removedRevisions = new LinkedHashMap<>();
    private long revision = NO_REVISION;

    /** An entry, the VM that it describes, if any, and the revision of its last change. */
    private record Entry(VersionedValue item, Optional<UpstreamVm> vm, long changeRevision) {}

    /** A change and its revision; a later heartbeat of the VM may have raised the revision of the entry itself. */
    private record LoggedChange(long atRevision, StoreChange change) {}

    /**
     * Returns the store revision up to which the entries are known.
     *
     * @return revision, or {@link #NO_REVISION}
     */
    public long revision() {
        return revision;
    }

    /**
     * Records that the entries are known up to a revision.
     *
     * @param upToRevision store revision; an older one has no effect
     */
    public void advanceTo(long upToRevision) {
        revision = Math.max(revision, upToRevision);
    }

    /**
     * Replaces all entries; missing ones are recorded as removed.
     *
     * @param items all entries of the store
     * @param vms described VMs by key, without the entries that describe none
     * @param atRevision store revision of the list
     */
    public void replaceAll(List<VersionedValue> items, Map<String, UpstreamVm> vms, long atRevision) {
        Set<String> missing = new HashSet<>(entries.keySet());
        for (VersionedValue item : items) {
            missing.remove(item.key());
            recordWrite(item, Optional.ofNullable(vms.get(item.key())));
        }
        missing.forEach(key -> recordRemoval(key, atRevision));
        advanceTo(atRevision);
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
        removedRevisions.remove(item.key());
    }

    /**
     * Records that an entry was removed.
     *
     * @param key key of the entry
     * @param atRevision store revision of the removal
     */
    public void recordRemoval(String key, long atRevision) {
        entries.remove(key);
        removedRevisions.remove(key);
        removedRevisions.put(key, atRevision);
        if (removedRevisions.size() > MAX_REMOVED) {
            removedRevisions.remove(removedRevisions.keySet().iterator().next());
        }
    }

    /**
     * Returns the changes after a revision.
     *
     * @param afterRevision changes up to this revision are omitted
     * @return writes and removals in the order of their revisions
     */
    public List<StoreChange> changesSince(long afterRevision) {
        List<LoggedChange> changes = new ArrayList<>();
        entries.values()
                .forEach(entry ->
                        changes.add(new LoggedChange(entry.changeRevision(), new StoreChange.Written(entry.item()))));
        removedRevisions.forEach((key, atRevision) ->
                changes.add(new LoggedChange(atRevision, new StoreChange.Deleted(key, atRevision))));
        return changes.stream()
                .filter(item -> item.atRevision() > afterRevision)
                .sorted(Comparator.comparingLong(LoggedChange::atRevision))
                .map(LoggedChange::change)
                .toList();
    }
}
