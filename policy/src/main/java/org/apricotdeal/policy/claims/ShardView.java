package org.apricotdeal.policy.claims;

/**
 * The content of a shard as last confirmed to this node by the platform.
 *
 * @param revision revision assigned by the platform; 0 if the shard does not exist yet
 * @param shard content of the shard
 * @param seenAtMillis monotonic time at which the platform's reply was handled; the content was current then or earlier
 * @param generationSeenAtMillis monotonic time at which this node first saw the content's generation
 */
record ShardView(long revision, ClaimShard shard, long seenAtMillis, long generationSeenAtMillis) {
    /** Creates the view that follows an earlier one; an unchanged generation keeps the time at which it was first seen. */
    static ShardView after(ShardView earlier, long revision, ClaimShard shard, long nowMillis) {
        boolean sameGeneration = earlier != null && earlier.shard().generation() == shard.generation();
        return new ShardView(revision, shard, nowMillis, sameGeneration ? earlier.generationSeenAtMillis() : nowMillis);
    }

    boolean generationIsOver(long nowMillis) {
        return nowMillis - generationSeenAtMillis >= shard.slotMillis();
    }
}
