package org.apricotdeal.platform;

import java.util.List;
import java.util.Optional;

import org.apricotdeal.kernel.result.Result;

/**
 * The platform's key-value service. A failed call either certainly had no effect, or its outcome is unknown; after a
 * write with an unknown outcome the caller has to read the key back. Calls block the calling thread, so each key or
 * lease is accessed only by the duty that owns it.
 */
public interface KeyValueStore {
    /**
     * Reads a key.
     *
     * @param key the key
     * @return the value with its revision, empty if the key does not exist, or the cause of the failure
     */
    Result<Optional<VersionedValue>, PlatformError> get(String key);

    /**
     * Reads all keys under a prefix.
     *
     * @param prefix the prefix
     * @return the values sorted by key, or the cause of the failure
     */
    Result<List<VersionedValue>, PlatformError> list(String prefix);

    /**
     * Writes a key if its revision is as expected.
     *
     * @param key the key
     * @param expectedRevision revision that the key must have; 0 if it must not exist
     * @param value the new value, at most one megabyte
     * @param leaseId lease that the key is bound to, or 0 for none
     * @return outcome of the comparison, or the cause of the failure
     */
    Result<SwapOutcome, PlatformError> compareAndSwap(String key, long expectedRevision, byte[] value, long leaseId);

    /**
     * Deletes a key if its revision is as expected.
     *
     * @param key the key
     * @param expectedRevision revision that the key must have
     * @return outcome of the comparison, or the cause of the failure
     */
    Result<SwapOutcome, PlatformError> compareAndDelete(String key, long expectedRevision);

    /**
     * Grants a lease.
     *
     * @param ttlMillis time to live in milliseconds; rounded up to whole seconds
     * @return id of the lease, or the cause of the failure
     */
    Result<Long, PlatformError> grantLease(long ttlMillis);

    /**
     * Renews a lease.
     *
     * @param leaseId the lease
     * @return time to live in milliseconds from when the call was sent (0 if the lease has expired), or the cause of the
     *     failure
     */
    Result<Long, PlatformError> keepAlive(long leaseId);

    /**
     * Revokes a lease and deletes the keys bound to it.
     *
     * @param leaseId the lease
     * @return whether the lease existed, or the cause of the failure
     */
    Result<Boolean, PlatformError> revokeLease(long leaseId);

    /**
     * Waits for a change of a key.
     *
     * @param key the key
     * @param afterRevision revision up to which the changes are already known
     * @param timeoutMillis maximum time to wait in milliseconds
     * @return the latest value after that revision, empty if there was none in time, or the cause of the failure
     */
    Result<Optional<VersionedValue>, PlatformError> awaitChange(String key, long afterRevision, long timeoutMillis);
}
