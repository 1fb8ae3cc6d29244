package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.apricotdeal.proofs.http.ScriptedServer;

/** A VM of the plain service that keeps connections, can be silent for a while, and never breaks off an answer. */
final class SilentVm implements AutoCloseable {
    private static final String LAST_CHUNK = "0\r\n\r\n";

    final ScriptedServer server = new ScriptedServer(this::serve);
    private final Set<String> received = ConcurrentHashMap.newKeySet();
    private volatile long silentUntilNanos = System.nanoTime();

    SilentVm() throws IOException {}

    /** Makes the VM read requests and write nothing for a while, whatever it has begun. */
    void fallSilent(long millis) {
        silentUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    boolean hasReceived(String id) {
        return received.contains(id);
    }

    private void serve(ScriptedServer.Connection connection) throws IOException {
        while (true) {
            ScriptedServer.Received request = connection.read();
            String id = request.header("x-attempt-id");
            received.add(id);
            long workMillis = Long.parseLong(request.header("x-work-ms"));
            int events = Integer.parseInt(request.header("x-events"));
            String head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n";
            work(workMillis);
            if (events == 0) {
                int bytes = Integer.parseInt(request.header("x-answer-bytes"));
                connection.write(head + "Content-Length: " + bytes + "\r\n\r\n" + "a".repeat(bytes));
                continue;
            }
            connection.write(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            String lastId = request.header("last-event-id");
            for (int i = lastId.isEmpty() ? 1 : Integer.parseInt(lastId) + 1; i <= events; i++) {
                work(workMillis);
                String event = "id: " + i + "\ndata: token " + i + "\n\n";
                connection.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            }
            connection.write(LAST_CHUNK);
        }
    }

    private void work(long millis) {
        RelayFleet.pause(millis);
        for (long nanos = silentNanos(); nanos > 0; nanos = silentNanos()) {
            RelayFleet.pause(TimeUnit.NANOSECONDS.toMillis(nanos) + 1);
        }
    }

    private long silentNanos() {
        return silentUntilNanos - System.nanoTime();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
