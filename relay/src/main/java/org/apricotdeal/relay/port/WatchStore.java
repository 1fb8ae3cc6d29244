package org.apricotdeal.relay.port;

import java.util.List;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.VersionedValue;

/** A key-value store with leases and with watches on key prefixes. Calls block the calling thread. */
public interface WatchStore {
    /**
     * All keys with a prefix, read page by page.
     *
     * @param items the keys with their values and revisions
     * @param revision revision of the store before the first page was read, from which a watch continues
     */
    record Range(List<VersionedValue> items, long revision) {}

    /**
     * Result of a watch.
     *
     * @param changes changes ordered by revision; empty if the wait ended before a change
     * @param revision revision from which the next watch continues
     */
    record Changes(List<StoreChange> changes, long revision) {}

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
     * @param afterRevision only changes after this revision are returned
     * @param waitMillis longest time to wait
     * @return the changes, or the failure
     */
    Result<Changes, StoreFault> watch(String prefix, long afterRevision, long waitMillis);

    /**
     * Writes a key unconditionally and attaches it to a lease.
     *
     * @param key the key
     * @param value the new value
     * @param leaseId the lease; the key is deleted when it ends
     * @return revision of the write, or why it failed or has an unknown outcome
     */
    Result<Long, StoreFault> write(String key, byte[] value, long leaseId);

    /**
     * Grants a lease.
     *
     * @param ttlMillis time to live of the lease
     * @return id of the lease, or the failure
     */
    Result<Long, StoreFault> grantLease(long ttlMillis);

    /**
     * Renews a lease.
     *
     * @param leaseId the lease
     * @return time to live in milliseconds, counted from the arrival of the call, or why the renewal failed or has an
     *     unknown outcome
     */
    Result<Long, StoreFault> renewLease(long leaseId);

    /**
     * Ends a lease and deletes its keys.
     *
     * @param leaseId the lease
     * @return true, or why the call failed or has an unknown outcome
     */
    Result<Boolean, StoreFault> endLease(long leaseId);
}
