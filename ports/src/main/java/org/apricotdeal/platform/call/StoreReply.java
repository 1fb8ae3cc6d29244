package org.apricotdeal.platform.call;

import java.util.Optional;

import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.Versioned;

/** The reply to a {@link StoreCall}. */
public sealed interface StoreReply {
    /**
     * Returns the number of the call that is answered.
     *
     * @return the number
     */
    long callId();

    /**
     * What a key holds.
     *
     * @param callId number of the call
     * @param value its value, or nothing where the key does not exist
     */
    record Value(long callId, Optional<Versioned> value) implements StoreReply {}

    /**
     * The write was done.
     *
     * @param callId number of the call
     * @param revision revision of the write
     */
    record Swapped(long callId, long revision) implements StoreReply {}

    /**
     * The revision was another; nothing was done.
     *
     * @param callId number of the call
     * @param current what the key holds, or nothing where it does not exist
     */
    record Conflict(long callId, Optional<Versioned> current) implements StoreReply {}

    /**
     * A lease was granted, renewed or ended.
     *
     * @param callId number of the call
     * @param leaseId the lease
     * @param ttlMillis time to live from the moment the call was sent; 0 where the lease has lapsed
     */
    record Lease(long callId, long leaseId, long ttlMillis) implements StoreReply {}

    /**
     * The call gave no answer.
     *
     * @param callId number of the call
     * @param error whether it certainly had no effect
     */
    record Failed(long callId, PlatformError error) implements StoreReply {}
}
