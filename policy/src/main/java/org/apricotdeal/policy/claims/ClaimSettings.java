package org.apricotdeal.policy.claims;

/**
 * Limits and intervals of the claims journal.
 *
 * @param shards number of shards of an upstream's journal; must be equal on all nodes and never change
 * @param slotMillis length of a generation, used for shards that this node creates
 * @param maxWaitMillis maximum time that a request waits for its claim, and that a granted claim waits for its dispatch
 * @param minSwapIntervalMillis minimum time between two writes of a shard by one node; claims made in between share
 *     the next write
 * @param outcomeBatchMillis time for which an outcome waits for new claims so that they share one write
 * @param retryMillis minimum delay before a failed call to the platform is retried
 * @param maxAnswerBytes size of the largest answer that is stored for repeated requests
 * @param maxShardBytes maximum estimated size of an encoded shard
 */
public record ClaimSettings(
        int shards,
        long slotMillis,
        long maxWaitMillis,
        long minSwapIntervalMillis,
        long outcomeBatchMillis,
        long retryMillis,
        int maxAnswerBytes,
        int maxShardBytes) {
    /** Settings used by a node. */
    public static final ClaimSettings DEFAULT = new ClaimSettings(64, 60_000, 2_000, 20, 500, 100, 4_096, 900_000);

    /**
     * Returns the number of generations for which a claim must be retained. One generation is added because a claim
     * written just before the end of a generation gets almost nothing of it. {@code maxWaitMillis} is added because a
     * request that waits for its claim must still find the claims that existed when it was received.
     *
     * @param retentionMillis time in milliseconds for which the claim must be retained
     * @param timeoutMillis timeout of the call in milliseconds; a claim is retained for longer than its call takes
     * @param shardSlotMillis length of the shard's generations in milliseconds
     * @return number of generations, counted from the one in which the claim was written
     */
    public long retainGenerations(long retentionMillis, long timeoutMillis, long shardSlotMillis) {
        long neededMillis = Math.max(retentionMillis, timeoutMillis + maxWaitMillis) + maxWaitMillis;
        return Math.ceilDiv(neededMillis, shardSlotMillis) + 1;
    }
}
