package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.apricotdeal.proofs.http.ScriptedServer;

/** Script of a faulty worker of a plain service whose response does not end until the client closes the connection. */
final class EndlessResponse implements ScriptedServer.Script {
    static final int SEND_BUFFER_BYTES = 256 * 1024;
    private static final int WRITE_BYTES = 64 * 1024;
    private static final int CHUNK_BYTES = 8 * 1024;
    private static final int HEADER_BYTES = 100;

    /** Part of the response that does not end. */
    enum Part {
        STATUS_LINE,
        HEADER,
        HEADERS,
        BODY,
        CHUNKED_BODY,
        CHUNK_SIZE,
        CHUNK_EXTENSION,
        ONE_BYTE_CHUNKS,
        TRAILER,
        TRAILERS,
        INTERIM_RESPONSES,
        BLANK_LINES,
        AFTER_RESPONSE
    }

    final AtomicLong writtenBytes = new AtomicLong();
    final AtomicInteger activeConnections = new AtomicInteger();
    private final Part part;
    private final byte[] repeated;

    EndlessResponse(Part part) {
        this.part = part;
        String unit = repeatedUnit();
        this.repeated = unit.repeat(WRITE_BYTES / unit.length()).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void serve(ScriptedServer.Connection connection) throws IOException {
        connection.setSendBufferBytes(SEND_BUFFER_BYTES);
        String start = responseStart(connection.read().header("x-attempt-id"));
        activeConnections.incrementAndGet();
        try {
            write(connection, start.getBytes(StandardCharsets.US_ASCII));
            while (true) {
                write(connection, repeated);
            }
        } finally {
            activeConnections.decrementAndGet();
        }
    }

    private String responseStart(String id) {
        String ownHeaders = "X-Attempt-Id: " + id + "\r\nX-Response-Signature: signed\r\n";
        String chunkedHead = "HTTP/1.1 200 OK\r\n" + ownHeaders + "Transfer-Encoding: chunked\r\n\r\n";
        return switch (part) {
            case STATUS_LINE -> "HTTP/1.1 200 ";
            case HEADER -> "HTTP/1.1 200 OK\r\nX-Long: ";
            case HEADERS -> "HTTP/1.1 200 OK\r\n";
            case BODY -> "HTTP/1.1 200 OK\r\n" + ownHeaders + "\r\n";
            case CHUNKED_BODY, CHUNK_SIZE, ONE_BYTE_CHUNKS -> chunkedHead;
            case CHUNK_EXTENSION -> chunkedHead + "1;";
            case TRAILER -> chunkedHead + "0\r\nX-Long: ";
            case TRAILERS -> chunkedHead + "0\r\n";
            case INTERIM_RESPONSES, BLANK_LINES -> "";
            case AFTER_RESPONSE -> "HTTP/1.1 200 OK\r\n" + ownHeaders + "Content-Length: 2\r\n\r\nok";
        };
    }

    private String repeatedUnit() {
        return switch (part) {
            case HEADERS, TRAILERS -> "X-1: " + "a".repeat(HEADER_BYTES) + "\r\n";
            case CHUNKED_BODY -> Integer.toHexString(CHUNK_BYTES) + "\r\n" + "a".repeat(CHUNK_BYTES) + "\r\n";
            case CHUNK_SIZE -> "0";
            case ONE_BYTE_CHUNKS -> "1\r\na\r\n";
            case INTERIM_RESPONSES -> "HTTP/1.1 103 Early Hints\r\n\r\n";
            case BLANK_LINES -> "\r\n";
            case STATUS_LINE, HEADER, BODY, CHUNK_EXTENSION, TRAILER, AFTER_RESPONSE -> "a";
        };
    }

    private void write(ScriptedServer.Connection connection, byte[] bytes) throws IOException {
        connection.write(bytes);
        writtenBytes.addAndGet(bytes.length);
    }
}
