package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.apricotdeal.proofs.http.ScriptedServer;

/** Script of a faulty worker of a plain service whose response does not end until the client closes the connection. */
final class EndlessResponse implements ScriptedServer.Script {
    static final int SEND_BUFFER_BYTES = 64 * 1024;
    private static final int CHUNK_BYTES = 8 * 1024;
    private static final int HEADER_BYTES = 100;
    private static final String ID_HEADER = "x-attempt-id:";

    /** Part of the response that does not end. */
    enum Part {
        STATUS_LINE,
        HEADER,
        HEADERS,
        BODY,
        CHUNKED_BODY
    }

    final AtomicLong writtenBytes = new AtomicLong();
    final AtomicInteger activeConnections = new AtomicInteger();
    private final Part part;
    private final String filler = "a".repeat(CHUNK_BYTES);

    EndlessResponse(Part part) {
        this.part = part;
    }

    @Override
    public void serve(ScriptedServer.Connection connection) throws IOException {
        connection.setSendBufferBytes(SEND_BUFFER_BYTES);
        String start = responseStart(requestId(connection.read().head()));
        activeConnections.incrementAndGet();
        try {
            write(connection, start);
            for (int i = 0; ; i++) {
                write(connection, chunk(i));
            }
        } finally {
            activeConnections.decrementAndGet();
        }
    }

    private String responseStart(String id) {
        String ownHeaders = "X-Attempt-Id: " + id + "\r\nX-Response-Signature: signed\r\n";
        return switch (part) {
            case STATUS_LINE -> "HTTP/1.1 200 ";
            case HEADER -> "HTTP/1.1 200 OK\r\nX-Long: ";
            case HEADERS -> "HTTP/1.1 200 OK\r\n";
            case BODY -> "HTTP/1.1 200 OK\r\n" + ownHeaders + "\r\n";
            case CHUNKED_BODY -> "HTTP/1.1 200 OK\r\n" + ownHeaders + "Transfer-Encoding: chunked\r\n\r\n";
        };
    }

    private String chunk(int number) {
        return switch (part) {
            case HEADERS -> "X-" + number + ": " + filler.substring(0, HEADER_BYTES) + "\r\n";
            case CHUNKED_BODY -> Integer.toHexString(CHUNK_BYTES) + "\r\n" + filler + "\r\n";
            case STATUS_LINE, HEADER, BODY -> filler;
        };
    }

    private void write(ScriptedServer.Connection connection, String text) throws IOException {
        connection.write(text);
        writtenBytes.addAndGet(text.length());
    }

    private static String requestId(String head) {
        for (String line : head.split("\r\n", -1)) {
            if (line.startsWith(ID_HEADER)) {
                return line.substring(ID_HEADER.length()).trim();
            }
        }
        return "";
    }
}
