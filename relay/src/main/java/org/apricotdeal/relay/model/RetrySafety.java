package org.apricotdeal.relay.model;

/** What may be done with a request again once a byte of it may have left. */
public enum RetrySafety {
    /** May run any number of times. */
    IDEMPOTENT,
    /** May run once at most. */
    ONCE,
    /** Answered by an event stream; may go on elsewhere after the last event passed on, where the route allows it. */
    STREAM
}
