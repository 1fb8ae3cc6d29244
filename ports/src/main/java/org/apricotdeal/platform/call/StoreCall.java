package org.apricotdeal.platform.call;

/** A call to the key-value service that a state machine asks its owner to carry out. */
public sealed interface StoreCall {
    /**
     * Returns the number that the reply will carry.
     *
     * @return the number, unique within the state machine
     */
    long callId();

    /**
     * Read a key.
     *
     * @param callId number of the call
     * @param key the key
     */
    record Get(long callId, String key) implements StoreCall {}

    /**
     * Write a key if its revision is as expected.
     *
     * @param callId number of the call
     * @param key the key
     * @param expectedRevision revision that the key must have; 0 where it must not exist
     * @param value the new value
     * @param leaseId lease that the key is bound to, or 0
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Swap(long callId, String key, long expectedRevision, byte[] value, long leaseId) implements StoreCall {}

    /**
     * Delete a key if its revision is as expected.
     *
     * @param callId number of the call
     * @param key the key
     * @param expectedRevision revision that the key must have
     */
    record Delete(long callId, String key, long expectedRevision) implements StoreCall {}

    /**
     * Grant a lease.
     *
     * @param callId number of the call
     * @param ttlMillis time to live in milliseconds
     */
    record GrantLease(long callId, long ttlMillis) implements StoreCall {}

    /**
     * Renew a lease.
     *
     * @param callId number of the call
     * @param leaseId the lease
     */
    record KeepAlive(long callId, long leaseId) implements StoreCall {}

    /**
     * End a lease.
     *
     * @param callId number of the call
     * @param leaseId the lease
     */
    record Revoke(long callId, long leaseId) implements StoreCall {}
}
