package org.apricotdeal.standins.platform;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.platform.Vm;

/** Pieces of the platform's JSON: etcd's gateway and the VM list. */
final class GatewayJson {
    private GatewayJson() {}

    /** Returns an answer with its header. */
    static ObjectNode answer(long revision) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.putObject("header").put("revision", Long.toString(revision));
        return json;
    }

    static ObjectNode error(int code, String detail) {
        return JsonNodeFactory.instance.objectNode().put("error", detail).put("code", code);
    }

    static ObjectNode range(long revision, List<KeyValueState.Entry> entries) {
        ObjectNode json = answer(revision);
        if (!entries.isEmpty()) {
            ArrayNode kvs = json.putArray("kvs");
            entries.forEach(entry -> kvs.add(keyValue(entry)));
            json.put("count", Integer.toString(entries.size()));
        }
        return json;
    }

    static ObjectNode watchCreated(long revision) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.set("result", answer(revision).put("created", true));
        return json;
    }

    static ObjectNode watchEvents(long revision, List<KeyValueState.Change> changes) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ObjectNode result = answer(revision);
        json.set("result", result);
        if (changes.isEmpty()) {
            return json;
        }
        ArrayNode events = result.putArray("events");
        for (KeyValueState.Change change : changes) {
            ObjectNode event = events.addObject();
            if (change.isDeletion()) {
                event.put("type", "DELETE");
            }
            event.set("kv", keyValue(change.entry()));
        }
        return json;
    }

    static ObjectNode vms(List<Vm> vms) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode list = json.putArray("vms");
        for (Vm vm : vms) {
            list.addObject()
                    .put("id", vm.id().value())
                    .put("failureDomain", vm.failureDomain().value())
                    .put("fabricDomain", vm.fabricDomain().value())
                    .put("upstream", vm.upstream().value())
                    .put("address", vm.address())
                    .put("accelerators", vm.accelerators())
                    .put("state", vm.state().name().toLowerCase(Locale.ROOT));
        }
        return json;
    }

    /** Reads a key; each character stands for one byte. */
    static String key(JsonNode base64) {
        return new String(bytes(base64), StandardCharsets.ISO_8859_1);
    }

    static byte[] bytes(JsonNode base64) {
        return Base64.getDecoder().decode(base64.asText());
    }

    private static ObjectNode keyValue(KeyValueState.Entry entry) {
        Base64.Encoder encoder = Base64.getEncoder();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("key", encoder.encodeToString(entry.key().getBytes(StandardCharsets.ISO_8859_1)));
        json.put("mod_revision", Long.toString(entry.modRevision()));
        if (entry.value().length > 0) {
            json.put("value", encoder.encodeToString(entry.value()));
        }
        if (entry.leaseId() != 0) {
            json.put("lease", Long.toString(entry.leaseId()));
        }
        return json;
    }
}
