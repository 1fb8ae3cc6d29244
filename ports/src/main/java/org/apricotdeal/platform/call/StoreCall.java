package org.apricotdeal.platform.call;

/** A call to the key-value service that a state machine returns for its owner to carry out. */
public sealed interface StoreCall {
    /**
     * Returns the id that the reply carries too.
     *
     * @return the id, unique within the state machine
     */
    long callId();

    /**
     * Reads a key.
     *
     * @param callId id of the call
     * @param key the key
     */
    record Get(long callId, String key) implements StoreCall {}

    /**
     * Writes a key if its revision is as expected.
     *
     * @param callId id of the call
     * @param key the key
     * @param expectedRevision revision that the key must have; 0 if it must not exist
     * @param value the new value
     * @param leaseId lease that the key is bound to, or 0 for none
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Swap(long callId, String key, long expectedRevision, byte[] value, long leaseId) implements StoreCall {}

    /**
     * Deletes a key if its revision is as expected.
     *
     * @param callId id of the call
     * @param key the key
     * @param expectedRevision revision that the key must have
     */
    record Delete(long callId, String key, long expectedRevision) implements StoreCall {}

    /**
     * Grants a lease.
     *
     * @param callId id of the call
     * @param ttlMillis time to live in milliseconds
     */
    record GrantLease(long callId, long ttlMillis) implements StoreCall {}

    /**
     * Renews a lease.
     *
     * @param callId id of the call
     * @param leaseId the lease
     */
    record KeepAlive(long callId, long leaseId) implements StoreCall {}

    /**
     * Revokes a lease and deletes the keys bound to it.
     *
     * @param callId id of the call
     * @param leaseId the lease
     */
    record Revoke(long callId, long leaseId) implements StoreCall {}
}
