package org.apricotdeal.proofs.tool;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.tool.environment.Environment;

/** What a session's commands reach: a store in memory, and nodes whose answers are files. */
final class SessionEnvironment implements Environment {
    private static final long STEP_MILLIS = 4_000;

    private final FaultyStore store = new FaultyStore();
    private final Path folder;
    private long nowMillis;
    private int changes;

    SessionEnvironment(Path folder) {
        this.folder = folder;
    }

    FaultyStore faultyStore() {
        return store;
    }

    @Override
    public KeyValueStore store(String address) {
        return store;
    }

    @Override
    public Result<JsonNode, String> askNode(String address, String path) {
        String name = address.replace(':', '-') + path.replaceAll("\\?.*", "").replace('/', '-') + ".json";
        Path answer = folder.resolve("nodes").resolve(name);
        if (!Files.exists(answer)) {
            return Result.err("connection refused");
        }
        try {
            return Result.ok(new ObjectMapper().readTree(Files.readString(answer)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public Clock clock() {
        return new Clock() {
            @Override
            public long monotonicMillis() {
                nowMillis += STEP_MILLIS;
                return nowMillis;
            }

            @Override
            public long wallMillis() {
                return monotonicMillis();
            }
        };
    }

    @Override
    public String newChangeId() {
        changes++;
        return "change-" + changes;
    }
}
