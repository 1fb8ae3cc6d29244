package org.apricotdeal.relay.policy;

/** Actions that the dispatcher requests. */
public sealed interface RelayAction {
    /**
     * Sends a request to a target.
     *
     * @param attempt attempt that sends the request
     * @param target target to send to
     * @param countedAttempts number of attempts that count for the limit of the route, including this one
     * @param load number of requests known to run at the target before this one, including those of other nodes
     * @param loadAgeMillis age of the peers' counts in the load
     */
    record Send(AttemptId attempt, Target target, int countedAttempts, int load, long loadAgeMillis)
            implements RelayAction {
        /**
         * Returns the exchange of the request.
         *
         * @return exchange of the attempt
         */
        public ExchangeId id() {
            return attempt.exchange();
        }
    }

    /**
     * Refuses a request that certainly did not run.
     *
     * @param id exchange of the request
     * @param reason reason reported to the caller
     * @param retryAfterMillis delay after which the caller should retry
     * @param details state on which the refusal was based
     */
    record Refuse(ExchangeId id, RefusalReason reason, long retryAfterMillis, RefusalDetails details)
            implements RelayAction {}

    /**
     * Fails a request that may have run.
     *
     * @param id exchange of the request
     * @param reason reason reported to the caller
     */
    record GiveUp(ExchangeId id, RefusalReason reason) implements RelayAction {}

    /**
     * Cancels all running attempts of an exchange; their outcome is ignored.
     *
     * @param id exchange of the attempts
     */
    record CancelAttempts(ExchangeId id) implements RelayAction {}

    /**
     * Cancels one of several running attempts, because the answer of another one is used; its outcome is ignored.
     *
     * @param attempt attempt to cancel
     */
    record CancelAttempt(AttemptId attempt) implements RelayAction {}

    /**
     * Discards an exchange whose caller has disconnected.
     *
     * @param id exchange to discard
     */
    record DropExchange(ExchangeId id) implements RelayAction {}

    /**
     * Reports a suspected target; the state of its members should be polled.
     *
     * @param target suspected target
     * @param reason reason for the suspicion, for the log
     */
    record SuspectTarget(Target target, String reason) implements RelayAction {}
}
