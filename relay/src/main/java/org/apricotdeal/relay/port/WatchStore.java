package org.apricotdeal.relay.port;

import java.util.List;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.Versioned;

/** A key-value store with watches by prefix and leases. Calls block the calling thread. */
public interface WatchStore {
    /**
     * All keys under a prefix, read page by page.
     *
     * @param items the keys
     * @param revision revision of the store before the first page was read; a watch goes on from here
     */
    record Range(List<Versioned> items, long revision) {}

    /**
     * What a watch returned.
     *
     * @param changes changes in the order of their revisions; none where the wait ended first
     * @param revision revision to go on from
     */
    record Changes(List<StoreChange> changes, long revision) {}

    /**
     * Reads all keys under a prefix.
     *
     * @param prefix the prefix
     * @param stale true where an answer may be seconds old, which costs less
     * @return the keys, or why they could not be read
     */
    Result<Range, StoreFault> range(String prefix, boolean stale);

    /**
     * Waits for changes under a prefix.
     *
     * @param prefix the prefix
     * @param afterRevision changes up to this revision are known
     * @param waitMillis longest time to wait
     * @return the changes, or why there are none
     */
    Result<Changes, StoreFault> watch(String prefix, long afterRevision, long waitMillis);

    /**
     * Writes a key bound to a lease, whatever it held.
     *
     * @param key the key
     * @param value its bytes
     * @param leaseId the lease
     * @return revision of the write, or why it is not known to have happened
     */
    Result<Long, StoreFault> write(String key, byte[] value, long leaseId);

    /**
     * Grants a lease.
     *
     * @param ttlMillis time to live
     * @return the lease, or why it was not granted
     */
    Result<Long, StoreFault> grantLease(long ttlMillis);

    /**
     * Renews a lease.
     *
     * @param leaseId the lease
     * @return time to live from the arrival of the call in milliseconds, or why it is not known to be renewed
     */
    Result<Long, StoreFault> renewLease(long leaseId);

    /**
     * Ends a lease and deletes its keys.
     *
     * @param leaseId the lease
     * @return true, or why it is not known to have ended
     */
    Result<Boolean, StoreFault> endLease(long leaseId);
}
