package org.apricotdeal.node.caller;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes failures as JSON responses. */
public final class FailureWriter {
    private static final ObjectMapper JSON = new ObjectMapper();

    private FailureWriter() {}

    /**
     * Writes a failure and completes the exchange. If the request's body has not been received completely, the connection is
     * closed and the response announces this in its {@code Connection} header.
     *
     * @param failure the failure
     * @param response the response, not yet committed
     * @param callback completed when the failure has been written
     */
    public static void write(Failure failure, Response response, Callback callback) {
        response.setStatus(failure.status());
        response.getHeaders().put(Outcome.HEADER, failure.outcome().externalName());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        if (failure.retryAfterMillis() > 0) {
            long seconds = TimeUnit.MILLISECONDS.toSeconds(failure.retryAfterMillis() + 999);
            response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(seconds));
        }
        Request request = response.getRequest();
        if (hasConnectionHeader(request) && !request.consumeAvailable()) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        }
        response.write(true, ByteBuffer.wrap(body(failure)), callback);
    }

    /** HTTP/2 has no {@code Connection} header: ending a stream leaves the connection open. */
    private static boolean hasConnectionHeader(Request request) {
        HttpVersion version = request.getConnectionMetaData().getHttpVersion();
        return version.getVersion() < HttpVersion.HTTP_2.getVersion();
    }

    /**
     * Returns the response body of a failure.
     *
     * @param failure the failure
     * @return JSON in UTF-8
     */
    public static byte[] body(Failure failure) {
        ObjectNode root = JSON.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("code", failure.code().externalName());
        error.put("message", failure.message());
        error.put("outcome", failure.outcome().externalName());
        if (failure.retryAfterMillis() > 0) {
            error.put("retry_after_ms", failure.retryAfterMillis());
        }
        try {
            return JSON.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the failure as JSON", e);
        }
    }
}
