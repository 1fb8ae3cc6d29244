package org.apricotdeal.relay.port;

/** Why a call to the store has no result. */
public sealed interface StoreFault {
    /**
     * The call certainly had no effect.
     *
     * @param reason what was seen
     */
    record Refused(String reason) implements StoreFault {}

    /**
     * It is not known whether the call had or will have an effect.
     *
     * @param reason what was seen
     */
    record Unknown(String reason) implements StoreFault {}

    /** The history that a watch should go on from is no longer there; everything has to be read again. */
    record HistoryLost() implements StoreFault {}

    /** The lease has ended. */
    record LeaseEnded() implements StoreFault {}
}
