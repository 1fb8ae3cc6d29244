package org.apricotdeal.policy.claims;

/** Why a request with an idempotency key is not dispatched. */
public enum ClaimRefusal {
    /** The claim could not be recorded in time: the platform is away, slow or contended. The request did not run. */
    PLATFORM_AWAY(true),
    /** The shard holds as many claims as fit. The request did not run. */
    JOURNAL_FULL(true),
    /** The shard's value could not be read. The request did not run. */
    JOURNAL_UNREADABLE(true),
    /** The key was used for another request. This one did not run. */
    KEY_REUSED(true),
    /** An earlier request with the key may still be running; its outcome can be asked for again. */
    IN_PROGRESS(false),
    /** An earlier request with the key may have run, and nobody will learn whether it did. */
    OUTCOME_UNKNOWN(false),
    /** An earlier request with the key was answered; its answer was too large to keep. */
    ALREADY_RUN(false);

    private final boolean notRun;

    ClaimRefusal(boolean notRun) {
        this.notRun = notRun;
    }

    /**
     * Tells whether the refusal may be reported as "not run".
     *
     * @return true where the refused request certainly did not run and never will
     */
    public boolean isNotRun() {
        return notRun;
    }
}
