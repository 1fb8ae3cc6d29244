import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The operator adds a route for all paths of a host. Requests whose path begins with an empty segment then reach a worker with
 * another path.
 */
final class EmptySegment {
    private EmptySegment() {}

    public static void main(String[] args) throws Exception {
        Case.main(Path.of(args[0]), EmptySegment::run);
    }

    private static boolean run(boolean trouble, List<AutoCloseable> toClose) throws Exception {
        Store store = new Store();
        String booking = Case.route("booking", "/book/", "non_idempotent", 2_000, 500, 1);
        store.put("op/config", Case.config(7, booking, 15_000));
        Map<String, String> ran = new ConcurrentHashMap<>();
        for (String zone : List.of("a", "b", "c")) {
            toClose.add(new Worker("i-office-" + zone, store, "office-app", zone, 6, (request, out) -> {
                ran.put(request.header("X-Attempt-Id"), request.method() + " " + request.target());
                Worker.answerBytes(request, out, 800);
            }));
        }
        NodeProcess node = new NodeProcess("edge-a-1", "a", "a,b,c", store.address());
        toClose.add(node);
        node.start();
        node.awaitReady(20_000);
        Case.sleep(1_500);
        if (trouble) {
            String rest = Case.route("rest", "/", "non_idempotent", 2_000, 500, 1);
            store.put("op/config", Case.config(8, booking + "," + rest, 15_000));
            Case.record("the operator has added a route with the prefix /");
        }
        Case.sleep(2_500);
        List<String> paths = List.of(
                "/book/x", "/orders/17", "//orders/17", "//orders/17/cancel?reason=1", "/book//x", "//book/x", "/orders//17");
        int changed = 0;
        for (int i = 0; i < paths.size(); i++) {
            String id = "r" + i;
            try (Client client = new Client(node.callerPort)) {
                Client.Seen seen = client.call("POST", paths.get(i), id, 2_000, new byte[600], 3_000);
                String sent = "POST " + paths.get(i);
                boolean differs = ran.containsKey(id) && !ran.get(id).equals(sent);
                Case.record("sent " + sent + ", ran " + ran.getOrDefault(id, "not") + ", " + seen
                        + (differs ? ": CHANGED" : ""));
                changed += differs ? 1 : 0;
            }
        }
        Case.record(changed + " of " + paths.size() + " requests were run with a path that no client sent");
        return changed == 0;
    }
}
