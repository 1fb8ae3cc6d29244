package org.apricotdeal.relay.model;

/**
 * Limits on requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and headers together
 * @param maxBodyBytes maximum size of the body
 * @param headerTimeoutMillis maximum time for the headers to arrive
 * @param idleTimeoutMillis maximum time that a connection stays open without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    private static final int MIN_HEAD_BYTES = 16 * 1024;

    /** The end of a body in chunks counts to the head. */
    private static final int TRAILER_BYTES = 1024;

    /** Returns the size of a head with trailers up to which it is read: the maximum size, or 16 KiB if that is more. */
    public int headBytes() {
        return Math.max(MIN_HEAD_BYTES, maxHeaderBytes) + TRAILER_BYTES;
    }

    /** Returns a size in which every such head fits when it is sent on, also if each of its lines is longer then. */
    public int sentHeadBytes() {
        return 2 * headBytes();
    }
}
