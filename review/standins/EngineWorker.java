import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in of a model worker: its entry in the store, its report, and the orders join, open, close, leave and phase. It can be
 * cut off from the store, and leave an order unanswered and carry it out late.
 */
final class EngineWorker implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final long JOIN_MILLIS = 200;
    private static final long OPEN_MILLIS = 300;
    private static final long WARM_MILLIS = 300;
    private static final long LOAD_MILLIS = 500;

    /** Receives what a worker does. */
    interface Watcher {
        void joins(EngineWorker worker, String group, String leftGroup);
    }

    final String id;
    private final ServerSocket server = Http.listen();
    private final Store store;
    private final String zone;
    private final Watcher watcher;
    private final long bornMillis = System.currentTimeMillis();
    private long beats;
    private long orders;
    private String model = "";
    private String staged = "";
    private String group = "";
    private long epoch;
    private int rank;
    private String members = "";
    private String state = "";
    private boolean cutFromStore;
    private long lateOrdersUntilMillis;
    private long lateByMillis;
    private volatile boolean closed;

    EngineWorker(String id, Store store, String zone, long firstBeatDelayMillis, Watcher watcher) throws IOException {
        this.id = id;
        this.store = store;
        this.zone = zone;
        this.watcher = watcher;
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(() -> {
            Case.sleep(firstBeatDelayMillis);
            while (!closed) {
                register();
                Case.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    synchronized String group() {
        return group;
    }

    synchronized String state() {
        return state;
    }

    synchronized int rank() {
        return rank;
    }

    /** Cuts the worker off from the store; its entry is removed after three intervals of silence. Nodes still reach it. */
    synchronized void cutFromStore() {
        cutFromStore = true;
        Thread.ofVirtual().start(() -> {
            Case.sleep(3 * HEARTBEAT_MILLIS);
            store.remove("servers/" + id);
            Case.record("the entry of " + id + " has been removed, as it was silent for three intervals");
        });
    }

    /** Leaves the orders that come within a time unanswered and carries them out later. */
    synchronized void leaveOrdersUnanswered(long forMillis, long byMillis) {
        lateOrdersUntilMillis = Case.millis() + forMillis;
        lateByMillis = byMillis;
    }

    private synchronized String fields() {
        String loaded = model.isEmpty() ? "" : "{\"name\":\"" + model + "\",\"version\":1,\"adapters\":[]}";
        String host = staged.isEmpty() ? "" : "\"" + staged + "\"";
        String membership = group.isEmpty()
                ? ""
                : ",\"group\":{\"name\":\"" + group + "\",\"epoch\":" + epoch + ",\"rank\":" + rank + ",\"state\":\"" + state
                        + "\"}";
        return "\"phase\":\"unified\",\"models\":[" + loaded + "],\"staged-models\":[" + host + "],\"domain\":\"d1\""
                + membership + ",\"born\":" + bornMillis;
    }

    private synchronized void register() {
        if (!cutFromStore && !closed) {
            store.put(
                    "servers/" + id,
                    "{\"service\":\"quote-llm\",\"address\":\"" + Http.address(server) + "\",\"zone\":\"" + zone
                            + "\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":"
                            + ++beats + "," + fields() + "}");
        }
    }

    private synchronized String report() {
        return "{" + fields() + ",\"busy\":false,\"sequence\":" + orders
                + ",\"queued\":0,\"active\":0,\"kv-in-use\":0,\"kv-limit\":1312941,\"handles\":0,\"pace\":1.0}";
    }

    private void accept() {
        while (!closed) {
            try {
                Socket socket = server.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = Http.buffered(socket);
            for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
                String target = call.header("X-Target-Instance");
                int status = 404;
                String body = "{}";
                if (target != null && !target.equals(id)) {
                    status = 421;
                } else if (call.target().equals("/report")) {
                    status = 200;
                    body = report();
                } else if (call.target().equals("/order")) {
                    String order = new String(call.body(), StandardCharsets.UTF_8);
                    boolean late;
                    synchronized (this) {
                        late = Case.millis() < lateOrdersUntilMillis;
                    }
                    if (late) {
                        Case.record("order to " + id + " gets no answer, to be carried out " + lateByMillis + " ms later: " + order);
                        Case.sleep(lateByMillis);
                        Case.record("late order to " + id + ": " + carryOut(order));
                        return;
                    }
                    status = carryOut(order);
                    Case.record("order to " + id + ": " + order + " -> " + status);
                }
                socket.getOutputStream()
                        .write(Http.bytes("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body));
            }
        } catch (IOException e) {
            // The node has closed the connection.
        }
    }

    private static String text(String body, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":\"(.*?)\"").matcher(body);
        return matcher.find() ? matcher.group(1) : "";
    }

    private static long number(String body, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(body);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
    }

    private synchronized int carryOut(String body) {
        long expected = number(body, "expected-rev");
        if (expected >= 0 && expected != orders) {
            return 409;
        }
        String operation = text(body, "op");
        boolean mine = text(body, "group").equals(group) && number(body, "epoch") == epoch;
        switch (operation) {
            case "join" -> join(body);
            case "open" -> {
                if (!mine || rank != 0 || !state.equals("ready")) {
                    return 409;
                }
                later(OPEN_MILLIS, "ready", "open");
            }
            case "close" -> {
                if (!mine || rank != 0 || !state.equals("open")) {
                    return 409;
                }
                state = "closing";
            }
            case "leave" -> {
                if (!mine) {
                    return 200;
                }
                group = "";
                state = "";
                orders++;
                Thread.ofVirtual().start(this::register);
                return 200;
            }
            case "phase" -> {
                String loaded = text(body, "model");
                Thread.ofVirtual().start(() -> {
                    Case.sleep(LOAD_MILLIS);
                    synchronized (this) {
                        staged = loaded;
                    }
                    register();
                });
            }
            default -> {
                return 400;
            }
        }
        orders++;
        Thread.ofVirtual().start(this::register);
        return 202;
    }

    private void join(String body) {
        String before = group;
        group = text(body, "group");
        epoch = number(body, "epoch");
        String joinedModel = text(body, "model");
        Matcher list = Pattern.compile("\"members\":\\[(.*?)\\]").matcher(body);
        members = list.find() ? list.group(1) : "";
        rank = List.of(members.split(",")).indexOf("\"" + id + "\"");
        state = "joining";
        watcher.joins(this, group, before);
        long millis = joinedModel.equals(model) ? JOIN_MILLIS : joinedModel.equals(staged) ? WARM_MILLIS : LOAD_MILLIS;
        model = joinedModel;
        staged = joinedModel;
        later(millis, "joining", "ready");
    }

    private void later(long millis, String from, String to) {
        String name = group;
        Thread.ofVirtual().start(() -> {
            Case.sleep(millis);
            synchronized (this) {
                if (!group.equals(name) || !state.equals(from)) {
                    return;
                }
                state = to;
            }
            register();
        });
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
