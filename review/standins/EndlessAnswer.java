import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * One worker sends bytes that are no answer, without end, until the node closes the connection. The node then hears nothing from
 * the store and from sound workers.
 */
final class EndlessAnswer {
    /** Rate of the bytes: a link of the machines in the site file (2,000 Mbit/s). */
    private static final long BYTES_PER_SECOND = 250_000_000L;

    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int APPLY_MILLIS = 2_000;

    private EndlessAnswer() {}

    public static void main(String[] args) throws Exception {
        Case.main(Path.of(args[0]), EndlessAnswer::run);
    }

    private static boolean run(boolean trouble, List<AutoCloseable> toClose) throws Exception {
        Store store = new Store();
        String lookup = Case.route("lookup", "/look/", "idempotent", TIMEOUT_MILLIS, 500, 2);
        store.put("op/config", Case.config(7, lookup, 15_000));
        AtomicBoolean failing = new AtomicBoolean();
        for (String zone : List.of("a", "b", "c")) {
            toClose.add(new Worker("i-office-" + zone, store, "office-app", zone, 6, (request, out) -> {
                Case.sleep(60);
                if (zone.equals("a") && failing.get()) {
                    sendWithoutEnd(request, out);
                }
                Worker.answerBytes(request, out, 800);
            }));
        }
        NodeProcess node = new NodeProcess("edge-a-1", "a", "a,b,c", store.address());
        toClose.add(node);
        node.start();
        node.awaitReady(20_000);
        Case.sleep(1_500);
        failing.set(trouble);
        Thread.ofVirtual().start(() -> {
            try {
                send(node, "/look/x", 12, 0, "before");
            } catch (Exception e) {
                Case.record("clients: " + e);
            }
        });
        Case.sleep(600);

        String added = Case.route("added", "/added/", "idempotent", TIMEOUT_MILLIS, 500, 2);
        store.put("op/config", Case.config(8, lookup + "," + added, 15_000));
        Case.record("the store has acknowledged a version with the route /added/");
        failing.set(false);
        Case.sleep(APPLY_MILLIS);
        int old = 0;
        int all = 0;
        for (int second = 0; second < 15; second++) {
            for (Client.Seen seen : send(node, "/added/x", 4, 25, "added-" + second)) {
                all++;
                old += seen.status() == 404 ? 1 : 0;
            }
            Case.sleep(600);
        }
        Case.record(old + " of " + all + " requests on the new route, sent later than " + APPLY_MILLIS
                + " ms after the acknowledgement, got 404; ready: " + node.ready() + ", node: " + node.tail());
        return old == 0;
    }

    private static List<Client.Seen> send(NodeProcess node, String path, int count, int gapMillis, String name) throws Exception {
        List<Future<Client.Seen>> results = new ArrayList<>();
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < count; i++) {
                String id = name + "-" + i;
                results.add(clients.submit(() -> {
                    try (Client client = new Client(node.callerPort)) {
                        return client.call("GET", path, id, TIMEOUT_MILLIS, new byte[0], TIMEOUT_MILLIS + 2_000);
                    }
                }));
                Case.sleep(gapMillis);
            }
        }
        List<Client.Seen> seen = new ArrayList<>();
        for (Future<Client.Seen> result : results) {
            seen.add(result.get());
            Case.record(result.get().toString());
        }
        return seen;
    }

    /** Sends a body of chunks whose first size never ends. */
    private static void sendWithoutEnd(Http.Message request, OutputStream out) throws Exception {
        Case.record("worker i-office-a begins to send bytes without end");
        out.write(Http.bytes(
                Worker.head(request, "200 OK", "Content-Type: application/json\r\nTransfer-Encoding: chunked\r\n")));
        byte[] part = new byte[64 * 1024];
        Arrays.fill(part, (byte) '0');
        long startNanos = System.nanoTime();
        long sent = 0;
        try {
            // Ends only when the node closes the connection.
            while (true) {
                out.write(part);
                sent += part.length;
                long dueNanos = (long) (sent * 1e9 / BYTES_PER_SECOND);
                long earlyNanos = dueNanos - (System.nanoTime() - startNanos);
                if (earlyNanos > 1_000_000) {
                    Thread.sleep(earlyNanos / 1_000_000);
                }
            }
        } finally {
            Case.record("the node has closed the connection after " + sent + " bytes and "
                    + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
        }
    }
}
