import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Frame of a case: folders, the record, and the exit status (1: the rule was broken, 0: it held, 2: it couldn't run). */
final class Case {
    static Path root;
    static Path folder;
    private static PrintWriter record;
    private static final long START_NANOS = System.nanoTime();

    private Case() {}

    /** A case that could not be run. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String reason) {
            super(reason);
        }
    }

    /** The steps of a case; returns whether the rule held. */
    interface Steps {
        boolean run(boolean trouble, List<AutoCloseable> toClose) throws Exception;
    }

    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static synchronized void record(String line) {
        record.printf("%9.3f s  %s%n", millis() / 1000.0, line);
        record.flush();
    }

    static void main(Path caseFolder, Steps steps) throws Exception {
        root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record("the case runs " + (trouble ? "with" : "without") + " its disruption");
        List<AutoCloseable> toClose = new ArrayList<>();
        int status;
        Thread watchdog = Thread.ofPlatform().daemon().start(() -> {
            try {
                Thread.sleep(110_000);
            } catch (InterruptedException e) {
                return;
            }
            record("the case took too long");
            closeAll(toClose);
            Runtime.getRuntime().halt(2);
        });
        try {
            status = steps.run(trouble, toClose) ? 0 : 1;
        } catch (CannotRun | IOException e) {
            record("could not run: " + e);
            status = 2;
        } finally {
            closeAll(toClose);
        }
        watchdog.interrupt();
        String verdict = status == 0 ? "the rule held" : status == 1 ? "the rule was broken" : "the case could not run";
        record(verdict);
        System.out.println(verdict);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
        Runtime.getRuntime().halt(status);
    }

    private static void closeAll(List<AutoCloseable> toClose) {
        for (AutoCloseable closeable : List.copyOf(toClose).reversed()) {
            try {
                closeable.close();
            } catch (Exception e) {
                record("failed to close: " + e);
            }
        }
    }

    /** A configuration with one plain service; the routes are given as JSON. */
    static String config(long version, String routes, int idleTimeoutMillis) {
        return "{\"version\":" + version + ",\"routes\":[" + routes
                + "],\"services\":[{\"name\":\"office-app\",\"health-path\":\"/healthz\",\"max-connections\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":" + idleTimeoutMillis
                + "},\"tenants\":[{\"name\":\"acme\",\"api-keys\":[\"key-one\",\"key-two\"],\"priority\":1}]}";
    }

    static String route(String name, String prefix, String type, int timeoutMillis, int targetMillis, int attempts) {
        return "{\"name\":\"" + name + "\",\"host\":\"office.example\",\"path-prefix\":\"" + prefix + "\",\"type\":\"" + type
                + "\",\"timeout-ms\":" + timeoutMillis + ",\"target-latency-ms\":" + targetMillis
                + ",\"priority\":1,\"service\":\"office-app\",\"max-attempts\":" + attempts + ",\"public\":false"
                + ",\"session-affinity\":false}";
    }
}
