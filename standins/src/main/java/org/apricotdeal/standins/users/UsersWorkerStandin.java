package org.apricotdeal.standins.users;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.standins.server.StandinServer;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;

/**
 * One worker of the users' platform: registers in the store, takes orders and tells its state, and runs requests. A
 * request's answer is a stream of numbered events, or one short body for a plain service.
 */
public final class UsersWorkerStandin implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long JOIN_MILLIS = 100;
    private static final long FORM_MILLIS = 50;

    /** Time for which a worker reads a prompt that makes it break off. */
    private static final long READING_MILLIS = 150;

    private final UsersStoreStandin store;
    private final Settings settings;
    private final StandinServer server = StandinServer.start(new Calls());
    private final ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon(true).factory());
    private final long startedMillis = System.currentTimeMillis();
    private final List<Map<String, String>> runs = new CopyOnWriteArrayList<>();
    private final List<String> cutOff = new CopyOnWriteArrayList<>();
    private volatile boolean silent;
    private volatile boolean dripping;
    private volatile int breakAfterEvents = Integer.MAX_VALUE;
    private volatile String deadlyPart;
    private volatile String echoedId;
    private long sequence;
    private long orders;
    private String model;
    private ObjectNode group;

    /**
     * What a worker is.
     *
     * @param id its id
     * @param service its service
     * @param zone its zone
     * @param domain its fabric domain, empty for a plain service
     * @param events events of a stream
     * @param gapMillis time between two events
     */
    public record Settings(String id, String service, String zone, String domain, int events, long gapMillis) {}

    /**
     * Starts a worker on loopback and registers it.
     *
     * @param store the store
     * @param settings what it is
     */
    public UsersWorkerStandin(UsersStoreStandin store, Settings settings) {
        this.store = store;
        this.settings = settings;
        register("ready");
    }

    /**
     * Announces that the worker leaves.
     */
    public void drain() {
        register("draining");
    }

    /** Stops answering anything on all connections, and keeps them open. */
    public void fallSilent() {
        silent = true;
    }

    /** Sends single bytes that never complete an event, on the streams that are running now and later. */
    public void drip() {
        dripping = true;
    }

    /**
     * Breaks streams off within an event.
     *
     * @param events whole events that are still sent
     */
    public void breakStreamsAfter(int events) {
        breakAfterEvents = events;
    }

    /**
     * Breaks streams off before their first event if their prompt has a part.
     *
     * @param part id of the part
     */
    public void breakStreamsOn(String part) {
        deadlyPart = part;
    }

    /**
     * Answers with another request's id from now on.
     *
     * @param id the id
     */
    public void echo(String id) {
        echoedId = id;
    }

    /**
     * Returns what ran.
     *
     * @return headers of each request that ran, with lower-case names, and its path under {@code path}
     */
    public List<Map<String, String>> runs() {
        return List.copyOf(runs);
    }

    /**
     * Returns whose streams were cut off by the caller.
     *
     * @return ids of the requests
     */
    public List<String> cutOff() {
        return List.copyOf(cutOff);
    }

    private synchronized void register(String state) {
        ObjectNode entry = JsonNodeFactory.instance.objectNode();
        entry.put("service", settings.service())
                .put("address", server.loopbackAddress())
                .put("zone", settings.zone())
                .put("version", "v1")
                .put("slots", 4)
                .put("state", state)
                .put("cold-remaining-ms", 0)
                .put("sequence", ++sequence);
        if (!settings.domain().isEmpty()) {
            describe(entry);
        }
        entry.put("born", startedMillis);
        store.put("servers/" + settings.id(), entry.toString());
    }

    private void describe(ObjectNode out) {
        out.put("phase", "unified").put("domain", settings.domain());
        var models = out.putArray("models");
        var staged = out.putArray("staged-models");
        if (model != null) {
            models.addObject().put("name", model).put("version", 1);
            staged.add(model);
        }
        if (group != null) {
            out.set("group", group);
        }
    }

    private synchronized ObjectNode report() {
        ObjectNode report = JsonNodeFactory.instance.objectNode();
        describe(report);
        return report.put("busy", false)
                .put("sequence", orders)
                .put("queued", 0)
                .put("active", 0)
                .put("born", startedMillis);
    }

    private synchronized int order(JsonNode order) {
        if (order.has("expected-rev") && order.path("expected-rev").asLong() != orders) {
            return HttpStatus.CONFLICT_409;
        }
        switch (order.path("op").asText()) {
            case "join" -> {
                List<String> members = new ArrayList<>();
                order.path("members").forEach(member -> members.add(member.asText()));
                model = order.path("model").asText();
                group = JsonNodeFactory.instance
                        .objectNode()
                        .put("name", order.path("group").asText())
                        .put("epoch", order.path("epoch").asLong())
                        .put("rank", members.indexOf(settings.id()))
                        .put("state", "joining");
                become("ready", JOIN_MILLIS);
            }
            case "open" -> {
                if (group == null || !group.path("state").asText().equals("ready")) {
                    return HttpStatus.CONFLICT_409;
                }
                become("open", FORM_MILLIS);
            }
            case "close" -> {
                if (group == null || !group.path("state").asText().equals("open")) {
                    return HttpStatus.CONFLICT_409;
                }
                group.put("state", "closing");
                become("ready", FORM_MILLIS);
            }
            case "leave" -> group = null;
            case "phase" -> model = order.path("model").asText();
            default -> {
                return HttpStatus.BAD_REQUEST_400;
            }
        }
        orders++;
        register("ready");
        return HttpStatus.ACCEPTED_202;
    }

    private void become(String state, long afterMillis) {
        ObjectNode target = group;
        var unused = clock.schedule(
                () -> {
                    synchronized (this) {
                        target.put("state", state);
                    }
                    register("ready");
                },
                afterMillis,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        clock.shutdownNow();
        server.close();
    }

    /** What comes to the worker's port. */
    private final class Calls extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            if (silent) {
                return true;
            }
            String path = request.getHttpURI().getPath();
            if (path.equals("/report")) {
                StandinServer.reply(response, callback, HttpStatus.OK_200, report().toString());
            } else if (path.equals("/order")) {
                int status = order(MAPPER.readTree(Content.Source.asString(request)));
                StandinServer.reply(response, callback, status, "{}");
            } else {
                run(request, response, callback, path);
            }
            return true;
        }

        private void run(Request request, Response response, Callback callback, String path) throws Exception {
            String body = Content.Source.asString(request);
            Map<String, String> seen = new ConcurrentHashMap<>();
            request.getHeaders().forEach(field -> seen.put(field.getLowerCaseName(), field.getValue()));
            seen.put("path", path);
            seen.put("body", body);
            runs.add(seen);
            String id = seen.getOrDefault("x-attempt-id", "");
            response.getHeaders().put("X-Attempt-Id", echoedId == null ? id : echoedId);
            response.getHeaders().put("X-Response-Signature", "signed-" + settings.id());
            if (settings.domain().isEmpty()) {
                StandinServer.reply(response, callback, HttpStatus.OK_200, "{\"by\":\"" + settings.id() + "\"}");
                return;
            }
            response.getHeaders().put("Content-Type", "text/event-stream");
            String parts = seen.getOrDefault("x-prefix-hash", "");
            if (deadlyPart != null && parts.contains(deadlyPart + ":")) {
                var unused =
                        clock.schedule(() -> breakOff(response, callback, 1), READING_MILLIS, TimeUnit.MILLISECONDS);
                return;
            }
            long first = Long.parseLong(seen.getOrDefault("last-event-id", "0")) + 1;
            send(response, callback, id, first, 0);
        }

        /** Ends a stream within an event. */
        private void breakOff(Response response, Callback callback, long event) {
            response.write(
                    false,
                    StandardCharsets.UTF_8.encode("id: " + event + "\nda"),
                    Callback.from(() -> callback.failed(new IllegalStateException("broken off"))));
        }

        private void send(Response response, Callback callback, String id, long event, int sent) {
            if (silent) {
                return;
            }
            if (event > settings.events()) {
                response.write(true, BufferUtil.EMPTY_BUFFER, callback);
                return;
            }
            if (sent >= breakAfterEvents) {
                breakOff(response, callback, event);
                return;
            }
            long next = dripping ? event : event + 1;
            ByteBuffer bytes =
                    StandardCharsets.UTF_8.encode(dripping ? ":" : "id: " + event + "\ndata: token " + event + "\n\n");
            response.write(
                    false,
                    bytes,
                    Callback.from(
                            () -> {
                                var unused = clock.schedule(
                                        () -> send(response, callback, id, next, sent + 1),
                                        settings.gapMillis(),
                                        TimeUnit.MILLISECONDS);
                            },
                            failure -> {
                                cutOff.add(id);
                                callback.failed(failure);
                            }));
        }
    }
}
