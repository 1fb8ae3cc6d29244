package org.apricotdeal.policy.claims;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Content of one shard of the claims journal.
 *
 * @param slotMillis length of a generation in milliseconds: the time for which a process must have observed a
 *     generation before it may begin the next one; set by the shard's first writer and never changed
 * @param generation number of the current generation; increases by at most one with each write
 * @param claims claims by caller and idempotency key
 */
public record ClaimShard(long slotMillis, long generation, Map<String, Claim> claims) {
    /** Makes an unmodifiable sorted copy of the claims. */
    public ClaimShard {
        claims = Collections.unmodifiableMap(new TreeMap<>(claims));
    }

    /**
     * Creates a shard without claims.
     *
     * @param slotMillis length of a generation in milliseconds
     * @return an empty shard in generation 0
     */
    public static ClaimShard empty(long slotMillis) {
        return new ClaimShard(slotMillis, 0, Map.of());
    }

    /**
     * Estimates the size of the encoded shard.
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
