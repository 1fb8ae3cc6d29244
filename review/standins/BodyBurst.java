import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Clients send bodies of the size that the configuration allows. The usual number of them at a time is served; a burst of
 * 2.6 times as many exhausts the node's heap, the node ends, and the bookings that other clients have in progress are lost.
 */
final class BodyBurst {
    private static final int USUAL_UPLOADS = 5;
    private static final double BURST = 2.6;
    private static final int BODY_BYTES = 4_194_304;
    private static final int UPLOAD_BYTES_PER_SECOND = 2_000_000;
    private static final int BOOKING_CLIENTS = 36;
    private static final int ALLOWED = 3;

    private BodyBurst() {}

    public static void main(String[] args) throws Exception {
        Case.main(Path.of(args[0]), BodyBurst::run);
    }

    private static boolean run(boolean trouble, List<AutoCloseable> toClose) throws Exception {
        Store store = new Store();
        store.put("op/config", Case.config(7, Case.route("booking", "/book/", "non_idempotent", 4_000, 2_000, 1), 15_000));
        Set<String> begun = ConcurrentHashMap.newKeySet();
        for (String zone : List.of("a", "b", "c")) {
            toClose.add(new Worker("i-office-" + zone, store, "office-app", zone, 24, (request, out) -> {
                begun.add(request.header("X-Attempt-Id"));
                Case.sleep(500);
                Worker.answerBytes(request, out, 800);
            }));
        }
        NodeProcess node = new NodeProcess("edge-a-1", "a", "a,b,c", store.address());
        toClose.add(node);
        node.start();
        node.awaitReady(20_000);
        Case.sleep(1_500);

        Queue<Client.Seen> bookings = new ConcurrentLinkedQueue<>();
        Queue<Client.Seen> uploads = new ConcurrentLinkedQueue<>();
        long endMillis = Case.millis() + 8_000;
        int uploadClients = trouble ? (int) (USUAL_UPLOADS * BURST) : USUAL_UPLOADS;
        try (ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < BOOKING_CLIENTS; i++) {
                int number = i;
                clients.submit(() -> book(node, number, endMillis, bookings));
                Case.sleep(500 / BOOKING_CLIENTS);
            }
            Case.sleep(3_000);
            Case.record(uploadClients + " clients begin to send " + BODY_BYTES + " bytes each");
            for (int i = 0; i < uploadClients; i++) {
                int number = i;
                clients.submit(() -> upload(node, number, uploads));
            }
        }
        List<Client.Seen> lost = new ArrayList<>();
        for (Client.Seen seen : bookings) {
            if (!seen.complete() && begun.contains(seen.id())) {
                lost.add(seen);
            }
        }
        bookings.forEach(seen -> Case.record(seen.toString()));
        uploads.forEach(seen -> Case.record("upload: " + seen));
        boolean ended = !node.process.isAlive();
        Case.record(ended ? "the node ended by itself with status " + node.process.exitValue() : "the node runs");
        Case.record(bookings.size() + " bookings on kept connections; " + lost.size()
                + " were passed on to a worker and ended with a closed connection and no answer");
        return lost.size() <= ALLOWED;
    }

    private static void book(NodeProcess node, int number, long endMillis, Queue<Client.Seen> results) {
        try (Client client = new Client(node.callerPort)) {
            for (int i = 0; Case.millis() < endMillis; i++) {
                Client.Seen seen =
                        client.call("POST", "/book/x", "book-" + number + "-" + i, 4_000, new byte[600], 6_000);
                results.add(seen);
                if (!seen.complete()) {
                    return;
                }
                if (seen.status() != 200) {
                    Case.sleep(Math.max(500, client.retryAfterMillis()));
                }
            }
        } catch (Exception e) {
            Case.record("client " + number + ": " + e);
        }
    }

    private static void upload(NodeProcess node, int number, Queue<Client.Seen> results) {
        try (Client client = new Client(node.callerPort)) {
            client.setUploadRate(UPLOAD_BYTES_PER_SECOND);
            results.add(client.call("POST", "/book/x", "upload-" + number, 4_000, new byte[BODY_BYTES], 6_000));
        } catch (Exception e) {
            Case.record("upload " + number + ": " + e);
        }
    }
}
