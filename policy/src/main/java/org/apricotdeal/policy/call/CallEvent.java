package org.apricotdeal.policy.call;

/** What one call to a plain service is told. Events of attempts that are over are dropped by their number. */
public sealed interface CallEvent {
    /** The call begins. For a call with an idempotency key its claim has been granted. */
    record Start() implements CallEvent {}

    /**
     * The service answered an attempt.
     *
     * @param attempt number of the attempt
     */
    record Answered(int attempt) implements CallEvent {}

    /**
     * Certainly no byte of an attempt left.
     *
     * @param attempt number of the attempt
     */
    record NotSent(int attempt) implements CallEvent {}

    /**
     * An attempt may have run.
     *
     * @param attempt number of the attempt
     */
    record Unknown(int attempt) implements CallEvent {}

    /** The caller has gone. */
    record Cancelled() implements CallEvent {}

    /** Time has passed; the machine checks its deadlines. */
    record Tick() implements CallEvent {}
}
