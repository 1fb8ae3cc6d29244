package org.apricotdeal.standins.users;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** State of the stand-in store: keys with revisions, their history, and leases. Copies of it can be restored. */
final class UsersStore {
    private final TreeMap<String, ObjectNode> items = new TreeMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long oldestRevision = 1;
    private long era;

    /** A lease and its end. */
    private record Lease(long ttlMillis, long endsAtMillis) {}

    /** The state as of a moment. */
    record Copy(
            Map<String, ObjectNode> items,
            List<ObjectNode> history,
            Map<Long, Lease> leases,
            long revision,
            long oldestRevision) {}

    synchronized Copy copy() {
        return new Copy(Map.copyOf(items), List.copyOf(history), Map.copyOf(leases), revision, oldestRevision);
    }

    /** Goes back to a copy: later writes and leases are lost, and their revisions and ids are given out again. */
    synchronized void restore(Copy copy) {
        items.clear();
        items.putAll(copy.items());
        history.clear();
        history.addAll(copy.history());
        leases.clear();
        leases.putAll(copy.leases());
        revision = copy.revision();
        oldestRevision = copy.oldestRevision();
        era++;
        notifyAll();
    }

    /** Returns how often the store has been restored. */
    synchronized long era() {
        return era;
    }

    synchronized void put(String key, String base64, long lease) {
        ObjectNode item = JsonNodeFactory.instance.objectNode();
        revision++;
        item.put("key", key);
        item.put("value", base64);
        item.put("revision", revision);
        item.put(
                "created",
                items.containsKey(key) ? items.get(key).path("created").asLong() : revision);
        item.put("lease", lease);
        items.put(key, item);
        history.add(item);
        notifyAll();
    }

    synchronized void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(JsonNodeFactory.instance
                    .objectNode()
                    .put("key", key)
                    .put("revision", revision)
                    .put("deleted", true));
            notifyAll();
        }
    }

    synchronized ObjectNode range(String prefix, String after) {
        ObjectNode page = JsonNodeFactory.instance.objectNode();
        ArrayNode entries = page.putArray("entries");
        items.tailMap(prefix, true).forEach((key, item) -> {
            if (key.startsWith(prefix) && (after == null || key.compareTo(after) > 0)) {
                entries.add(item);
            }
        });
        return page.put("truncated", false).put("at", revision);
    }

    /** Waits for changes; returns null where the history does not reach back far enough, or not up to the revision yet. */
    synchronized ObjectNode watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long endNanos = System.nanoTime() + waitMillis * 1_000_000;
        while (true) {
            if (after < oldestRevision || after > revision) {
                return null;
            }
            ObjectNode reply = JsonNodeFactory.instance.objectNode();
            ArrayNode events = reply.putArray("events");
            for (ObjectNode change : history) {
                if (change.path("revision").asLong() > after
                        && change.path("key").asText().startsWith(prefix)) {
                    events.add(change);
                }
            }
            long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || leftMillis <= 0) {
                return reply.put("at", revision);
            }
            wait(leftMillis);
        }
    }

    /** Drops the history, so that watches have to read all keys again. */
    synchronized void compact() {
        history.clear();
        oldestRevision = revision + 1;
        revision++;
        notifyAll();
    }

    synchronized ObjectNode write(JsonNode transaction) {
        for (JsonNode write : transaction.path("write")) {
            put(
                    write.path("key").asText(),
                    write.path("value").asText(),
                    write.path("lease").asLong());
        }
        transaction.path("remove").forEach(key -> remove(key.asText()));
        return JsonNodeFactory.instance.objectNode().put("revision", revision);
    }

    synchronized ObjectNode grant(long ttlMillis, long nowMillis) {
        long id = ++revision;
        leases.put(id, new Lease(ttlMillis, nowMillis + ttlMillis));
        return JsonNodeFactory.instance.objectNode().put("lease", id).put("ttl-ms", ttlMillis);
    }

    /** Renews a lease; returns null where it has ended. */
    synchronized ObjectNode keep(long id, long nowMillis) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return null;
        }
        leases.put(id, new Lease(lease.ttlMillis(), nowMillis + lease.ttlMillis()));
        return JsonNodeFactory.instance.objectNode().put("ttl-ms", lease.ttlMillis());
    }

    synchronized void end(long id) {
        leases.remove(id);
        List<String> bound = items.values().stream()
                .filter(item -> item.path("lease").asLong() == id)
                .map(item -> item.path("key").asText())
                .toList();
        bound.forEach(this::remove);
    }

    synchronized void expire(long nowMillis) {
        List<Long> ended = leases.entrySet().stream()
                .filter(entry -> nowMillis >= entry.getValue().endsAtMillis())
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::end);
    }
}
