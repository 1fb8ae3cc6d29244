package org.apricotdeal.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apricotdeal.engine.CacheEvent;
import org.apricotdeal.engine.CacheEventReader;
import org.apricotdeal.engine.CompletionRequest;
import org.apricotdeal.engine.EngineClient;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.engine.StreamHandle;
import org.apricotdeal.engine.TokenListener;
import org.apricotdeal.kernel.result.Result;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Calls model engines over HTTP. Every probe and every order opens its own connection, so that a pooled connection that
 * has gone silent can neither hide a live engine nor delay an order. Every attempt at a stream has its own name at the
 * engine, so that cancelling an attempt that went silent can't hit the attempt that replaces it.
 */
public final class HttpEngineClient implements EngineClient, CacheEventReader {
    /**
     * Milliseconds without a byte after which a cancelled stream's connection counts as silent: later streams to the same
     * address open new connections.
     */
    public static final long SILENCE_MILLIS = 250;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CLIENT_NAME_CHARS = 8;

    private final Destinations destinations;
    private final String clientName = UUID.randomUUID().toString().substring(0, CLIENT_NAME_CHARS);
    private final AtomicLong attempts = new AtomicLong();

    /**
     * Creates a client.
     *
     * @param client the process's shared client
     */
    public HttpEngineClient(HttpClient client) {
        this.destinations = new Destinations(client);
    }

    @Override
    public CompletableFuture<Result<EngineState, String>> state(String address, long timeoutMillis) {
        return read(
                () -> destinations.singleUse(address, "probe").path("/engine/state"),
                timeoutMillis,
                EngineJson::readState);
    }

    @Override
    public CompletableFuture<Result<List<CacheEvent>, String>> cacheEvents(
            String address, long after, long timeoutMillis) {
        return read(
                () -> destinations.pooled(address).path("/engine/cache-events").param("after", Long.toString(after)),
                timeoutMillis,
                EngineJson::readCacheEvents);
    }

    /** Reads an answer's body. */
    private interface BodyReader<T> {
        T read(String body) throws JsonProcessingException;
    }

    private static <T> CompletableFuture<Result<T, String>> read(
            Supplier<Request> builder, long timeoutMillis, BodyReader<T> reader) {
        CompletableFuture<Result<T, String>> answer = new CompletableFuture<>();
        Request request;
        try {
            request = builder.get();
        } catch (IllegalArgumentException e) {
            answer.complete(Result.err(e.getMessage()));
            return answer;
        }
        request.timeout(timeoutMillis, TimeUnit.MILLISECONDS).send(new BufferingResponseListener() {
            @Override
            public void onComplete(org.eclipse.jetty.client.Result result) {
                answer.complete(readAnswer(result, getContentAsString(), reader));
            }
        });
        return answer;
    }

    private static <T> Result<T, String> readAnswer(
            org.eclipse.jetty.client.Result result, String body, BodyReader<T> reader) {
        if (result.isFailed()) {
            return Result.err(Failures.describe(result.getFailure()));
        }
        if (result.getResponse().getStatus() != HttpStatus.OK_200) {
            return Result.err("status " + result.getResponse().getStatus());
        }
        try {
            return Result.ok(reader.read(body));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Result.err("not a valid answer: " + e.getMessage());
        }
    }

    @Override
    public CompletableFuture<OrderOutcome> order(String address, String credential, Order order, long timeoutMillis) {
        CompletableFuture<OrderOutcome> outcome = new CompletableFuture<>();
        Request request;
        try {
            request = destinations.singleUse(address, "order");
        } catch (IllegalArgumentException e) {
            outcome.complete(new OrderOutcome.Refused("not sent: " + e.getMessage()));
            return outcome;
        }
        request.method("POST")
                .path("/engine/orders")
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .body(json(EngineJson.write(order)));
        if (!credential.isEmpty()) {
            request.headers(headers -> headers.put("authorization", "Bearer " + credential));
        }
        SendMarker marker = SendMarker.on(request);
        request.send(new BufferingResponseListener() {
            @Override
            public void onComplete(org.eclipse.jetty.client.Result result) {
                outcome.complete(readOutcome(result, getContentAsString(), marker));
            }
        });
        return outcome;
    }

    private static OrderOutcome readOutcome(org.eclipse.jetty.client.Result result, String body, SendMarker marker) {
        if (result.isFailed()) {
            String detail = Failures.describe(result.getFailure());
            return marker.mayHaveLeft()
                    ? new OrderOutcome.NoAnswer(detail)
                    : new OrderOutcome.Refused("not sent: " + detail);
        }
        int status = result.getResponse().getStatus();
        try {
            return switch (status) {
                case HttpStatus.OK_200 -> new OrderOutcome.Accepted(EngineJson.readState(body));
                case HttpStatus.CONFLICT_409 ->
                    new OrderOutcome.Fenced(MAPPER.readTree(body).path("fence").asLong());
                default ->
                    status < HttpStatus.INTERNAL_SERVER_ERROR_500
                            ? new OrderOutcome.Refused("status " + status + ": " + body)
                            : new OrderOutcome.NoAnswer("status " + status + ": " + body);
            };
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return new OrderOutcome.NoAnswer("not a valid answer: " + e.getMessage());
        }
    }

    @Override
    public StreamHandle stream(String address, CompletionRequest request, TokenListener listener) {
        return open(address, "", Map.of(), request, listener);
    }

    /**
     * Starts a token stream at another node, which serves it in its own failure domain.
     *
     * @param address host and port of the node's peer port
     * @param pathPrefix prefix of the paths of forwarded requests
     * @param headers headers that name caller, class and deadline
     * @param request the request
     * @param listener takes tokens and the end of the stream
     * @return handle to cancel the stream
     */
    public StreamHandle forward(
            String address,
            String pathPrefix,
            Map<String, String> headers,
            CompletionRequest request,
            TokenListener listener) {
        return open(address, pathPrefix, headers, request, listener);
    }

    private StreamHandle open(
            String address,
            String pathPrefix,
            Map<String, String> headers,
            CompletionRequest request,
            TokenListener listener) {
        String attemptId = request.id().value() + ":" + clientName + "-" + attempts.incrementAndGet();
        Request outgoing;
        try {
            outgoing = destinations.pooled(address);
        } catch (IllegalArgumentException e) {
            listener.failed(new StreamFailure.NotStarted(e.getMessage()));
            return () -> {};
        }
        outgoing.method("POST")
                .path(pathPrefix + "/v1/completions")
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .headers(fields -> headers.forEach(fields::put))
                .body(json(EngineJson.write(request, attemptId)));
        TokenStream stream = new TokenStream(outgoing, attemptId, listener);
        stream.send();
        return () -> cancel(address, attemptId, stream);
    }

    private void cancel(String address, String attemptId, TokenStream stream) {
        if (!stream.cancel()) {
            return;
        }
        if (stream.wasSilent()) {
            destinations.suspect(address);
        }
        Request delete = destinations.pooled(address).method("DELETE").path("/v1/completions/" + attemptId);
        delete.timeout(TokenStream.CANCEL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).send(ignored -> {});
    }

    private static BytesRequestContent json(JsonNode json) {
        return new BytesRequestContent(
                "application/json", ((ObjectNode) json).toString().getBytes(StandardCharsets.UTF_8));
    }
}
