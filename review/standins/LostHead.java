import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A member and the head of a group are cut off from the store, and the head leaves an order unanswered. The planner takes the
 * group for dissolved and gives its other member to a new group while the head is still open.
 */
final class LostHead {
    private static final String MODEL = "m0";

    /** Three groups of three workers and two spare ones; two of eleven are within the largest share of srv_cut (0.22). */
    private static final int WORKERS = 11;

    private LostHead() {}

    public static void main(String[] args) throws Exception {
        Case.main(Path.of(args[0]), LostHead::run);
    }

    private static String config() {
        return "{\"version\":7,\"routes\":[{\"name\":\"draft\",\"host\":\"office.example\",\"path-prefix\":\"/draft/\","
                + "\"type\":\"streaming\",\"timeout-ms\":8000,\"target-latency-ms\":400,\"priority\":1,\"service\":\"quote-llm\","
                + "\"max-attempts\":2,\"public\":false,\"session-affinity\":true,\"stream-resume\":true,\"target-gap-ms\":300}],"
                + "\"services\":[{\"name\":\"quote-llm\",\"health-path\":\"/healthz\",\"max-connections\":278,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":12,\"kv-capacity\":1312941,\"kv-bytes\":136362,\"link-mbps\":400000.0,"
                + "\"stride\":5,\"models\":[{\"name\":\"" + MODEL
                + "\",\"size\":3,\"share\":1.0,\"pace\":1.0,\"load-s\":0.5,\"warm-s\":0.3}],\"step_ms\":7.8,\"per_seq_ms\":0.134,"
                + "\"context_per_k\":0.0136,\"read_per_s\":45900.0,\"pairs_per_m\":0.433,\"chunk\":2048,\"report_lag_ms\":200.0,"
                + "\"loads-per-s\":5.0,\"loads_at_once\":7,\"usual\":{\"prompt\":979,\"answer\":154},\"retain-count\":1,"
                + "\"far_x\":2.5,\"form-ms\":300.0}}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"acme\",\"api-keys\":[\"key-one\"],"
                + "\"priority\":1}]}";
    }

    private static boolean run(boolean trouble, List<AutoCloseable> toClose) throws Exception {
        Store store = new Store();
        store.put("op/config", config());
        List<EngineWorker> workers = new ArrayList<>();
        Queue<String> broken = new ConcurrentLinkedQueue<>();
        EngineWorker.Watcher watcher = (worker, group, left) -> {
            for (EngineWorker other : workers) {
                boolean heads = !left.isEmpty() && other != worker && other.group().equals(left) && other.rank() == 0;
                if (heads && List.of("open", "closing").contains(other.state())) {
                    broken.add(worker.id + " was joined to " + group + " while " + other.id + ", the head of its group " + left
                            + ", which it had not left, is " + other.state());
                }
            }
        };
        for (int i = 0; i < WORKERS; i++) {
            EngineWorker worker = new EngineWorker("i-llm-" + (10 + i), store, "a", 20L * i, watcher);
            workers.add(worker);
            toClose.add(worker);
        }
        NodeProcess node = new NodeProcess("edge-a-1", "a", "a", store.address());
        toClose.add(node);
        node.start();
        node.awaitReady(20_000);
        EngineWorker head = awaitOpen(workers);
        Case.sleep(14_000);
        List<EngineWorker> members = workers.stream()
                .filter(worker -> worker != head && worker.group().equals(head.group()))
                .toList();
        Case.record("group " + head.group() + ": head " + head.id + ", members " + members.stream().map(m -> m.id).toList());
        if (trouble) {
            members.getFirst().cutFromStore();
            Case.sleep(350);
            head.cutFromStore();
            head.leaveOrdersUnanswered(4_200, 6_000);
            Case.record(members.getFirst().id + " and " + head.id + " have been cut off from the store");
        }
        Case.sleep(12_000);
        broken.forEach(Case::record);
        Case.record(broken.size() + " workers were joined to another group while the head of theirs was open or closing");
        return broken.isEmpty();
    }

    private static EngineWorker awaitOpen(List<EngineWorker> workers) {
        for (int i = 0; i < 200; i++) {
            for (EngineWorker worker : workers) {
                if (worker.state().equals("open")) {
                    return worker;
                }
            }
            Case.sleep(100);
        }
        throw new Case.CannotRun("no group was opened");
    }
}
