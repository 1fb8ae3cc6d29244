package org.apricotdeal.relay.node;

import java.io.IOException;

/**
 * Limits the bytes of one response that are not content: heads, interim responses, sizes and extensions of chunks, trailers.
 * A limit on content alone does not end a response that never has any.
 */
final class FramingLimit {
    /** Several times the maximum size of a head. */
    private static final int MIN_ALLOWED_BYTES = 64 * 1024;

    /** Allows a response in chunks of one byte each. */
    private static final int ALLOWED_PER_CONTENT_BYTE = 8;

    private long readBytes;
    private long contentBytes;

    /** The upstream sent too many bytes that are not content. */
    static final class ExceededException extends IOException {
        private static final long serialVersionUID = 1L;

        ExceededException(long framingBytes) {
            super(framingBytes + " bytes of a response are not content");
        }
    }

    /**
     * Records bytes that were read from the connection.
     *
     * @param bytes number of bytes
     * @throws ExceededException if the response has too many bytes that are not content
     */
    synchronized void addRead(int bytes) throws ExceededException {
        readBytes += bytes;
        long framingBytes = readBytes - contentBytes;
        if (framingBytes > MIN_ALLOWED_BYTES + contentBytes * ALLOWED_PER_CONTENT_BYTE) {
            throw new ExceededException(framingBytes);
        }
    }

    /**
     * Records bytes that were content; they have been recorded as read before.
     *
     * @param bytes number of bytes
     */
    synchronized void addContent(int bytes) {
        contentBytes += bytes;
    }
}
