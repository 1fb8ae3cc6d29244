package org.apricotdeal.node.caller;

import java.nio.ByteBuffer;
import java.util.Map;

import org.apricotdeal.engine.ServiceOutcome;
import org.apricotdeal.policy.claims.ClaimAnswer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes the response to one call to a plain service. */
public final class ServiceCallWriter {
    /** Header that marks an answer recorded for an earlier request with the same idempotency key. */
    public static final String REPLAYED_HEADER = "apricotdeal-replayed";

    private final Response response;
    private final Callback callback;

    ServiceCallWriter(Response response, Callback callback) {
        this.response = response;
        this.callback = callback;
    }

    /**
     * Writes the service's answer with its status, headers and body.
     *
     * @param answer the service's answer
     */
    public void writeAnswer(ServiceOutcome.Answered answer) {
        copyStatusAndHeaders(answer);
        response.getHeaders().put(Outcome.HEADER, Outcome.ANSWERED.externalName());
        response.write(true, ByteBuffer.wrap(answer.body()), callback);
    }

    /**
     * Writes the answer of another node. That node has already set the outcome header.
     *
     * @param answer the other node's answer
     */
    public void writeForwardedAnswer(ServiceOutcome.Answered answer) {
        copyStatusAndHeaders(answer);
        response.write(true, ByteBuffer.wrap(answer.body()), callback);
    }

    private void copyStatusAndHeaders(ServiceOutcome.Answered answer) {
        response.setStatus(answer.status());
        for (Map.Entry<String, String> header : answer.headers().entrySet()) {
            response.getHeaders().put(header.getKey(), header.getValue());
        }
    }

    /**
     * Writes the recorded answer of an earlier request.
     *
     * @param answer the recorded answer
     */
    public void writeReplayedAnswer(ClaimAnswer answer) {
        response.setStatus(answer.status());
        if (!answer.contentType().isEmpty()) {
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.contentType());
        }
        response.getHeaders().put(REPLAYED_HEADER, "true");
        response.getHeaders().put(Outcome.HEADER, Outcome.ANSWERED.externalName());
        response.write(true, ByteBuffer.wrap(answer.body()), callback);
    }

    /**
     * Writes a failure.
     *
     * @param failure the failure to report to the caller
     */
    public void fail(Failure failure) {
        FailureWriter.write(failure, response, callback);
    }
}
