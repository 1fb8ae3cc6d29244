package org.apricotdeal.http;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.platform.VersionedValue;

/** Pieces of the JSON of etcd's gateway. */
final class EtcdJson {
    private EtcdJson() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static String encode(String text) {
        return encode(text.getBytes(StandardCharsets.UTF_8));
    }

    static String encode(byte[] bytes) {
        return Base64.getEncoder().encodeToString(bytes);
    }

    /** Returns the first key after all keys that begin with a prefix. */
    static byte[] prefixEnd(String prefix) {
        byte[] end = prefix.getBytes(StandardCharsets.UTF_8);
        if (end.length == 0) {
            return new byte[1];
        }
        end[end.length - 1]++;
        return end;
    }

    static VersionedValue versioned(JsonNode kv) {
        Base64.Decoder decoder = Base64.getDecoder();
        return new VersionedValue(
                new String(decoder.decode(kv.path("key").asText()), StandardCharsets.UTF_8),
                kv.path("mod_revision").asLong(),
                decoder.decode(kv.path("value").asText()));
    }

    static Optional<VersionedValue> first(JsonNode kvs) {
        return kvs.isEmpty() ? Optional.empty() : Optional.of(versioned(kvs.get(0)));
    }
}
