import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in of the platform's store: items with revisions, ranges, watches, leases and writes, as PROTOCOL.md says. */
final class Store {
    private record Item(String key, byte[] value, long revision, long created, long lease) {}

    private record Event(long revision, String key, Item item) {}

    private final ServerSocket server = Http.listen();
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 7000;

    Store() throws IOException {
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::expire);
    }

    String address() {
        return Http.address(server);
    }

    /** Writes an item as the operator or a worker does. */
    synchronized long put(String key, String value) {
        return put(key, value.getBytes(StandardCharsets.UTF_8), 0);
    }

    private long put(String key, byte[] value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(new Event(revision, key, item));
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new Event(revision, key, null));
            notifyAll();
        }
    }

    private void expire() {
        while (true) {
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                for (Long lease : List.copyOf(leases.keySet())) {
                    if (leases.get(lease)[1] < now) {
                        end(lease);
                    }
                }
            }
        }
    }

    private void end(long lease) {
        leases.remove(lease);
        for (Item item : List.copyOf(items.values())) {
            if (item.lease() == lease) {
                remove(item.key());
            }
        }
    }

    private void accept() {
        while (true) {
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
                String[] reply = answer(call);
                byte[] body = reply[1].getBytes(StandardCharsets.UTF_8);
                socket.getOutputStream()
                        .write(Http.bytes("HTTP/1.1 " + reply[0] + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length + "\r\n\r\n" + new String(body, StandardCharsets.ISO_8859_1)));
            }
        } catch (IOException | InterruptedException e) {
            // The caller has closed the connection.
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> values = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark >= 0) {
            for (String part : target.substring(mark + 1).split("&")) {
                int equals = part.indexOf('=');
                values.put(part.substring(0, equals), URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    private String[] answer(Http.Message call) throws InterruptedException {
        String target = call.target();
        String path = target.split("\\?")[0];
        Map<String, String> query = query(target);
        String body = new String(call.body(), StandardCharsets.UTF_8);
        if (path.equals("/kv-range")) {
            return range(query.get("path-prefix"), query.get("after"));
        }
        if (path.equals("/kv-watch")) {
            return watch(
                    query.get("path-prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait-ms")));
        }
        if (path.equals("/kv-txn")) {
            return txn(body);
        }
        if (path.equals("/kv-lease")) {
            return grant(number(body, "ttl-ms"));
        }
        if (path.startsWith("/kv-keep/")) {
            return keep(Long.parseLong(path.substring("/kv-keep/".length())));
        }
        if (path.startsWith("/kv-lease-end/")) {
            synchronized (this) {
                end(Long.parseLong(path.substring("/kv-lease-end/".length())));
            }
            return new String[] {"200", "{}"};
        }
        return new String[] {"404", "{}"};
    }

    private static String json(Item item) {
        return "{\"key\":\"" + item.key() + "\",\"value\":\"" + Base64.getEncoder().encodeToString(item.value())
                + "\",\"revision\":" + item.revision() + ",\"created\":" + item.created() + ",\"lease\":" + item.lease()
                + "}";
    }

    private synchronized String[] range(String prefix, String after) {
        List<String> found = new ArrayList<>();
        for (Item item : items.values()) {
            if (item.key().startsWith(prefix) && (after == null || item.key().compareTo(after) > 0)) {
                found.add(json(item));
            }
        }
        return new String[] {
            "200", "{\"entries\":[" + String.join(",", found) + "],\"truncated\":false,\"at\":" + revision + "}"
        };
    }

    private synchronized String[] watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long until = System.nanoTime() / 1_000_000 + waitMillis;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    events.add(
                            event.item() != null
                                    ? json(event.item())
                                    : "{\"key\":\"" + event.key() + "\",\"revision\":" + event.revision()
                                            + ",\"deleted\":true}");
                }
            }
            long left = until - System.nanoTime() / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return new String[] {"200", "{\"events\":[" + String.join(",", events) + "],\"at\":" + revision + "}"};
            }
            wait(left);
        }
    }

    private static long number(String body, String field) {
        Matcher matcher = Pattern.compile("\"" + field + "\"\\s*:\\s*(\\d+)").matcher(body);
        return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
    }

    /** Executes a write; the nodes write one key at a time, without conditions. */
    private synchronized String[] txn(String body) {
        Matcher write = Pattern.compile("\"write\"\\s*:\\s*\\[\\s*\\{(.*?)\\}").matcher(body);
        if (write.find()) {
            String row = write.group(1);
            Matcher key = Pattern.compile("\"key\"\\s*:\\s*\"(.*?)\"").matcher(row);
            Matcher value = Pattern.compile("\"value\"\\s*:\\s*\"(.*?)\"").matcher(row);
            long lease = number(row, "lease");
            if (lease != 0 && !leases.containsKey(lease)) {
                return new String[] {"404", "{}"};
            }
            if (key.find() && value.find()) {
                put(key.group(1), Base64.getDecoder().decode(value.group(1)), lease);
            }
        }
        return new String[] {"200", "{\"revision\":" + revision + "}"};
    }

    private synchronized String[] grant(long ttlMillis) {
        long lease = ++lastLease;
        leases.put(lease, new long[] {ttlMillis, System.nanoTime() / 1_000_000 + ttlMillis});
        return new String[] {"200", "{\"lease\":" + lease + ",\"ttl-ms\":" + ttlMillis + "}"};
    }

    private synchronized String[] keep(long lease) {
        long[] held = leases.get(lease);
        if (held == null) {
            return new String[] {"404", "{}"};
        }
        held[1] = System.nanoTime() / 1_000_000 + held[0];
        return new String[] {"200", "{\"ttl-ms\":" + held[0] + "}"};
    }
}
