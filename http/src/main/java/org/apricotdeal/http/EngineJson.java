package org.apricotdeal.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.engine.CacheEvent;
import org.apricotdeal.engine.CompletionRequest;
import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;

/** Writes and reads the engine protocol's JSON, see docs/PROTOCOLS.md. */
public final class EngineJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineJson() {}

    /**
     * Writes an engine's state.
     *
     * @param state the state
     * @return the JSON object
     */
    public static ObjectNode write(EngineState state) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("vm", state.vm().value());
        json.put("bootId", state.bootId());
        json.put("phase", state.phase().name().toLowerCase(Locale.ROOT));
        json.put("replica", state.replica() == null ? null : state.replica().value());
        json.put("generation", state.generation());
        json.set("members", names(state.members()));
        json.put("fence", state.fence());
        json.put(
                "loadedModel",
                state.loadedModel() == null ? null : state.loadedModel().value());
        ObjectNode load = json.putObject("load");
        load.put("running", state.load().running());
        load.put("waiting", state.load().waiting());
        load.put("cacheUsedShare", state.load().cacheUsedShare());
        load.put("ageMillis", state.load().ageMillis());
        return json;
    }

    /**
     * Reads an engine's state.
     *
     * @param text the JSON object
     * @return the state
     * @throws JsonProcessingException where the text is no JSON
     * @throws IllegalArgumentException where the JSON is no state
     */
    public static EngineState readState(String text) throws JsonProcessingException {
        JsonNode json = MAPPER.readTree(text);
        JsonNode load = json.path("load");
        String replica = json.path("replica").asText(null);
        String model = json.path("loadedModel").asText(null);
        return new EngineState(
                new VmId(json.path("vm").asText()),
                json.path("bootId").asText(),
                EnginePhase.valueOf(json.path("phase").asText().toUpperCase(Locale.ROOT)),
                replica == null ? null : new ReplicaId(replica),
                json.path("generation").asLong(),
                vms(json.path("members")),
                json.path("fence").asLong(),
                model == null ? null : new UpstreamId(model),
                new EngineLoad(
                        load.path("running").asInt(),
                        load.path("waiting").asInt(),
                        load.path("cacheUsedShare").asDouble(),
                        load.path("ageMillis").asLong()));
    }

    /**
     * Writes an order.
     *
     * @param order the order
     * @return the JSON object
     */
    public static ObjectNode write(Order order) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("vm", order.vm().value());
        json.put("fence", order.fence());
        switch (order) {
            case Order.Load load ->
                json.put("kind", "load").put("model", load.model().value());
            case Order.Join join -> {
                json.put("kind", "join").put("model", join.model().value());
                json.put("replica", join.replica().value());
                json.put("generation", join.generation());
                json.set("members", names(join.members()));
            }
            case Order.Release release -> json.put("kind", "release");
        }
        return json;
    }

    /**
     * Reads an order.
     *
     * @param json the JSON object
     * @return the order
     * @throws IllegalArgumentException where the JSON is no order
     */
    public static Order readOrder(JsonNode json) {
        VmId vm = new VmId(json.path("vm").asText());
        long fence = json.path("fence").asLong();
        return switch (json.path("kind").asText()) {
            case "load" ->
                new Order.Load(vm, fence, new UpstreamId(json.path("model").asText()));
            case "join" ->
                new Order.Join(
                        vm,
                        fence,
                        new UpstreamId(json.path("model").asText()),
                        new ReplicaId(json.path("replica").asText()),
                        json.path("generation").asLong(),
                        vms(json.path("members")));
            case "release" -> new Order.Release(vm, fence);
            default ->
                throw new IllegalArgumentException(
                        "no order of kind \"" + json.path("kind").asText() + "\"");
        };
    }

    /**
     * Writes a request for a token stream.
     *
     * @param request the request
     * @param attemptId name of this attempt at the engine
     * @return the JSON object
     */
    static ObjectNode write(CompletionRequest request, String attemptId) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("model", request.model().value());
        json.put("prompt", request.prompt());
        json.put("max_tokens", request.maxTokens());
        json.put("stream", true);
        json.put("priority", request.priority());
        json.put("request_id", attemptId);
        ArrayNode generated = json.putArray("generated");
        request.generated().forEach(generated::add);
        return json;
    }

    static List<CacheEvent> readCacheEvents(String text) throws JsonProcessingException {
        List<CacheEvent> events = new ArrayList<>();
        for (JsonNode event : MAPPER.readTree(text).path("events")) {
            events.add(new CacheEvent(
                    event.path("sequence").asLong(),
                    event.path("kind").asText().equals("stored"),
                    event.path("prefix").asText()));
        }
        return events;
    }

    private static ArrayNode names(List<VmId> vms) {
        ArrayNode names = MAPPER.createArrayNode();
        vms.forEach(vm -> names.add(vm.value()));
        return names;
    }

    private static List<VmId> vms(JsonNode names) {
        List<VmId> vms = new ArrayList<>();
        names.forEach(name -> vms.add(new VmId(name.asText())));
        return vms;
    }
}
