import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Another writer leaves an entry under servers/ whose address has no port. Requests that the node assigns to it are never
 * answered.
 */
final class ForeignEntry {
    private static final int TIMEOUT_MILLIS = 1_000;
    private static final int SLACK_MILLIS = 500;

    private ForeignEntry() {}

    public static void main(String[] args) throws Exception {
        Case.main(Path.of(args[0]), ForeignEntry::run);
    }

    private static boolean run(boolean trouble, List<AutoCloseable> toClose) throws Exception {
        Store store = new Store();
        store.put(
                "op/config",
                Case.config(
                        7,
                        Case.route("booking", "/book/", "non_idempotent", TIMEOUT_MILLIS, 100, 1) + ","
                                + Case.route("lookup", "/look/", "idempotent", TIMEOUT_MILLIS, 100, 2),
                        15_000));
        for (String zone : List.of("a", "b", "c")) {
            toClose.add(new Worker("i-office-" + zone, store, "office-app", zone, 6, (request, out) -> {
                Case.sleep(100);
                Worker.answerBytes(request, out, 800);
            }));
        }
        NodeProcess node = new NodeProcess("edge-a-1", "a", "a,b,c", store.address());
        toClose.add(node);
        node.start();
        node.awaitReady(20_000);
        Case.sleep(1_500);
        if (trouble) {
            store.put(
                    "servers/i-other",
                    "{\"service\":\"office-app\",\"address\":\"127.0.0.1:\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,"
                            + "\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1}");
            Case.record("another writer has written the entry servers/i-other, whose address has no port");
        }
        Case.sleep(1_500);
        int unansweredAtTimeout = 0;
        int unansweredLater = 0;
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<Client.Seen>> results = new ArrayList<>();
            for (int i = 0; i < 320; i++) {
                boolean booking = i % 2 == 0;
                String id = (booking ? "book-" : "look-") + i;
                Callable<Client.Seen> call = () -> {
                    try (Client client = new Client(node.callerPort)) {
                        return client.call(
                                booking ? "POST" : "GET",
                                booking ? "/book/x" : "/look/x",
                                id,
                                TIMEOUT_MILLIS + 2_000,
                                booking ? new byte[600] : new byte[0],
                                TIMEOUT_MILLIS + 5_000);
                    }
                };
                results.add(clients.submit(call));
                Case.sleep(25);
            }
            for (Future<Client.Seen> result : results) {
                Client.Seen seen = result.get();
                Case.record(seen.toString());
                boolean none = seen.status() == 0;
                if (none || seen.tookMillis() > TIMEOUT_MILLIS) {
                    unansweredAtTimeout++;
                }
                if (none || seen.tookMillis() > TIMEOUT_MILLIS + SLACK_MILLIS) {
                    unansweredLater++;
                }
            }
        }
        Case.record(unansweredAtTimeout + " requests were unanswered at their route's timeout-ms, " + unansweredLater
                + " of them still " + SLACK_MILLIS + " ms later");
        return 2 * unansweredLater <= unansweredAtTimeout;
    }
}
