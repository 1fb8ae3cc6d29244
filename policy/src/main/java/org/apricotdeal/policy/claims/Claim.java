package org.apricotdeal.policy.claims;

/**
 * One idempotency key's entry in a shard of the journal. While it exists, no request with its key is dispatched but the
 * one that made it.
 *
 * @param claimId unique id of the claim; settles swaps whose replies were lost
 * @param requestHash hash of the claiming request's method, path and body
 * @param generation the shard's generation at which the claim was written
 * @param retainGenerations number of generations for which the claim stays
 * @param timeoutMillis time after which a claim that still counts as running has an unknown outcome
 * @param state how far the call has come
 * @param status HTTP status of the answer; 0 where the state is not {@link ClaimState#ANSWERED}
 * @param contentType content type of the answer; empty where there is none
 * @param answer body of the answer; null where there is none or it was too large to keep
 */
@SuppressWarnings("ArrayRecordComponent")
public record Claim(
        String claimId,
        String requestHash,
        long generation,
        long retainGenerations,
        long timeoutMillis,
        ClaimState state,
        int status,
        String contentType,
        byte[] answer) {
    private static final int FIXED_BYTES = 260;

    /**
     * Creates the claim of a call that is about to be dispatched.
     *
     * @param claimId unique id of the claim
     * @param requestHash hash of the request
     * @param generation generation of the shard
     * @param retainGenerations number of generations for which the claim stays
     * @param timeoutMillis time after which the call's outcome is unknown
     * @return the claim
     */
    public static Claim running(
            String claimId, String requestHash, long generation, long retainGenerations, long timeoutMillis) {
        return new Claim(
                claimId, requestHash, generation, retainGenerations, timeoutMillis, ClaimState.RUNNING, 0, "", null);
    }

    /**
     * Records the upstream's answer.
     *
     * @param reply the answer
     * @param maxAnswerBytes largest body that is kept
     * @return the changed claim
     */
    public Claim answered(ClaimAnswer reply, int maxAnswerBytes) {
        byte[] kept = reply.body().length <= maxAnswerBytes ? reply.body() : null;
        return new Claim(
                claimId,
                requestHash,
                generation,
                retainGenerations,
                timeoutMillis,
                ClaimState.ANSWERED,
                reply.status(),
                reply.contentType(),
                kept);
    }

    /**
     * Records that nobody will learn whether the call ran.
     *
     * @return the changed claim
     */
    public Claim unknown() {
        return new Claim(
                claimId, requestHash, generation, retainGenerations, timeoutMillis, ClaimState.UNKNOWN, 0, "", null);
    }

    /**
     * Tells whether the claim's time is over at a generation.
     *
     * @param shardGeneration the shard's generation
     * @return true where the claim may be dropped
     */
    public boolean expiredAt(long shardGeneration) {
        return shardGeneration - generation >= retainGenerations;
    }

    /**
     * Estimates the claim's share of its shard's encoded size.
     *
     * @param key the claim's key
     * @return an upper bound in bytes
     */
    public int estimatedBytes(String key) {
        int answerBytes = answer == null ? 0 : (answer.length + 2) / 3 * 4;
        return FIXED_BYTES
                + key.length()
                + claimId.length()
                + requestHash.length()
                + contentType.length()
                + answerBytes;
    }
}
