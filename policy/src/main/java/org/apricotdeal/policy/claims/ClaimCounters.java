package org.apricotdeal.policy.claims;

/**
 * What the claims journal of one node has done since its start.
 *
 * @param reads reads of shards
 * @param writes swaps of shards that took effect
 * @param conflicts swaps that another node's write forestalled
 * @param unconfirmed swaps without a reply
 * @param granted requests granted
 * @param refused requests refused
 * @param replayed requests answered with a recorded answer
 * @param writtenBytes bytes of the swaps that were sent
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
