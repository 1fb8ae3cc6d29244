package org.apricotdeal.platform;

import java.util.List;
import java.util.Optional;

import org.apricotdeal.kernel.result.Result;

/**
 * The platform's key-value service. Every call can fail in two ways that differ for writes: it certainly had no effect,
 * or its outcome is unknown and has to be read back. Calls block the calling thread; only the duty that owns a matter
 * calls.
 */
public interface KeyValueStore {
    /**
     * Reads a key.
     *
     * @param key the key
     * @return the value with its revision, nothing where the key does not exist, or why it could not be read
     */
    Result<Optional<Versioned>, PlatformError> get(String key);

    /**
     * Reads all keys under a prefix.
     *
     * @param prefix the prefix
     * @return the values sorted by key, or why they could not be read
     */
    Result<List<Versioned>, PlatformError> list(String prefix);

    /**
     * Writes a key if its revision is as expected.
     *
     * @param key the key
     * @param expectedRevision revision that the key must have; 0 where it must not exist
     * @param value the new value, at most one megabyte
     * @param leaseId lease that the key is bound to, or 0
     * @return what came of it, or why that is not known
     */
    Result<SwapOutcome, PlatformError> compareAndSwap(String key, long expectedRevision, byte[] value, long leaseId);

    /**
     * Deletes a key if its revision is as expected.
     *
     * @param key the key
     * @param expectedRevision revision that the key must have
     * @return what came of it, or why that is not known
     */
    Result<SwapOutcome, PlatformError> compareAndDelete(String key, long expectedRevision);

    /**
     * Grants a lease.
     *
     * @param ttlMillis time to live in milliseconds; rounded up to whole seconds
     * @return id of the lease, or why it was not granted
     */
    Result<Long, PlatformError> grantLease(long ttlMillis);

    /**
     * Renews a lease.
     *
     * @param leaseId the lease
     * @return time to live in milliseconds from the moment the call was sent; 0 where the lease has lapsed
     */
    Result<Long, PlatformError> keepAlive(long leaseId);

    /**
     * Ends a lease and deletes the keys bound to it.
     *
     * @param leaseId the lease
     * @return true where it existed, or why that is not known
     */
    Result<Boolean, PlatformError> revokeLease(long leaseId);

    /**
     * Waits for a change of a key.
     *
     * @param key the key
     * @param afterRevision changes up to this revision are known already
     * @param timeoutMillis longest time to wait
     * @return the newest value after that revision, nothing where there was none in time, or why it could not be read
     */
    Result<Optional<Versioned>, PlatformError> awaitChange(String key, long afterRevision, long timeoutMillis);
}
