package org.apricotdeal.proofs.relay;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import org.apricotdeal.kernel.misc.HostPort;

/** A client that sends one request after another on a connection for as long as the node keeps it open. */
final class KeptClient implements Runnable {
    private static final List<String> ROUTES = List.of("book", "find", "watch", "extra");
    private static final int[] BODY_BYTES = {0, 8, 8, 2_000, 20_000, 200_000};
    private static final int[] ANSWER_BYTES = {2, 2, 500, 30_000, 600_000};
    private static final int MAX_EVENTS = 15;
    private static final int PIECE_BYTES = 16 * 1024;
    private static final int READ_TIMEOUT_MILLIS = 15_000;
    private static final long RECONNECT_MILLIS = 50;
    private static final int LINE_FEED = '\n';
    private static final int HEX = 16;

    /** How an exchange ended for the client. */
    enum End {
        /** With a complete answer or refusal. */
        ANSWERED,
        /** The request could not be sent whole. */
        UNSENT,
        /** The connection ended, or the answer did before its last event. */
        CUT,
        /** Nothing came within the client's own timeout. */
        PENDING
    }

    /**
     * One exchange.
     *
     * @param id id of the request
     * @param address address of the node
     * @param route name of the route
     * @param startNanos time of the first byte of the request
     * @param sentNanos time after the last one
     * @param endNanos time of the end
     * @param end how it ended
     * @param detail status of the answer, or why there is none
     */
    record Ended(
            String id,
            String address,
            String route,
            long startNanos,
            long sentNanos,
            long endNanos,
            End end,
            String detail) {
        long millisToEnd() {
            return TimeUnit.NANOSECONDS.toMillis(endNanos - startNanos);
        }

        long millisAfterSent() {
            return TimeUnit.NANOSECONDS.toMillis(endNanos - sentNanos);
        }
    }

    final Queue<Ended> exchanges = new ConcurrentLinkedQueue<>();
    private final String name;
    private final String address;
    private final Random random;
    private volatile boolean stopped;
    private volatile boolean nodeEnded;
    private volatile Socket connection = new Socket();
    private int lastNumber;

    KeptClient(String name, String address, long seed) {
        this.name = name;
        this.address = address;
        this.random = new Random(seed);
    }

    void stop() {
        stopped = true;
    }

    boolean isAt(String nodeAddress) {
        return address.equals(nodeAddress);
    }

    /** Lets the client connect to its node, which has started again. */
    void nodeStarted() {
        nodeEnded = false;
    }

    /** Ends the connection, and keeps the client from opening another one, as the end of the node's process would. */
    void nodeEnded() {
        nodeEnded = true;
        try {
            connection.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void run() {
        while (!stopped) {
            if (nodeEnded) {
                RelayFleet.pause(RECONNECT_MILLIS);
                continue;
            }
            try (Socket socket = new Socket(
                    InetAddress.getLoopbackAddress(), HostPort.parse(address).port())) {
                connection = socket;
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (!stopped && !nodeEnded && exchange(socket.getOutputStream(), in)) {
                    RelayFleet.pause(random.nextInt(30));
                }
            } catch (IOException e) {
                // The node does not run.
                RelayFleet.pause(RECONNECT_MILLIS);
            }
        }
    }

    /** Sends a request and reads the answer; returns whether the connection can be used again. */
    private boolean exchange(OutputStream out, InputStream in) {
        String id = name + "-" + ++lastNumber;
        String route = ROUTES.get(random.nextInt(ROUTES.size()));
        int events = route.equals("watch") ? 1 + random.nextInt(MAX_EVENTS) : 0;
        byte[] body = new byte[BODY_BYTES[random.nextInt(BODY_BYTES.length)]];
        String head = "POST /" + route + "/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: " + id
                + "\r\nAuthorization: Bearer key-" + (1 + random.nextInt(2)) + "\r\nX-Deadline-Ms: 8000\r\nX-Work-Ms: "
                + (1 + random.nextInt(100)) + "\r\nX-Events: " + events + "\r\nX-Answer-Bytes: "
                + ANSWER_BYTES[random.nextInt(ANSWER_BYTES.length)] + "\r\nContent-Length: " + body.length
                + "\r\n\r\n";
        long startNanos = System.nanoTime();
        try {
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < body.length; i += PIECE_BYTES) {
                out.write(body, i, Math.min(PIECE_BYTES, body.length - i));
                RelayFleet.pause(random.nextInt(4));
            }
        } catch (IOException e) {
            long nowNanos = System.nanoTime();
            exchanges.add(new Ended(id, address, route, startNanos, nowNanos, nowNanos, End.UNSENT, e.toString()));
            return false;
        }
        long sentNanos = System.nanoTime();
        End end = End.CUT;
        String detail;
        boolean kept = false;
        try {
            Answer answer = Answer.read(in);
            boolean whole =
                    events == 0 || answer.status() != 200 || answer.text().contains("id: " + events + "\n");
            end = whole ? End.ANSWERED : End.CUT;
            detail = Integer.toString(answer.status());
            kept = answer.kept();
        } catch (SocketTimeoutException e) {
            end = End.PENDING;
            detail = e.toString();
        } catch (IOException | RuntimeException e) {
            detail = e.toString();
        }
        exchanges.add(new Ended(id, address, route, startNanos, sentNanos, System.nanoTime(), end, detail));
        return kept && end == End.ANSWERED;
    }

    /** A complete answer. */
    private record Answer(int status, boolean kept, String text) {
        static Answer read(InputStream in) throws IOException {
            int status = Integer.parseInt(line(in).split(" ", -1)[1]);
            int length = 0;
            boolean chunked = false;
            boolean kept = true;
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                String lower = line.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(
                            lower.substring(lower.indexOf(':') + 1).trim());
                }
                chunked |= lower.equals("transfer-encoding: chunked");
                kept &= !lower.equals("connection: close");
            }
            StringBuilder text = new StringBuilder(bytes(in, length));
            while (chunked) {
                int size = Integer.parseInt(line(in), HEX);
                text.append(bytes(in, size));
                line(in);
                chunked = size > 0;
            }
            return new Answer(status, kept, text.toString());
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != LINE_FEED; next = in.read()) {
                if (next < 0) {
                    throw new EOFException("the connection ended after " + line.length() + " bytes of a line");
                }
                line.append((char) next);
            }
            return line.toString().trim();
        }

        private static String bytes(InputStream in, int count) throws IOException {
            byte[] bytes = in.readNBytes(count);
            if (bytes.length < count) {
                throw new EOFException("the connection ended " + (count - bytes.length) + " bytes early");
            }
            return new String(bytes, StandardCharsets.US_ASCII);
        }
    }
}
