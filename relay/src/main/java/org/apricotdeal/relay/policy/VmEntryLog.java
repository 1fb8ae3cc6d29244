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

import org.apricotdeal.platform.Versioned;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.port.StoreChange;

/**
 * The VMs' entries as a node knows them, each with the store's revision at which it last said something new. A node that
 * follows the store answers from it what has changed since a revision, for one that the store turns away.
 *
 * <p>A VM writes its entry with each of its heartbeats. Such a write counts as news only where the VM that it describes is
 * another one than before, so that what nodes tell each other stays small. Not safe for use by several threads.
 */
public final class VmEntryLog {
    /** Revision of a log that has taken nothing yet. */
    public static final long NO_REVISION = -1;

    /** Removed entries that are remembered, the oldest forgotten first; more than a fleet loses in a minute. */
    private static final int MAX_REMOVED = 512;

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<String, Long> recordRemoval = new LinkedHashMap<>();
    private long revision = NO_REVISION;

    /** An entry, the VM that it describes, if any, and the revision at which it last said something new. */
    private record Entry(Versioned item, Optional<UpstreamVm> vm, long changeRevision) {}

    /** A change and the revision at which it was news; a later heartbeat of the VM may have raised the entry's own. */
    private record LoggedChange(long atRevision, StoreChange change) {}

    /**
     * Returns the revision of the store up to which the entries are known.
     *
     * @return the revision, or {@link #NO_REVISION}
     */
    public long revision() {
        return revision;
    }

    /**
     * Notes that the entries are known up to a revision.
     *
     * @param upToRevision the revision; one that is behind has no effect
     */
    public void advanceTo(long upToRevision) {
        revision = Math.max(revision, upToRevision);
    }

    /**
     * Takes all entries at once; those that are missing have been removed.
     *
     * @param items the entries
     * @param vms the VMs that they describe, by key; entries that describe none are missing here
     * @param atRevision revision of the store
     */
    public void replaceAll(List<Versioned> items, Map<String, UpstreamVm> vms, long atRevision) {
        Set<String> gone = new HashSet<>(entries.keySet());
        for (Versioned item : items) {
            gone.remove(item.key());
            recordWrite(item, Optional.ofNullable(vms.get(item.key())));
        }
        gone.forEach(key -> recordRemoval(key, atRevision));
        advanceTo(atRevision);
    }

    /**
     * Takes an entry.
     *
     * @param item the entry
     * @param vm the VM that it describes, or nothing
     */
    public void recordWrite(Versioned item, Optional<UpstreamVm> vm) {
        Entry before = entries.get(item.key());
        boolean news = before == null || !before.vm().equals(vm);
        entries.put(item.key(), new Entry(item, vm, news ? item.revision() : before.changeRevision()));
        recordRemoval.remove(item.key());
    }

    /**
     * Takes the removal of an entry.
     *
     * @param key key of the entry
     * @param atRevision revision of the removal
     */
    public void recordRemoval(String key, long atRevision) {
        entries.remove(key);
        recordRemoval.remove(key);
        recordRemoval.put(key, atRevision);
        if (recordRemoval.size() > MAX_REMOVED) {
            recordRemoval.remove(recordRemoval.keySet().iterator().next());
        }
    }

    /**
     * Tells what is new since a revision.
     *
     * @param afterRevision what was new up to this revision is left out
     * @return the entries and removals, in the order of their revisions
     */
    public List<StoreChange> changesSince(long afterRevision) {
        List<LoggedChange> news = new ArrayList<>();
        entries.values()
                .forEach(entry ->
                        news.add(new LoggedChange(entry.changeRevision(), new StoreChange.Written(entry.item()))));
        recordRemoval.forEach(
                (key, atRevision) -> news.add(new LoggedChange(atRevision, new StoreChange.Deleted(key, atRevision))));
        return news.stream()
                .filter(item -> item.atRevision() > afterRevision)
                .sorted(Comparator.comparingLong(LoggedChange::atRevision))
                .map(LoggedChange::change)
                .toList();
    }
}
