package org.apricotdeal.relay.port;

import java.util.List;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.VersionedValue;

/** A key-value store with leases and with watches on key prefixes. Calls block the calling thread. */
public interface WatchStore {
    /**
     * All keys with a prefix, read page by page.
     *
     * @param items the keys with their values, and their revisions in the same incarnation of the store
     * @param revision revision of the store before the first page was read, from which a watch continues
     */
    record Range(List<VersionedValue> items, StoreRevision revision) {}

    /**
     * Result of a watch.
     *
     * @param changes changes ordered by revision, of the same incarnation of the store; empty if the wait ended before one
     * @param revision revision from which the next watch continues
     */
    record Changes(List<StoreChange> changes, StoreRevision revision) {}

    /**
     * Reads all keys with a prefix.
     *
     * @param prefix prefix of the keys
     * @param allowStale true if the result may be seconds old, which is cheaper for the store
     * @return the keys, or the failure
     */
    Result<Range, StoreFault> range(String prefix, boolean allowStale);

    /**
     * Waits for changes of keys with a prefix.
     *
     * @param prefix prefix of the keys
     * @param after only changes after this revision are returned
     * @param waitMillis longest time to wait
     * @return the changes, or the failure; {@link StoreFault.HistoryLost} also if the store is of a different incarnation
     */
    Result<Changes, StoreFault> watch(String prefix, StoreRevision after, long waitMillis);

    /**
     * Writes a key unconditionally and attaches it to a lease.
     *
     * @param key the key
     * @param value the new value
     * @param lease the lease; the key is deleted when it ends
     * @return revision of the write, or why it failed or has an unknown outcome
     */
    Result<StoreRevision, StoreFault> write(String key, byte[] value, StoreLease lease);

    /**
     * Grants a lease.
     *
     * @param ttlMillis time to live of the lease
     * @return the lease, or the failure
     */
    Result<StoreLease, StoreFault> grantLease(long ttlMillis);

    /**
     * Renews a lease.
     *
     * @param lease the lease
     * @return time to live in milliseconds, counted from the arrival of the call, or why the renewal failed or has an
     *     unknown outcome
     */
    Result<Long, StoreFault> renewLease(StoreLease lease);

    /**
     * Ends a lease and deletes its keys.
     *
     * @param lease the lease
     * @return true, or why the call failed or has an unknown outcome
     */
    Result<Boolean, StoreFault> endLease(StoreLease lease);
}
