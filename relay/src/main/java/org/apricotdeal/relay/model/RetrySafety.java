package org.apricotdeal.relay.model;

/** Whether a request may be retried once part of it may have been sent. */
public enum RetrySafety {
    /** The request may run any number of times. */
    IDEMPOTENT,
    /** The request may run at most once. */
    ONCE,
    /**
     * The answer is an event stream. If the route allows it, the stream may continue at another replica after the
     * last forwarded event.
     */
    STREAM
}
