package org.apricotdeal.policy.claims;

/**
 * The content of a shard as this node last saw it confirmed by the platform.
 *
 * @param revision the platform's revision; 0 where the shard does not exist yet
 * @param shard the content
 * @param seenAtMillis when the platform's reply was handled; the platform held this content at that time or before
 * @param generationSeenAtMillis when this node first saw the content's generation
 */
record ShardView(long revision, ClaimShard shard, long seenAtMillis, long generationSeenAtMillis) {
    /** Returns the view after a later one, keeping the time at which the generation was first seen. */
    static ShardView after(ShardView earlier, long revision, ClaimShard shard, long nowMillis) {
        boolean sameGeneration = earlier != null && earlier.shard().generation() == shard.generation();
        return new ShardView(revision, shard, nowMillis, sameGeneration ? earlier.generationSeenAtMillis() : nowMillis);
    }

    boolean generationIsOver(long nowMillis) {
        return nowMillis - generationSeenAtMillis >= shard.slotMillis();
    }
}
