package org.apricotdeal.http;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.apricotdeal.engine.ServiceClient;
import org.apricotdeal.engine.ServiceOutcome;
import org.apricotdeal.engine.ServiceRequest;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** Calls plain services over HTTP; sends each request at most once. */
public final class HttpServiceClient implements ServiceClient {
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    /** Headers that concern one connection only, and those that the client sets by itself. */
    private static final Set<String> NOT_PASSED_ON = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "host",
            "x-request-id");

    private final Destinations destinations;

    /**
     * Creates a client.
     *
     * @param client the process's shared client
     */
    public HttpServiceClient(HttpClient client) {
        this.destinations = new Destinations(client);
    }

    @Override
    public CompletableFuture<ServiceOutcome> call(String address, ServiceRequest request, long timeoutMillis) {
        CompletableFuture<ServiceOutcome> outcome = new CompletableFuture<>();
        Request outgoing;
        try {
            outgoing = build(address, request, timeoutMillis);
        } catch (IllegalArgumentException e) {
            outcome.complete(new ServiceOutcome.NotSent("not a valid request: " + e.getMessage()));
            return outcome;
        }
        SendMarker marker = SendMarker.on(outgoing);
        outgoing.send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
            @Override
            public void onComplete(Result result) {
                outcome.complete(outcome(address, result, marker, getContent()));
            }
        });
        return outcome;
    }

    private Request build(String address, ServiceRequest request, long timeoutMillis) {
        Request outgoing = destinations
                .pooled(address)
                .method(request.method())
                .path(request.path())
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS);
        outgoing.headers(headers -> {
            for (var header : request.headers().entrySet()) {
                if (isPassedOn(header.getKey())) {
                    headers.put(header.getKey(), header.getValue());
                }
            }
            headers.put("x-request-id", request.id().value());
        });
        if (request.body().length > 0) {
            outgoing.body(new BytesRequestContent((String) null, request.body()));
        }
        return outgoing;
    }

    private ServiceOutcome outcome(String address, Result result, SendMarker marker, byte[] content) {
        if (result.isSucceeded()) {
            byte[] body = content == null ? new byte[0] : content;
            return new ServiceOutcome.Answered(
                    result.getResponse().getStatus(),
                    passedOn(result.getResponse().getHeaders()),
                    body);
        }
        if (!marker.mayHaveLeft()) {
            return new ServiceOutcome.NotSent(Failures.describe(result.getFailure()));
        }
        if (result.getFailure() instanceof TimeoutException) {
            destinations.suspect(address);
        }
        return new ServiceOutcome.Unknown(Failures.describe(result.getFailure()));
    }

    private static Map<String, String> passedOn(HttpFields headers) {
        Map<String, String> passed = new LinkedHashMap<>();
        for (HttpField field : headers) {
            if (isPassedOn(field.getName())) {
                passed.merge(field.getLowerCaseName(), field.getValue(), (first, second) -> first + ", " + second);
            }
        }
        return passed;
    }

    private static boolean isPassedOn(String header) {
        return !NOT_PASSED_ON.contains(header.toLowerCase(Locale.ROOT));
    }
}
