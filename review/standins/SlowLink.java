import java.io.InputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A node gets SIGTERM while clients on slow links still receive their answers. It ends as soon as the workers are done, with
 * what it has not written yet.
 */
final class SlowLink {
    private static final int ANSWER_BYTES = 4_190_000;
    private static final int BYTES_PER_SECOND = 320_000;
    private static final int CLIENTS = 6;

    private SlowLink() {}

    public static void main(String[] args) throws Exception {
        Case.main(Path.of(args[0]), SlowLink::run);
    }

    private static boolean run(boolean trouble, List<AutoCloseable> toClose) throws Exception {
        Store store = new Store();
        store.put("op/config", Case.config(7, Case.route("export", "/export/", "idempotent", 20_000, 1_000, 2), 15_000));
        Set<String> answered = ConcurrentHashMap.newKeySet();
        for (String zone : List.of("a", "b", "c")) {
            toClose.add(new Worker("i-office-" + zone, store, "office-app", zone, 6, (request, out) -> {
                Case.sleep(20);
                Worker.answerBytes(request, out, ANSWER_BYTES);
                answered.add(request.header("X-Attempt-Id"));
            }));
        }
        NodeProcess node = new NodeProcess("edge-a-1", "a", "a,b,c", store.address());
        toClose.add(node);
        node.start();
        node.awaitReady(20_000);
        Case.sleep(1_500);
        int lost = 0;
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Client.Seen>> results = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                String id = "export-" + i;
                Callable<Client.Seen> call = () -> read(node.callerPort, id);
                results.add(clients.submit(call));
                Case.sleep(20);
            }
            Case.sleep(300);
            if (trouble) {
                node.signal("TERM");
                long termMillis = Case.millis();
                node.process.onExit().thenRun(
                        () -> Case.record("the node ended " + (Case.millis() - termMillis) + " ms after SIGTERM"));
            }
            for (Future<Client.Seen> result : results) {
                Client.Seen seen = result.get();
                Case.record(seen.toString());
                if (!seen.complete() && answered.contains(seen.id())) {
                    lost++;
                }
            }
        }
        Case.record(lost + " of " + CLIENTS + " requests, answered in full by their workers, ended without a complete answer");
        return lost == 0;
    }

    private static Client.Seen read(int port, String id) throws Exception {
        try (Client client = new Client(port, 4 * 1024)) {
            client.send("GET", "/export/x", id, 20_000, new byte[0]);
            long sentMillis = Case.millis();
            client.socket().setSoTimeout(10_000);
            InputStream paced = new Paced(client.input());
            try {
                Http.Message answer = Http.read(paced);
                return answer == null
                        ? new Client.Seen(id, 0, false, new byte[0], sentMillis, Case.millis(), "the connection was closed")
                        : new Client.Seen(
                                id, answer.status(), answer.complete(), answer.body(), sentMillis, Case.millis(), "");
            } catch (java.io.IOException e) {
                return new Client.Seen(id, 0, false, new byte[0], sentMillis, Case.millis(), e.toString());
            }
        }
    }

    /** Reads at the rate of a slow link. */
    private static final class Paced extends InputStream {
        private final InputStream in;
        private final long startMillis = Case.millis();
        private long count;

        Paced(InputStream in) {
            this.in = in;
        }

        private void pace() {
            long dueMillis = startMillis + count * 1_000 / BYTES_PER_SECOND;
            Case.sleep(Math.max(0, dueMillis - Case.millis()));
        }

        @Override
        public int read() throws java.io.IOException {
            pace();
            int next = in.read();
            count += next >= 0 ? 1 : 0;
            return next;
        }

        @Override
        public int read(byte[] buffer, int offset, int length) throws java.io.IOException {
            pace();
            int read = in.read(buffer, offset, Math.min(length, 8 * 1024));
            count += Math.max(0, read);
            return read;
        }
    }
}
