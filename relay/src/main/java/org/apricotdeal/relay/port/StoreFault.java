package org.apricotdeal.relay.port;

/** Reason why a call to the store failed. */
public sealed interface StoreFault {
    /**
     * The store rejected the call, which had no effect.
     *
     * @param reason description of the failure
     */
    record Refused(String reason) implements StoreFault {}

    /**
     * The outcome is unknown: the call may have had an effect or may still have one.
     *
     * @param reason description of the failure
     */
    record Unknown(String reason) implements StoreFault {}

    /** The store no longer has the history from which a watch should continue; all keys must be read again. */
    record HistoryLost() implements StoreFault {}

    /** The lease has ended, or its id may denote a different lease, because the store has been restored since. */
    record LeaseEnded() implements StoreFault {}
}
