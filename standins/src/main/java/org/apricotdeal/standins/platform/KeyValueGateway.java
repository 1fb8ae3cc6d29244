package org.apricotdeal.standins.platform;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.standins.server.StreamWriter;

/** Carries out the calls of etcd's gateway on the key-value state, one at a time, and reports changes to the watches. */
final class KeyValueGateway {
    private static final int MAX_VALUE_BYTES = 1024 * 1024;

    private final KeyValueState state;
    private final WatchRegistry watches = new WatchRegistry();

    /** An answer of the gateway. */
    record Answer(int status, ObjectNode json) {
        static Answer ok(ObjectNode json) {
            return new Answer(200, json);
        }

        static Answer error(int status, String detail) {
            return new Answer(status, GatewayJson.error(status, detail));
        }
    }

    KeyValueGateway(Clock clock) {
        this.state = new KeyValueState(clock);
    }

    WatchRegistry watches() {
        return watches;
    }

    /** Carries out a call other than a watch. */
    synchronized Answer call(String path, JsonNode body) {
        Answer answer =
                switch (path) {
                    case "/v3/kv/range" -> range(body);
                    case "/v3/kv/txn" -> transact(body);
                    case "/v3/lease/grant" -> grant(body);
                    case "/v3/lease/keepalive" -> keepAlive(body);
                    case "/v3/lease/revoke" -> revoke(body);
                    default -> Answer.error(404, "no such call");
                };
        reportChanges();
        return answer;
    }

    synchronized void watch(JsonNode body, int port, StreamWriter writer) {
        JsonNode create = body.path("create_request");
        String key = GatewayJson.key(create.path("key"));
        long startRevision = create.path("start_revision").asLong();
        Optional<KeyValueState.Change> missed = state.get(key)
                .filter(entry -> startRevision > 0 && entry.modRevision() >= startRevision)
                .map(entry -> new KeyValueState.Change(false, entry));
        watches.add(key, port, writer, state.revision(), missed.stream().toList());
    }

    /** Ends leases whose time is up, and tells watchers that the service is still there where asked. */
    synchronized void tick(boolean withProgress) {
        state.expireLeases();
        reportChanges();
        if (withProgress) {
            watches.reportProgress(state.revision());
        }
    }

    private void reportChanges() {
        watches.report(state.revision(), state.takeChanges());
    }

    private Answer range(JsonNode body) {
        String key = GatewayJson.key(body.path("key"));
        List<KeyValueState.Entry> found = body.hasNonNull("range_end")
                ? state.range(key, GatewayJson.key(body.path("range_end")))
                : state.get(key).stream().toList();
        return Answer.ok(GatewayJson.range(state.revision(), found));
    }

    private Answer transact(JsonNode body) {
        JsonNode compare = body.path("compare").path(0);
        if (!compare.path("target").asText().equals("MOD")
                || !compare.path("result").asText().equals("EQUAL")) {
            return Answer.error(400, "only one comparison of a revision is supported");
        }
        String key = GatewayJson.key(compare.path("key"));
        if (!state.hasRevision(key, compare.path("mod_revision").asLong())) {
            return Answer.ok(conflict(body.path("failure").path(0)));
        }
        JsonNode success = body.path("success").path(0);
        if (success.has("request_put")) {
            return put(success.path("request_put"));
        }
        if (!success.has("request_delete_range")) {
            return Answer.error(400, "only one put or deletion is supported");
        }
        state.delete(GatewayJson.key(success.path("request_delete_range").path("key")));
        return Answer.ok(succeeded("response_delete_range"));
    }

    private Answer put(JsonNode put) {
        byte[] value = GatewayJson.bytes(put.path("value"));
        long leaseId = put.path("lease").asLong();
        if (value.length > MAX_VALUE_BYTES) {
            return Answer.error(400, "request is too large");
        }
        if (leaseId != 0 && !state.hasLease(leaseId)) {
            return Answer.error(404, "requested lease not found");
        }
        state.put(GatewayJson.key(put.path("key")), value, leaseId);
        return Answer.ok(succeeded("response_put"));
    }

    private ObjectNode succeeded(String response) {
        ObjectNode json = GatewayJson.answer(state.revision()).put("succeeded", true);
        json.putArray("responses").addObject().putObject(response);
        return json;
    }

    private ObjectNode conflict(JsonNode failure) {
        ObjectNode json = GatewayJson.answer(state.revision());
        if (failure.has("request_range")) {
            List<KeyValueState.Entry> found =
                    state.get(GatewayJson.key(failure.path("request_range").path("key"))).stream()
                            .toList();
            json.putArray("responses").addObject().set("response_range", GatewayJson.range(state.revision(), found));
        }
        return json;
    }

    private Answer grant(JsonNode body) {
        long ttlSeconds = body.path("TTL").asLong();
        if (ttlSeconds <= 0) {
            return Answer.error(400, "the time to live must be positive");
        }
        ObjectNode json = GatewayJson.answer(state.revision());
        json.put("ID", Long.toString(state.grant(ttlSeconds)));
        return Answer.ok(json.put("TTL", Long.toString(ttlSeconds)));
    }

    private Answer keepAlive(JsonNode body) {
        long id = body.path("ID").asLong();
        ObjectNode result = GatewayJson.answer(state.revision());
        result.put("ID", Long.toString(id)).put("TTL", Long.toString(state.keepAlive(id)));
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.set("result", result);
        return Answer.ok(json);
    }

    private Answer revoke(JsonNode body) {
        return state.revoke(body.path("ID").asLong())
                ? Answer.ok(GatewayJson.answer(state.revision()))
                : Answer.error(404, "requested lease not found");
    }
}
