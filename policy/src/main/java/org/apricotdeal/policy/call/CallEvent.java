package org.apricotdeal.policy.call;

/** Events of a call to a plain service. Events of attempts that have ended are ignored, except for answers. */
public sealed interface CallEvent {
    /** The call starts. The claim of a call with an idempotency key has been granted. */
    record Start() implements CallEvent {}

    /**
     * The service answered an attempt.
     *
     * @param attempt number of the answered attempt
     */
    record Answered(int attempt) implements CallEvent {}

    /**
     * An attempt ended, and certainly no byte of it was sent.
     *
     * @param attempt number of the attempt
     */
    record NotSent(int attempt) implements CallEvent {}

    /**
     * An attempt ended without an answer and may have run.
     *
     * @param attempt number of the attempt
     */
    record Unknown(int attempt) implements CallEvent {}

    /** The caller has disconnected. */
    record Cancelled() implements CallEvent {}

    /** Timer event, on which the machine checks its deadlines. */
    record Tick() implements CallEvent {}
}
