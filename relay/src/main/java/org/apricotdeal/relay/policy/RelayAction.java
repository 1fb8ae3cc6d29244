package org.apricotdeal.relay.policy;

/** What the dispatcher wants done. */
public sealed interface RelayAction {
    /**
     * Send a request to a target.
     *
     * @param id the exchange
     * @param target the target
     * @param attempt number of the attempt, from 1
     * @param load requests known to run at the target before this one, also those of other nodes
     * @param loadAgeMillis age of the oldest count of another node in it
     */
    record Send(ExchangeId id, Target target, int attempt, int load, long loadAgeMillis) implements RelayAction {}

    /**
     * Refuse a request that certainly did not run.
     *
     * @param id the exchange
     * @param reason why
     * @param retryAfterMillis when the caller should come back
     * @param details what it was decided on
     */
    record Refuse(ExchangeId id, RefusalReason reason, long retryAfterMillis, RefusalDetails details)
            implements RelayAction {}

    /**
     * End a request that may have run.
     *
     * @param id the exchange
     * @param reason why
     */
    record GiveUp(ExchangeId id, RefusalReason reason) implements RelayAction {}

    /**
     * Cut off the attempt under way, whose outcome is not asked for any more.
     *
     * @param id the exchange
     */
    record CancelAttempt(ExchangeId id) implements RelayAction {}

    /**
     * Forget an exchange whose caller has left.
     *
     * @param id the exchange
     */
    record DropExchange(ExchangeId id) implements RelayAction {}

    /**
     * A target is in doubt: its members should be asked for their state.
     *
     * @param target the target
     * @param reason what was seen
     */
    record SuspectTarget(Target target, String reason) implements RelayAction {}
}
