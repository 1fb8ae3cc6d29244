package org.apricotdeal.policy.claims;

/** A change of a shard that one node has yet to see confirmed. */
sealed interface PendingChange {
    /** Base of a claim that no swap has carried, or whose swaps certainly failed. */
    long NEVER_SENT = -1;

    /** Returns the key of the claim, caller and idempotency key. */
    String key();

    /** Returns the id of the claim that is changed. */
    String claimId();

    /**
     * Records a new claim.
     *
     * @param request the request that waits for it
     * @param key caller and idempotency key
     * @param claimId id of the claim
     * @param receivedAtMillis when the request was received
     * @param sentOnRevision newest revision on which a swap with the claim may still take effect, or NEVER_SENT
     */
    record Claiming(ClaimEvent.Request request, String key, String claimId, long receivedAtMillis, long sentOnRevision)
            implements PendingChange {
        Claiming sentOn(long revision) {
            return new Claiming(request, key, claimId, receivedAtMillis, revision);
        }
    }

    /**
     * Records the outcome of a granted claim.
     *
     * @param key caller and idempotency key
     * @param claimId id of the claim
     * @param answer the upstream's answer, or null where the outcome is unknown
     */
    record Settling(String key, String claimId, ClaimAnswer answer) implements PendingChange {}

    /**
     * Removes a claim whose request certainly did not run and never will.
     *
     * @param key caller and idempotency key
     * @param claimId id of the claim
     * @param sentOnRevision newest revision on which a swap with the claim may still take effect, or NEVER_SENT
     */
    record Releasing(String key, String claimId, long sentOnRevision) implements PendingChange {}
}
