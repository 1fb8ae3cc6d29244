package org.apricotdeal.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.SwapOutcome;
import org.apricotdeal.platform.VersionedValue;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Calls the key-value service through the JSON gateway of etcd v3. A call that failed before a byte left, or that the
 * service refused (status 400 to 499), is {@link PlatformError.NotDone}; every other failure is
 * {@link PlatformError.Unknown}, since the service may have carried the call out.
 */
public final class EtcdKeyValueStore implements KeyValueStore {
    private static final int MAX_ANSWER_BYTES = 64 * 1024 * 1024;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Destinations destinations;
    private final String address;
    private final long timeoutMillis;

    /**
     * Creates an adapter.
     *
     * @param client the process's shared client
     * @param address host and port of the service
     * @param timeoutMillis longest time to wait for an answer; watches wait longer as asked
     */
    public EtcdKeyValueStore(HttpClient client, String address, long timeoutMillis) {
        this.destinations = new Destinations(client);
        this.address = address;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public Result<Optional<VersionedValue>, PlatformError> get(String key) {
        ObjectNode body = EtcdJson.object().put("key", EtcdJson.encode(key));
        return post("/v3/kv/range", body, answer -> EtcdJson.first(answer.path("kvs")));
    }

    @Override
    public Result<List<VersionedValue>, PlatformError> list(String prefix) {
        ObjectNode body = EtcdJson.object()
                .put("key", EtcdJson.encode(prefix))
                .put("range_end", EtcdJson.encode(EtcdJson.prefixEnd(prefix)));
        return post("/v3/kv/range", body, answer -> {
            List<VersionedValue> found = new ArrayList<>();
            answer.path("kvs").forEach(kv -> found.add(EtcdJson.versioned(kv)));
            return found;
        });
    }

    @Override
    public Result<SwapOutcome, PlatformError> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId) {
        ObjectNode put = EtcdJson.object().put("key", EtcdJson.encode(key)).put("value", EtcdJson.encode(value));
        if (leaseId != 0) {
            put.put("lease", Long.toString(leaseId));
        }
        ObjectNode success = EtcdJson.object();
        success.set("request_put", put);
        return transact(key, expectedRevision, success);
    }

    @Override
    public Result<SwapOutcome, PlatformError> compareAndDelete(String key, long expectedRevision) {
        ObjectNode success = EtcdJson.object();
        success.putObject("request_delete_range").put("key", EtcdJson.encode(key));
        return transact(key, expectedRevision, success);
    }

    private Result<SwapOutcome, PlatformError> transact(String key, long expectedRevision, ObjectNode success) {
        ObjectNode body = EtcdJson.object();
        body.putArray("compare")
                .addObject()
                .put("target", "MOD")
                .put("result", "EQUAL")
                .put("key", EtcdJson.encode(key))
                .put("mod_revision", Long.toString(expectedRevision));
        body.putArray("success").add(success);
        body.putArray("failure").addObject().putObject("request_range").put("key", EtcdJson.encode(key));
        return post("/v3/kv/txn", body, EtcdKeyValueStore::readSwap);
    }

    private static SwapOutcome readSwap(JsonNode answer) {
        if (answer.path("succeeded").asBoolean()) {
            return new SwapOutcome.Swapped(
                    answer.path("header").path("revision").asLong());
        }
        JsonNode kvs = answer.path("responses").path(0).path("response_range").path("kvs");
        return new SwapOutcome.Conflict(EtcdJson.first(kvs));
    }

    @Override
    public Result<Long, PlatformError> grantLease(long ttlMillis) {
        long ttlSeconds = Math.ceilDiv(ttlMillis, 1_000L);
        ObjectNode body = EtcdJson.object().put("TTL", Long.toString(ttlSeconds));
        return post("/v3/lease/grant", body, answer -> answer.path("ID").asLong());
    }

    @Override
    public Result<Long, PlatformError> keepAlive(long leaseId) {
        ObjectNode body = EtcdJson.object().put("ID", Long.toString(leaseId));
        return post(
                "/v3/lease/keepalive",
                body,
                answer -> TimeUnit.SECONDS.toMillis(
                        answer.path("result").path("TTL").asLong()));
    }

    @Override
    public Result<Boolean, PlatformError> revokeLease(long leaseId) {
        ObjectNode body = EtcdJson.object().put("ID", Long.toString(leaseId));
        return switch (exchange("/v3/lease/revoke", body)) {
            case Result.Err<Answer, PlatformError>(PlatformError error) -> Result.err(error);
            case Result.Ok<Answer, PlatformError>(Answer answer) ->
                answer.status() == HttpStatus.NOT_FOUND_404 ? Result.ok(false) : read(answer, ignored -> true);
        };
    }

    @Override
    public Result<Optional<VersionedValue>, PlatformError> awaitChange(
            String key, long afterRevision, long waitMillis) {
        Request request = create(
                "/v3/watch",
                EtcdJson.object()
                        .set(
                                "create_request",
                                EtcdJson.object()
                                        .put("key", EtcdJson.encode(key))
                                        .put("start_revision", Long.toString(afterRevision + 1))));
        WatchCall watch = new WatchCall(request, afterRevision);
        return switch (watch.await(waitMillis)) {
            case WatchCall.Changed(VersionedValue value) -> Result.ok(Optional.of(value));
            case WatchCall.Unchanged() -> Result.ok(Optional.empty());
            case WatchCall.Compacted() -> readAfter(key, afterRevision);
            case WatchCall.Failed(String detail, boolean silent) -> {
                if (silent) {
                    destinations.suspect(address);
                }
                yield Result.err(new PlatformError.NotDone(detail));
            }
        };
    }

    private Result<Optional<VersionedValue>, PlatformError> readAfter(String key, long afterRevision) {
        return switch (get(key)) {
            case Result.Err<Optional<VersionedValue>, PlatformError> failed -> failed;
            case Result.Ok<Optional<VersionedValue>, PlatformError>(var value) ->
                Result.ok(value.filter(found -> found.revision() > afterRevision));
        };
    }

    /** An answer of the service. */
    private record Answer(int status, String body) {}

    private <T> Result<T, PlatformError> post(String path, ObjectNode body, Function<JsonNode, T> reader) {
        return switch (exchange(path, body)) {
            case Result.Err<Answer, PlatformError>(PlatformError error) -> Result.err(error);
            case Result.Ok<Answer, PlatformError>(Answer answer) -> read(answer, reader);
        };
    }

    private static <T> Result<T, PlatformError> read(Answer answer, Function<JsonNode, T> reader) {
        if (HttpStatus.isClientError(answer.status())) {
            return Result.err(new PlatformError.NotDone("status " + answer.status() + ": " + answer.body()));
        }
        if (answer.status() != HttpStatus.OK_200) {
            return Result.err(new PlatformError.Unknown("status " + answer.status() + ": " + answer.body()));
        }
        try {
            return Result.ok(reader.apply(MAPPER.readTree(answer.body())));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Result.err(new PlatformError.Unknown("not a valid answer: " + e.getMessage()));
        }
    }

    private Result<Answer, PlatformError> exchange(String path, ObjectNode body) {
        Request request = create(path, body).timeout(timeoutMillis, TimeUnit.MILLISECONDS);
        SendMarker marker = SendMarker.on(request);
        CompletableFuture<Result<Answer, PlatformError>> answer = new CompletableFuture<>();
        request.send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
            @Override
            public void onComplete(org.eclipse.jetty.client.Result result) {
                answer.complete(
                        result.isFailed()
                                ? Result.err(failed(result.getFailure(), marker))
                                : Result.ok(new Answer(result.getResponse().getStatus(), getContentAsString())));
            }
        });
        try {
            return answer.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Result.err(new PlatformError.Unknown("interrupted"));
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    private PlatformError failed(Throwable failure, SendMarker marker) {
        String detail = Failures.describe(failure);
        if (!marker.mayHaveLeft()) {
            return new PlatformError.NotDone(detail);
        }
        if (failure instanceof TimeoutException) {
            destinations.suspect(address);
        }
        return new PlatformError.Unknown(detail);
    }

    private Request create(String path, JsonNode body) {
        return destinations
                .pooled(address)
                .method("POST")
                .path(path)
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .body(new BytesRequestContent(
                        "application/json", body.toString().getBytes(StandardCharsets.UTF_8)));
    }
}
