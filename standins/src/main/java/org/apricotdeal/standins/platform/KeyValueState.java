package org.apricotdeal.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.apricotdeal.kernel.time.Clock;

/**
 * Keys, values, revisions and leases of the key-value service. Keys are byte strings, held as Latin-1 text so that they
 * sort by byte. Only the newest value of a key is kept.
 */
final class KeyValueState {
    private final Clock clock;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Change> unreported = new ArrayList<>();
    private long revision = 1;
    private long nextLeaseId = 1;

    /** A key's newest value. */
    @SuppressWarnings("ArrayRecordComponent")
    record Entry(String key, byte[] value, long modRevision, long leaseId) {
        @Override
        public String toString() {
            return key + "@" + modRevision;
        }
    }

    /** A write or deletion of a key; the entry of a deletion has no value. */
    record Change(boolean isDeletion, Entry entry) {}

    private record Lease(long ttlSeconds, long expiresAtMillis) {}

    KeyValueState(Clock clock) {
        this.clock = clock;
    }

    long revision() {
        return revision;
    }

    Optional<Entry> get(String key) {
        expireLeases();
        return Optional.ofNullable(entries.get(key));
    }

    List<Entry> range(String key, String end) {
        expireLeases();
        SortedMap<String, Entry> found = end.equals("\0") ? entries.tailMap(key, true) : entries.subMap(key, end);
        return List.copyOf(found.values());
    }

    boolean hasRevision(String key, long modRevision) {
        return get(key).map(Entry::modRevision).orElse(0L) == modRevision;
    }

    boolean hasLease(long leaseId) {
        expireLeases();
        return leases.containsKey(leaseId);
    }

    void put(String key, byte[] value, long leaseId) {
        revision++;
        Entry entry = new Entry(key, value, revision, leaseId);
        entries.put(key, entry);
        unreported.add(new Change(false, entry));
    }

    void delete(String key) {
        if (entries.remove(key) != null) {
            revision++;
            unreported.add(new Change(true, new Entry(key, new byte[0], revision, 0)));
        }
    }

    long grant(long ttlSeconds) {
        long id = nextLeaseId++;
        leases.put(id, lease(ttlSeconds));
        return id;
    }

    /** Renews a lease and returns its time to live in seconds, 0 where it has lapsed. */
    long keepAlive(long leaseId) {
        expireLeases();
        Lease lease = leases.get(leaseId);
        if (lease == null) {
            return 0;
        }
        leases.put(leaseId, lease(lease.ttlSeconds()));
        return lease.ttlSeconds();
    }

    boolean revoke(long leaseId) {
        expireLeases();
        if (leases.remove(leaseId) == null) {
            return false;
        }
        deleteBoundTo(leaseId);
        return true;
    }

    /** Ends the leases whose time is up and deletes the keys bound to them. */
    void expireLeases() {
        long nowMillis = clock.monotonicMillis();
        for (Iterator<Map.Entry<Long, Lease>> all = leases.entrySet().iterator(); all.hasNext(); ) {
            Map.Entry<Long, Lease> lease = all.next();
            if (lease.getValue().expiresAtMillis() <= nowMillis) {
                all.remove();
                deleteBoundTo(lease.getKey());
            }
        }
    }

    /** Returns the changes since the last call of this method. */
    List<Change> takeChanges() {
        List<Change> changes = List.copyOf(unreported);
        unreported.clear();
        return changes;
    }

    private Lease lease(long ttlSeconds) {
        return new Lease(ttlSeconds, clock.monotonicMillis() + ttlSeconds * 1_000);
    }

    private void deleteBoundTo(long leaseId) {
        List<String> bound = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (entry.leaseId() == leaseId) {
                bound.add(entry.key());
            }
        }
        bound.forEach(this::delete);
    }
}
