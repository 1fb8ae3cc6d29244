package org.apricotdeal.standins.users;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.standins.server.StandinServer;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/** The users' key-value store on a port of its own, with the troubles that tests cause. */
public final class UsersStoreStandin implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long EXPIRE_MILLIS = 50;

    /** Number in all answers that rises by one each time the store is restored. */
    private static final String ERA_HEADER = "Store-Era";

    private final UsersStore store = new UsersStore();
    private final Door mainDoor = new Door();
    private final List<Door> doors = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon(true).factory());
    private final AtomicInteger calls = new AtomicInteger();
    private volatile UsersStore.Copy copy = store.copy();
    private volatile boolean eraNamed = true;

    /** What the store does with calls. */
    public enum Mode {
        /** Answers them. */
        SERVING,
        /** Takes them and never answers, also those that wait. */
        SILENT,
        /** Answers 503. */
        BUSY
    }

    /** A port of the store, which may turn its clients away while the others are served. */
    public final class Door {
        private final StandinServer server = StandinServer.start(new Calls(this));
        private volatile Mode mode = Mode.SERVING;

        private Door() {}

        /**
         * Returns where clients reach the store.
         *
         * @return host and port
         */
        public String address() {
            return server.loopbackAddress();
        }

        /**
         * Sets what happens to calls that come through this door from now on.
         *
         * @param changed the mode
         */
        public void setMode(Mode changed) {
            mode = changed;
        }
    }

    /** Starts the store on loopback. */
    public UsersStoreStandin() {
        var unused = clock.scheduleAtFixedRate(
                () -> store.expire(System.currentTimeMillis()), EXPIRE_MILLIS, EXPIRE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Returns where the store listens.
     *
     * @return host and port
     */
    public String address() {
        return mainDoor.address();
    }

    /**
     * Opens a further port.
     *
     * @return the port, which serves like the others
     */
    public Door addDoor() {
        Door door = new Door();
        doors.add(door);
        return door;
    }

    /**
     * Sets what the store does with calls to its first port from now on.
     *
     * @param changed the mode
     */
    public void setMode(Mode changed) {
        mainDoor.setMode(changed);
    }

    /**
     * Returns how many calls came.
     *
     * @return number of calls, also of those that were not answered
     */
    public int calls() {
        return calls.get();
    }

    /** Drops the history, so that watches have to read all keys again. */
    public void compact() {
        store.compact();
    }

    /** Makes a copy of all that the store holds, for {@link #restore}. */
    public void copy() {
        copy = store.copy();
    }

    /** Returns to the last copy: what came later is lost, and its revisions and leases are given out again. */
    public void restore() {
        store.restore(copy);
    }

    /**
     * Sets whether answers name the store's era.
     *
     * @param named false for a store that does not tell that it was restored
     */
    public void setEraNamed(boolean named) {
        eraNamed = named;
    }

    /**
     * Writes a key as the operator or a worker does.
     *
     * @param key the key
     * @param json its value
     */
    public void put(String key, String json) {
        store.put(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
    }

    /**
     * Removes a key.
     *
     * @param key the key
     */
    public void remove(String key) {
        store.remove(key);
    }

    @Override
    public void close() {
        clock.shutdownNow();
        mainDoor.server.close();
        doors.forEach(door -> door.server.close());
    }

    /** The store's calls. */
    private final class Calls extends Handler.Abstract {
        private final Door door;

        Calls(Door door) {
            this.door = door;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            calls.incrementAndGet();
            if (door.mode == Mode.SILENT) {
                return true;
            }
            if (door.mode == Mode.BUSY) {
                reply(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503, store.era(), null);
                return true;
            }
            String path = request.getHttpURI().getPath();
            Fields query = Request.extractQueryParameters(request);
            String body = Content.Source.asString(request);
            ObjectNode answer;
            long era;
            // No restore may come between an answer and its era; a watch gives the lock up while it waits.
            synchronized (store) {
                answer = answer(path, query, body);
                era = store.era();
            }
            if (door.mode == Mode.SILENT) {
                return true;
            }
            int missing = path.equals("/kv-watch") ? HttpStatus.GONE_410 : HttpStatus.NOT_FOUND_404;
            reply(response, callback, answer == null ? missing : HttpStatus.OK_200, era, answer);
            return true;
        }

        private ObjectNode answer(String path, Fields query, String body) throws Exception {
            long nowMillis = System.currentTimeMillis();
            if (path.startsWith("/kv-keep/")) {
                return store.keep(lastNumber(path), nowMillis);
            }
            if (path.startsWith("/kv-lease-end/")) {
                store.end(lastNumber(path));
                return JsonNodeFactory.instance.objectNode();
            }
            return switch (path) {
                case "/kv-range" -> store.range(query.getValue("path-prefix"), query.getValue("after"));
                case "/kv-watch" ->
                    store.watch(
                            query.getValue("path-prefix"),
                            Long.parseLong(query.getValue("after")),
                            Long.parseLong(query.getValue("wait-ms")));
                case "/kv-txn" -> store.write(MAPPER.readTree(body));
                case "/kv-lease" ->
                    store.grant(MAPPER.readTree(body).path("ttl-ms").asLong(), nowMillis);
                default -> null;
            };
        }

        private static long lastNumber(String path) {
            return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        }

        private void reply(Response response, Callback callback, int status, long era, ObjectNode answer) {
            if (eraNamed) {
                response.getHeaders().put(ERA_HEADER, Long.toString(era));
            }
            ObjectNode body = answer == null ? JsonNodeFactory.instance.objectNode() : answer;
            StandinServer.reply(response, callback, status, body.toString());
        }
    }
}
