package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.RefusalReason;
import org.apricotdeal.relay.port.ExchangeHeaders;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A caller's request and its answer. The answer begins once and ends once: with a VM's whole answer, with an answer of the
 * node's own, or, where it had begun, by closing the connection.
 */
final class Exchange {
    /** Headers that concern one connection only. */
    static final Set<String> CONNECTION_HEADERS = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Arrival arrival;
    private final String requestId;
    private final Request request;
    private final Response response;
    private final CallerWriter writer;
    private final ExchangeHeaders names;
    private final byte[] body;
    private final WatchedEndPoint endPoint;
    private final boolean closeAfter;
    private final AtomicBoolean answered = new AtomicBoolean();
    private final AtomicBoolean begun = new AtomicBoolean();
    private UpstreamAttempt attempt;
    private volatile long progressMillis;
    private volatile long begunMillis = -1;
    private volatile String lastEventId;

    Exchange(
            Arrival arrival,
            Request request,
            Response response,
            Callback callback,
            byte[] body,
            ExchangeHeaders names,
            boolean closeAfter) {
        this.arrival = arrival;
        this.request = request;
        this.response = response;
        this.writer = new CallerWriter(response, callback);
        this.body = body;
        this.names = names;
        this.closeAfter = closeAfter;
        this.requestId =
                Optional.ofNullable(request.getHeaders().get(names.requestId())).orElse("-");
        this.lastEventId = request.getHeaders().get(names.lastEventId());
        this.endPoint = (WatchedEndPoint)
                request.getConnectionMetaData().getConnection().getEndPoint();
    }

    Arrival arrival() {
        return arrival;
    }

    String requestId() {
        return requestId;
    }

    Request request() {
        return request;
    }

    byte[] body() {
        return body;
    }

    long progressMillis() {
        return progressMillis;
    }

    /** Returns when the answer's first event came; -1 where none has, or the answer is no stream. */
    long begunMillis() {
        return begunMillis;
    }

    void progressed(long nowMillis) {
        progressMillis = nowMillis;
    }

    String lastEventId() {
        return lastEventId;
    }

    boolean isAnswered() {
        return answered.get();
    }

    boolean hasBegun() {
        return begun.get();
    }

    UpstreamAttempt attempt() {
        return attempt;
    }

    void setAttempt(UpstreamAttempt started) {
        attempt = started;
    }

    void watchCaller(Runnable onGone) {
        endPoint.watch(onGone);
    }

    /** Begins an event stream with the first VM's status and headers; later VMs' are not shown. */
    void beginStream(int status, HttpFields upstreamHeaders, long nowMillis) {
        if (begun.compareAndSet(false, true)) {
            begunMillis = nowMillis;
            head(status, upstreamHeaders);
            // Without chunks the answer would end with its connection, and one that is broken off would look whole.
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
        }
    }

    void passEvents(ByteBuffer events, Optional<String> lastId, Runnable onWritten) {
        lastId.ifPresent(id -> lastEventId = id);
        writer.write(events, onWritten);
    }

    void endStream() {
        if (answered.compareAndSet(false, true)) {
            endPoint.endWatch();
            writer.end(null);
        }
    }

    /** Passes a whole answer of a VM on. */
    void passAnswer(int status, HttpFields upstreamHeaders, byte[] answerBody) {
        if (answered.compareAndSet(false, true)) {
            begun.set(true);
            endPoint.endWatch();
            head(status, upstreamHeaders);
            if (!HttpStatus.hasNoBody(status)) {
                response.getHeaders().put(HttpHeader.CONTENT_LENGTH, answerBody.length);
            }
            writer.end(ByteBuffer.wrap(answerBody));
        }
    }

    private void head(int status, HttpFields upstreamHeaders) {
        response.setStatus(status);
        HttpFields.Mutable headers = response.getHeaders();
        List<String> dropped = upstreamHeaders.getCSV(HttpHeader.CONNECTION, false);
        for (HttpField field : upstreamHeaders) {
            String lower = field.getLowerCaseName();
            if (!CONNECTION_HEADERS.contains(lower) && dropped.stream().noneMatch(lower::equalsIgnoreCase)) {
                headers.add(field);
            }
        }
        addClose();
    }

    private void addClose() {
        if (closeAfter) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        }
    }

    /** Answers that the request did not run and when to come back. */
    void refuse(RefusalReason reason, long retryAfterMillis) {
        response.getHeaders()
                .put(HttpHeader.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        answerOwn(HttpStatus.SERVICE_UNAVAILABLE_503, reason.toString());
    }

    /** Ends a request that may have run. */
    void giveUp(RefusalReason reason) {
        if (hasBegun()) {
            if (answered.compareAndSet(false, true)) {
                endPoint.endWatch();
                writer.abort(new IllegalStateException("answer broken off: " + reason));
            }
            return;
        }
        answerOwn(
                reason == RefusalReason.TIMEOUT ? HttpStatus.GATEWAY_TIMEOUT_504 : HttpStatus.BAD_GATEWAY_502,
                reason.toString());
    }

    private void answerOwn(int status, String reason) {
        if (!answered.compareAndSet(false, true)) {
            return;
        }
        begun.set(true);
        endPoint.endWatch();
        byte[] text = ("{\"error\":\"" + reason.toLowerCase(Locale.ROOT) + "\"}").getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        response.getHeaders().put(names.requestId(), requestId);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, text.length);
        addClose();
        writer.end(ByteBuffer.wrap(text));
    }

    /** Ends the exchange of a caller who has left. */
    void callerGone() {
        if (answered.compareAndSet(false, true)) {
            writer.abort(new IllegalStateException("the caller has left"));
        }
    }
}
