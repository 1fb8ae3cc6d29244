package org.apricotdeal.policy.claims;

/** Reasons for which a request with an idempotency key is not dispatched. */
public enum ClaimRefusal {
    /** The claim could not be recorded in time: the platform is unavailable or slow, or other writes
     * conflicted. The request did not run. */
    PLATFORM_AWAY(true),
    /** The shard has no room for another claim. The request did not run. */
    JOURNAL_FULL(true),
    /** The shard's value could not be read. The request did not run. */
    JOURNAL_UNREADABLE(true),
    /** The key was used for a different request. This request did not run. */
    KEY_REUSED(true),
    /** An earlier request with the key may still be running; the caller can retry to obtain its outcome. */
    IN_PROGRESS(false),
    /** An earlier request with the key may have run; it cannot be determined whether it did. */
    OUTCOME_UNKNOWN(false),
    /** An earlier request with the key was answered; its answer was too large to store. */
    ALREADY_RUN(false);

    private final boolean notRun;

    ClaimRefusal(boolean notRun) {
        this.notRun = notRun;
    }

    /**
     * Returns whether the refusal may be reported as "not run".
     *
     * @return true if the refused request did not run and never will
     */
    public boolean isNotRun() {
        return notRun;
    }
}
