package org.apricotdeal.policy.claims;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.kernel.result.Result;

/** Converts shards of the journal to JSON and back. */
public final class ClaimShardCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ClaimShardCodec() {}

    /**
     * Encodes a shard.
     *
     * @param shard the shard
     * @return its JSON in UTF-8
     */
    public static byte[] encode(ClaimShard shard) {
        try {
            return MAPPER.writeValueAsBytes(shard);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("shard cannot be encoded", e);
        }
    }

    /**
     * Decodes a shard.
     *
     * @param json JSON in UTF-8
     * @return the shard, or why the text is none
     */
    public static Result<ClaimShard, String> decode(byte[] json) {
        try {
            return Result.ok(MAPPER.readValue(json, ClaimShard.class));
        } catch (IOException e) {
            return Result.err(e.getMessage());
        }
    }
}
