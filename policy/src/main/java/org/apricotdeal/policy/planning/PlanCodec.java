package org.apricotdeal.policy.planning;

import java.io.IOException;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;

/** Encodes and decodes plans as JSON. Unknown fields are ignored, so that nodes of different releases can interoperate. */
public final class PlanCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .addModule(ids())
            .build();

    private PlanCodec() {}

    /**
     * Encodes a plan.
     *
     * @param plan the plan
     * @return JSON in UTF-8
     */
    public static byte[] encode(Plan plan) {
        try {
            return MAPPER.writeValueAsBytes(plan);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("plan version " + plan.version() + " cannot be encoded", e);
        }
    }

    /**
     * Decodes a plan.
     *
     * @param bytes JSON in UTF-8
     * @return the plan, or the reason why the bytes cannot be decoded
     */
    public static Result<Plan, String> decode(byte[] bytes) {
        try {
            return Result.ok(MAPPER.readValue(bytes, Plan.class));
        } catch (IOException e) {
            return Result.err("plan cannot be decoded: " + e.getMessage());
        }
    }

    private static SimpleModule ids() {
        SimpleModule module = new SimpleModule("ids");
        add(module, VmId.class, VmId::new);
        add(module, NodeId.class, NodeId::new);
        add(module, ReplicaId.class, ReplicaId::new);
        add(module, UpstreamId.class, UpstreamId::new);
        add(module, FailureDomainId.class, FailureDomainId::new);
        return module;
    }

    private static <T> void add(SimpleModule module, Class<T> type, Function<String, T> parse) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new IdDeserializer<>(type, parse));
    }

    /** Reads an id from a JSON string. */
    private static final class IdDeserializer<T> extends FromStringDeserializer<T> {
        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> parse;

        IdDeserializer(Class<T> type, Function<String, T> parse) {
            super(type);
            this.parse = parse;
        }

        @Override
        protected T _deserialize(String value, DeserializationContext context) {
            return parse.apply(value);
        }
    }
}
