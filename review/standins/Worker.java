import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Stand-in of a worker of a plain service: registers itself, and answers each request as the case says. */
final class Worker implements AutoCloseable {
    /** Answers a request that has been read; writes the whole response. */
    interface Answer {
        void write(Http.Message request, OutputStream out) throws Exception;
    }

    /** A request that reached the worker, and what became of it. */
    record Run(String attemptId, long atMillis, String end) {}

    final String id;
    final Queue<Run> runs = new ConcurrentLinkedQueue<>();
    private final ServerSocket server = Http.listen();
    private final Store store;
    private final String service;
    private final String zone;
    private final int slots;
    private final long bornMillis = System.currentTimeMillis();
    private final Answer answer;
    private volatile boolean closed;
    private long sequence;

    Worker(String id, Store store, String service, String zone, int slots, Answer answer) throws IOException {
        this.id = id;
        this.store = store;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.answer = answer;
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::heartbeat);
    }

    String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + Http.address(server) + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":"
                + ++sequence + ",\"born\":" + bornMillis + "}";
    }

    private void heartbeat() {
        while (!closed) {
            store.put("servers/" + id, entry());
            Case.sleep(1_200);
        }
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket);
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                if (!request.complete()) {
                    return;
                }
                String attemptId = request.header("X-Attempt-Id");
                long atMillis = Case.millis();
                Case.record("run " + attemptId + " begins at worker " + id);
                try {
                    answer.write(request, socket.getOutputStream());
                    runs.add(new Run(attemptId, atMillis, "answered"));
                    Case.record("run " + attemptId + " answered by worker " + id);
                } catch (Exception e) {
                    runs.add(new Run(attemptId, atMillis, "cut: " + e));
                    Case.record("run " + attemptId + " cut off at worker " + id + ": " + e.getMessage());
                    return;
                }
            }
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    static String head(Http.Message request, String status, String more) {
        return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
                + "\r\nX-Response-Signature: sig-" + request.header("X-Attempt-Id") + "\r\n" + more + "\r\n";
    }

    /** Answers with a body of a given length. */
    static void answerBytes(Http.Message request, OutputStream out, int length) throws IOException {
        out.write(Http.bytes(
                head(request, "200 OK", "Content-Type: application/octet-stream\r\nContent-Length: " + length + "\r\n")));
        byte[] part = new byte[64 * 1024];
        java.util.Arrays.fill(part, (byte) 'a');
        for (int left = length; left > 0; left -= part.length) {
            out.write(part, 0, Math.min(part.length, left));
        }
        out.flush();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
