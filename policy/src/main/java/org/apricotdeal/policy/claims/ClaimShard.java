package org.apricotdeal.policy.claims;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The content of one shard of the claims journal.
 *
 * @param slotMillis time for which a process must have seen a generation before it may begin the next one; set by the
 *     shard's first writer and kept by all others
 * @param generation counts the slots; grows by at most one with each write
 * @param claims claims by caller and idempotency key
 */
public record ClaimShard(long slotMillis, long generation, Map<String, Claim> claims) {
    /** Freezes the claims. */
    public ClaimShard {
        claims = Collections.unmodifiableMap(new TreeMap<>(claims));
    }

    /**
     * Creates a shard without claims.
     *
     * @param slotMillis length of a generation in milliseconds
     * @return the shard
     */
    public static ClaimShard empty(long slotMillis) {
        return new ClaimShard(slotMillis, 0, Map.of());
    }

    /**
     * Estimates the encoded size.
     *
     * @return an upper bound in bytes
     */
    public int estimatedBytes() {
        int bytes = 100;
        for (Map.Entry<String, Claim> entry : claims.entrySet()) {
            bytes += entry.getValue().estimatedBytes(entry.getKey());
        }
        return bytes;
    }
}
