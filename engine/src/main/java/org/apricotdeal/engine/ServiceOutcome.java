package org.apricotdeal.engine;

import java.util.Map;

/** Outcome of a request to a plain service. */
public sealed interface ServiceOutcome {
    /**
     * The service answered.
     *
     * @param status HTTP status code
     * @param headers headers to forward
     * @param body the complete body
     */
    @SuppressWarnings("ArrayRecordComponent")
    record Answered(int status, Map<String, String> headers, byte[] body) implements ServiceOutcome {}

    /**
     * No connection could be made, so no byte of the request was sent.
     *
     * @param detail human-readable cause
     */
    record NotSent(String detail) implements ServiceOutcome {}

    /**
     * The outcome is unknown; the request may have run.
     *
     * @param detail human-readable cause
     */
    record Unknown(String detail) implements ServiceOutcome {}
}
