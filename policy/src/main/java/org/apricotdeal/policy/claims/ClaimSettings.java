package org.apricotdeal.policy.claims;

/**
 * Settings of the claims journal.
 *
 * @param shards shards of an upstream's journal; equal on all nodes and never changed
 * @param slotMillis length of a generation, for shards that this node is the first to write
 * @param holdMillis longest time that a request waits for its claim, and that a granted claim waits for its dispatch
 * @param minSwapIntervalMillis shortest time between two writes of a shard by one node; later claims share the next one
 * @param settleWaitMillis time for which an outcome waits for claims whose write it can share
 * @param retryMillis time before a call to the platform that failed is repeated
 * @param maxAnswerBytes largest answer that is kept for repeated requests
 * @param maxShardBytes largest encoded shard
 */
public record ClaimSettings(
        int shards,
        long slotMillis,
        long holdMillis,
        long minSwapIntervalMillis,
        long settleWaitMillis,
        long retryMillis,
        int maxAnswerBytes,
        int maxShardBytes) {
    /** The settings of a node. */
    public static final ClaimSettings DEFAULT = new ClaimSettings(64, 60_000, 2_000, 20, 500, 100, 4_096, 900_000);

    /**
     * Returns for how many generations a claim has to stay. A claim written just before its generation ends loses nearly
     * a slot, hence one more than the retention fills; and a request that waits for its claim must find the claims of
     * the time when it was received, hence the hold.
     *
     * @param retentionMillis time for which the claim must stay
     * @param timeoutMillis timeout of the call; a claim outlives its call
     * @param shardSlotMillis length of the shard's generations
     * @return number of generations
     */
    public long retainGenerations(long retentionMillis, long timeoutMillis, long shardSlotMillis) {
        long neededMillis = Math.max(retentionMillis, timeoutMillis + holdMillis) + holdMillis;
        return Math.ceilDiv(neededMillis, shardSlotMillis) + 1;
    }
}
