package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.apricotdeal.proofs.http.ScriptedServer;

/** Answers of a faulty worker of a plain service that begin and never end, until the caller closes. */
final class EndlessAnswer implements ScriptedServer.Script {
    static final int SEND_BUFFER_BYTES = 64 * 1024;
    private static final int PIECE_BYTES = 8 * 1024;
    private static final int HEADER_BYTES = 100;
    private static final String ID_HEADER = "x-attempt-id:";

    /** Where the bytes without end come. */
    enum Part {
        STATUS_LINE,
        HEADER,
        HEADERS,
        BODY,
        CHUNKED_BODY
    }

    final AtomicLong writtenBytes = new AtomicLong();
    final AtomicInteger underWay = new AtomicInteger();
    private final Part part;
    private final String filler = "a".repeat(PIECE_BYTES);

    EndlessAnswer(Part part) {
        this.part = part;
    }

    @Override
    public void serve(ScriptedServer.Connection connection) throws IOException {
        connection.setSendBufferBytes(SEND_BUFFER_BYTES);
        String beginning = beginning(id(connection.read().head()));
        underWay.incrementAndGet();
        try {
            write(connection, beginning);
            for (int i = 0; ; i++) {
                write(connection, piece(i));
            }
        } finally {
            underWay.decrementAndGet();
        }
    }

    private String beginning(String id) {
        String ownHeaders = "X-Attempt-Id: " + id + "\r\nX-Response-Signature: signed\r\n";
        return switch (part) {
            case STATUS_LINE -> "HTTP/1.1 200 ";
            case HEADER -> "HTTP/1.1 200 OK\r\nX-Long: ";
            case HEADERS -> "HTTP/1.1 200 OK\r\n";
            case BODY -> "HTTP/1.1 200 OK\r\n" + ownHeaders + "\r\n";
            case CHUNKED_BODY -> "HTTP/1.1 200 OK\r\n" + ownHeaders + "Transfer-Encoding: chunked\r\n\r\n";
        };
    }

    private String piece(int number) {
        return switch (part) {
            case HEADERS -> "X-" + number + ": " + filler.substring(0, HEADER_BYTES) + "\r\n";
            case CHUNKED_BODY -> Integer.toHexString(PIECE_BYTES) + "\r\n" + filler + "\r\n";
            case STATUS_LINE, HEADER, BODY -> filler;
        };
    }

    private void write(ScriptedServer.Connection connection, String text) throws IOException {
        connection.write(text);
        writtenBytes.addAndGet(text.length());
    }

    private static String id(String head) {
        for (String line : head.split("\r\n", -1)) {
            if (line.startsWith(ID_HEADER)) {
                return line.substring(ID_HEADER.length()).trim();
            }
        }
        return "";
    }
}
