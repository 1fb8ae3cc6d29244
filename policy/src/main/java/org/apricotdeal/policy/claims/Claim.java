package org.apricotdeal.policy.claims;

/**
 * The entry of an idempotency key in a shard of the journal. While the entry exists, only the request that created it is
 * dispatched; other requests with the same key are not.
 *
 * @param claimId unique id of the claim; shows whether a swap whose reply was lost took effect
 * @param requestHash hash of the claiming request's method, path and body
 * @param generation generation of the shard in which the claim was written
 * @param retainGenerations number of generations for which the claim is retained
 * @param timeoutMillis time in milliseconds after which the outcome of a claim that is still running is unknown
 * @param state state of the call
 * @param status HTTP status of the answer; 0 if the state is not {@link ClaimState#ANSWERED}
 * @param contentType content type of the answer; empty if there is none
 * @param answer body of the answer; null if there is none or it was too large to store
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
    private static final int OVERHEAD_BYTES = 260;

    /**
     * Creates the claim of a call that is about to be dispatched.
     *
     * @param claimId unique id of the claim
     * @param requestHash hash of the request's method, path and body
     * @param generation current generation of the shard
     * @param retainGenerations number of generations for which the claim is retained
     * @param timeoutMillis time in milliseconds after which the call's outcome is unknown
     * @return a claim in state {@link ClaimState#RUNNING}
     */
    public static Claim running(
            String claimId, String requestHash, long generation, long retainGenerations, long timeoutMillis) {
        return new Claim(
                claimId, requestHash, generation, retainGenerations, timeoutMillis, ClaimState.RUNNING, 0, "", null);
    }

    /**
     * Returns a copy of the claim with the upstream's answer.
     *
     * @param upstreamAnswer answer to the call
     * @param maxAnswerBytes size of the largest body that is stored; a larger one is left out
     * @return a claim in state {@link ClaimState#ANSWERED}
     */
    public Claim withAnswer(ClaimAnswer upstreamAnswer, int maxAnswerBytes) {
        byte[] storedBody = upstreamAnswer.body().length <= maxAnswerBytes ? upstreamAnswer.body() : null;
        return new Claim(
                claimId,
                requestHash,
                generation,
                retainGenerations,
                timeoutMillis,
                ClaimState.ANSWERED,
                upstreamAnswer.status(),
                upstreamAnswer.contentType(),
                storedBody);
    }

    /**
     * Returns a copy of the claim that states that it cannot be determined whether the call ran.
     *
     * @return a claim in state {@link ClaimState#UNKNOWN}
     */
    public Claim withUnknownOutcome() {
        return new Claim(
                claimId, requestHash, generation, retainGenerations, timeoutMillis, ClaimState.UNKNOWN, 0, "", null);
    }

    /**
     * Returns whether the claim has expired in a generation of its shard.
     *
     * @param shardGeneration generation of the shard
     * @return true if the claim may be removed
     */
    public boolean expiredAt(long shardGeneration) {
        return shardGeneration - generation >= retainGenerations;
    }

    /**
     * Estimates the size of the claim in the encoded shard.
     *
     * @param key key of the claim in the shard
     * @return an upper bound in bytes
     */
    public int estimatedBytes(String key) {
        int answerBytes = answer == null ? 0 : (answer.length + 2) / 3 * 4;
        return OVERHEAD_BYTES
                + key.length()
                + claimId.length()
                + requestHash.length()
                + contentType.length()
                + answerBytes;
    }
}
