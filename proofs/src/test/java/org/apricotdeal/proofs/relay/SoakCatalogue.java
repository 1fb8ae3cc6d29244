package org.apricotdeal.proofs.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.apricotdeal.standins.users.UsersStoreStandin;

/** The catalogue of a soak, whose versions differ in routes, timeouts, keys, limits and size. */
final class SoakCatalogue {
    /** Time within which every node has applied a version. */
    private static final long APPLY_MILLIS = 2_000;

    private static final int MIN_TIMEOUT_MILLIS = 3_000;
    private static final int TIMEOUT_SPREAD_MILLIS = 3_000;
    private static final int LARGE_KEYS = 60_000;

    /** A version and the time at which it was written. */
    private record Version(long writtenNanos, int timeoutMillis) {}

    private final UsersStoreStandin store;
    private final Random random;
    private final Deque<Version> versions = new ArrayDeque<>();

    SoakCatalogue(UsersStoreStandin store, Random random) {
        this.store = store;
        this.random = random;
    }

    /** Writes a version that differs at random from the others. */
    synchronized void change() {
        int timeoutMillis = MIN_TIMEOUT_MILLIS + random.nextInt(TIMEOUT_SPREAD_MILLIS);
        versions.addLast(new Version(System.nanoTime(), timeoutMillis));
        StringBuilder keys = new StringBuilder("\"key-1\"");
        if (random.nextInt(4) > 0) {
            keys.append(",\"key-2\"");
        }
        if (random.nextInt(4) == 0) {
            for (int i = 0; i < LARGE_KEYS; i++) {
                keys.append(",\"other-key-of-")
                        .append(versions.size())
                        .append('-')
                        .append(i)
                        .append('"');
            }
        }
        String extra = random.nextInt(3) == 0 ? "" : "," + route("extra", "non_idempotent", timeoutMillis);
        store.put(
                "op/config",
                "{\"version\":" + (2 + versions.size()) + ",\"routes\":["
                        + route("book", "non_idempotent", timeoutMillis)
                        + "," + route("find", "idempotent", timeoutMillis) + ","
                        + route("watch", "streaming", timeoutMillis) + extra + "],"
                        + "\"services\":[{\"name\":\"shop\",\"health-path\":\"/h\",\"max-connections\":200,"
                        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
                        + "\"max-body-bytes\":" + (random.nextInt(3) == 0 ? 100_000 : 300_000)
                        + ",\"header-timeout-ms\":3000,\"idle-timeout-ms\":" + (1_000 + random.nextInt(10_000)) + "},"
                        + "\"tenants\":[{\"name\":\"customer-1\",\"api-keys\":[" + keys + "],\"priority\":1}]}");
    }

    private static String route(String name, String type, int timeoutMillis) {
        return """
                {"name":"%s","host":"h.example","path-prefix":"/%s/","type":"%s","timeout-ms":%d,
                "target-latency-ms":2000,"priority":1,"service":"shop","max-attempts":2,"public":false,
                "session-affinity":false,"stream-resume":true,"target-gap-ms":300}""".formatted(name, name, type, timeoutMillis);
    }

    /** Returns the shortest timeout of the versions that may have been in force when a request began. */
    synchronized int timeoutMillis(long startNanos) {
        int least = Integer.MAX_VALUE;
        long applyNanos = TimeUnit.MILLISECONDS.toNanos(APPLY_MILLIS);
        for (Version version : versions) {
            long ageNanos = startNanos - version.writtenNanos();
            if (ageNanos < -applyNanos) {
                break;
            }
            least = ageNanos > applyNanos ? version.timeoutMillis() : Math.min(least, version.timeoutMillis());
        }
        return least;
    }
}
