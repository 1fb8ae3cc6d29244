package org.apricotdeal.policy.claims;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.kernel.result.Result;

/** Encodes shards of the claims journal as JSON and decodes them. */
public final class ClaimShardCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ClaimShardCodec() {}

    /**
     * Encodes a shard.
     *
     * @param shard shard to encode
     * @return JSON in UTF-8
     */
    public static byte[] encode(ClaimShard shard) {
        try {
            return MAPPER.writeValueAsBytes(shard);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode claim shard as JSON", e);
        }
    }

    /**
     * Decodes a shard.
     *
     * @param json JSON in UTF-8
     * @return the shard, or the error message if the JSON is not a valid shard
     */
    public static Result<ClaimShard, String> decode(byte[] json) {
        try {
            return Result.ok(MAPPER.readValue(json, ClaimShard.class));
        } catch (IOException e) {
            return Result.err(e.getMessage());
        }
    }
}
