package org.apricotdeal.policy.claims;

/**
 * Counters of the claims journal of one node since its start.
 *
 * @param reads number of shard reads
 * @param writes number of swaps that took effect
 * @param conflicts number of swaps that failed because another node had changed the shard
 * @param unconfirmed number of swaps without a reply
 * @param granted number of granted requests
 * @param refused number of refused requests
 * @param replayed number of requests answered with a recorded answer
 * @param writtenBytes total size of the swaps sent, including those that failed
 */
public record ClaimCounters(
        long reads,
        long writes,
        long conflicts,
        long unconfirmed,
        long granted,
        long refused,
        long replayed,
        long writtenBytes) {}
