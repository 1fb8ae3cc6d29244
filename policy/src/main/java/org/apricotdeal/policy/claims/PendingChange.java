package org.apricotdeal.policy.claims;

/** A change of a shard that this node has not seen confirmed by the platform yet. */
sealed interface PendingChange {
    /** Revision of a claim that no swap has carried, or whose swaps are known to have failed. */
    long NEVER_SENT = -1;

    /** Returns the key of the claim: caller and idempotency key. */
    String key();

    /** Returns the id of the claim that is changed. */
    String claimId();

    /**
     * Adds a claim.
     *
     * @param request request that is waiting for the claim
     * @param key caller and idempotency key
     * @param claimId id of the claim
     * @param receivedAtMillis monotonic time at which the request was received
     * @param lastExpectedRevision highest revision expected by a swap that carries the claim and may still take effect, or
     *     NEVER_SENT
     */
    record NewClaim(
            ClaimEvent.Request request, String key, String claimId, long receivedAtMillis, long lastExpectedRevision)
            implements PendingChange {
        NewClaim withLastExpectedRevision(long revision) {
            return new NewClaim(request, key, claimId, receivedAtMillis, revision);
        }
    }

    /**
     * Records the outcome of a granted claim.
     *
     * @param key caller and idempotency key
     * @param claimId id of the claim
     * @param answer the upstream's answer, or null if the outcome is unknown
     */
    record Outcome(String key, String claimId, ClaimAnswer answer) implements PendingChange {}

    /**
     * Removes a claim whose request did not run and never will.
     *
     * @param key caller and idempotency key
     * @param claimId id of the claim
     * @param lastExpectedRevision highest revision expected by a swap that carries the claim and may still take effect, or
     *     NEVER_SENT
     */
    record Removal(String key, String claimId, long lastExpectedRevision) implements PendingChange {}
}
