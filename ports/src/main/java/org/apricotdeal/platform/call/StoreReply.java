package org.apricotdeal.platform.call;

import java.util.Optional;

import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.VersionedValue;

/** The reply to a {@link StoreCall}. */
public sealed interface StoreReply {
    /**
     * Returns the id of the call that this reply answers.
     *
     * @return the call's id
     */
    long callId();

    /**
     * The value of a key.
     *
     * @param callId id of the call
     * @param value the value; empty if the key does not exist
     */
    record Value(long callId, Optional<VersionedValue> value) implements StoreReply {}

    /**
     * The write was done.
     *
     * @param callId id of the call
     * @param revision revision of the write
     */
    record Swapped(long callId, long revision) implements StoreReply {}

    /**
     * The key had a different revision; nothing was done.
     *
     * @param callId id of the call
     * @param current the key's current value; empty if the key does not exist
     */
    record Conflict(long callId, Optional<VersionedValue> current) implements StoreReply {}

    /**
     * A lease was granted, renewed or revoked.
     *
     * @param callId id of the call
     * @param leaseId the lease
     * @param ttlMillis time to live in milliseconds from when the call was sent; 0 if the lease has expired or was revoked
     */
    record Lease(long callId, long leaseId, long ttlMillis) implements StoreReply {}

    /**
     * The call failed.
     *
     * @param callId id of the call
     * @param error the failure, which tells whether the call certainly had no effect
     */
    record Failed(long callId, PlatformError error) implements StoreReply {}
}
