package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.RefusalReason;
import org.apricotdeal.relay.port.ExchangeHeaders;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.QuietException;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A caller's request and its response. The response starts once and ends once: with the complete response of a VM, with an
 * error response of the node, or, if it has been started and fails, by closing the connection.
 */
final class Exchange {
    /** Hop-by-hop headers, which are not forwarded, and headers that the proxy sets itself. */
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
    private final ExchangeHeaders headerNames;
    private final RequestBody body;
    private final WatchedEndPoint endPoint;
    private final boolean closeConnection;
    private final AnswerLog answers;
    private final AtomicBoolean cut = new AtomicBoolean();
    private final AtomicBoolean completed = new AtomicBoolean();
    private final AtomicBoolean started = new AtomicBoolean();
    private final AtomicBoolean written = new AtomicBoolean();
    private final AttemptRace race = new AttemptRace();
    private UpstreamAttempt attempt;
    private volatile UnreadAnswer answer;
    private volatile long streamStartMillis = -1;
    private volatile String lastEventId;

    Exchange(
            Arrival arrival,
            Request request,
            Response response,
            Callback callback,
            RequestBody body,
            ExchangeHeaders headerNames,
            boolean closeConnection,
            AnswerLog answers) {
        this.arrival = arrival;
        this.request = request;
        this.response = response;
        this.writer = new CallerWriter(response, new Completion(callback));
        this.body = body;
        this.headerNames = headerNames;
        this.closeConnection = closeConnection;
        this.answers = answers;
        this.requestId = Optional.ofNullable(request.getHeaders().get(headerNames.requestId()))
                .orElse("-");
        this.lastEventId = request.getHeaders().get(headerNames.lastEventId());
        this.endPoint = (WatchedEndPoint)
                request.getConnectionMetaData().getConnection().getEndPoint();
        answers.begun(this);
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

    RequestBody body() {
        return body;
    }

    /** Returns the time at which the response stream was started; -1 if there is no stream or it has not been started. */
    long streamStartMillis() {
        return streamStartMillis;
    }

    String lastEventId() {
        return lastEventId;
    }

    boolean isCompleted() {
        return completed.get();
    }

    boolean hasStarted() {
        return started.get();
    }

    /** Returns the latest attempt, whether or not it still runs; null if there was none. */
    UpstreamAttempt attempt() {
        return attempt;
    }

    /** Returns the attempts that have not ended. */
    List<UpstreamAttempt> runningAttempts() {
        synchronized (race) {
            return race.all();
        }
    }

    /** Adds an attempt, beside those that still run. It resumes after the events that have been relayed so far. */
    void addAttempt(UpstreamAttempt newAttempt) {
        attempt = newAttempt;
        synchronized (race) {
            race.add(newAttempt);
        }
    }

    void removeAttempt(UpstreamAttempt ended) {
        synchronized (race) {
            race.remove(ended);
        }
    }

    /** Returns whether at most one attempt can still answer. */
    boolean runsAlone() {
        synchronized (race) {
            return race.runsAlone();
        }
    }

    /** Claims the answer for an attempt, before it ends the response. */
    AttemptRace.Claim claim(UpstreamAttempt claimant) {
        synchronized (race) {
            return race.claim(claimant);
        }
    }

    /** Claims the answer for an attempt that has a whole response, which cannot go on from a stream of another one. */
    AttemptRace.Claim claimUnstarted(UpstreamAttempt claimant) {
        synchronized (race) {
            return started.get() ? AttemptRace.Claim.LOST : race.claim(claimant);
        }
    }

    void watchCaller(Runnable onDisconnect) {
        endPoint.watchForDisconnect(onDisconnect);
    }

    /** Starts an event stream with status and headers of the first VM; those of other attempts are ignored. */
    void startStream(UpstreamAttempt starting, int status, HttpFields upstreamHeaders, long nowMillis) {
        synchronized (race) {
            if (race.isBeaten(starting) || !started.compareAndSet(false, true)) {
                return;
            }
            streamStartMillis = nowMillis;
            setHead(status, upstreamHeaders);
            // Without chunked encoding the end of the connection would end the response, so an abort would look
            // complete.
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
        }
    }

    /** Claims the answer for an attempt and, unless another one has it, queues events for the caller. */
    AttemptRace.Claim queueEvents(
            UpstreamAttempt writing, ByteBuffer events, Optional<String> lastId, Runnable onWritten) {
        synchronized (race) {
            AttemptRace.Claim claim = race.claim(writing);
            if (claim != AttemptRace.Claim.LOST) {
                lastId.ifPresent(id -> lastEventId = id);
                written.set(true);
                writer.queue(events, onWritten);
            }
            return claim;
        }
    }

    void flushEvents() {
        writer.flush();
    }

    void endStream() {
        if (complete()) {
            endPoint.stopWatching();
            writer.end(null);
        }
    }

    /** Marks the exchange as completed, after which its body is not sent again; returns false if it was. */
    private boolean complete() {
        if (!completed.compareAndSet(false, true)) {
            return false;
        }
        body.release();
        return true;
    }

    /** Counts the size of the response until the caller has read it or its connection has been closed. */
    void holdAnswer(CallerResources resources, int sizeBytes) {
        UnreadAnswer held = new UnreadAnswer(resources, endPoint, sizeBytes, () -> recordCut(AnswerCut.CURBED));
        answer = held;
        held.hold();
        if (request.getConnectionMetaData().getConnection() instanceof CallerConnection connection) {
            connection.setHolder(held);
        }
        if (completed.get()) {
            releaseAnswer();
        }
    }

    private void releaseAnswer() {
        UnreadAnswer held = answer;
        if (held != null) {
            held.release();
        }
    }

    /** Sends the complete response of a VM to the caller. */
    void sendUpstreamResponse(int status, HttpFields upstreamHeaders, byte[] responseBody) {
        if (complete()) {
            started.set(true);
            endPoint.stopWatching();
            setHead(status, upstreamHeaders);
            if (!HttpStatus.hasNoBody(status)) {
                response.getHeaders().put(HttpHeader.CONTENT_LENGTH, responseBody.length);
            }
            written.set(true);
            writer.end(ByteBuffer.wrap(responseBody));
        }
    }

    private void setHead(int status, HttpFields upstreamHeaders) {
        response.setStatus(status);
        HttpFields.Mutable headers = response.getHeaders();
        List<String> connectionOptions = upstreamHeaders.getCSV(HttpHeader.CONNECTION, false);
        for (HttpField field : upstreamHeaders) {
            String lower = field.getLowerCaseName();
            if (!CONNECTION_HEADERS.contains(lower)
                    && connectionOptions.stream().noneMatch(lower::equalsIgnoreCase)) {
                headers.add(field);
            }
        }
        addConnectionClose();
    }

    private void addConnectionClose() {
        if (closeConnection) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        }
    }

    /** Responds that the request did not run, and when to retry. */
    void refuse(RefusalReason reason, long retryAfterMillis) {
        String retryAfterSeconds = String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND);
        sendError(HttpStatus.SERVICE_UNAVAILABLE_503, reason.toString(), Optional.of(retryAfterSeconds));
    }

    /** Ends a request that may have run: with an error response, or by an abort if part of a response has been written. */
    void fail(RefusalReason reason) {
        if (written.get()) {
            if (complete()) {
                recordCut(AnswerCut.of(reason));
                endPoint.stopWatching();
                writer.abort(new QuietException.RuntimeException("response aborted: " + reason));
            }
            return;
        }
        sendError(
                reason == RefusalReason.TIMEOUT ? HttpStatus.GATEWAY_TIMEOUT_504 : HttpStatus.BAD_GATEWAY_502,
                reason.toString(),
                Optional.empty());
    }

    private void sendError(int status, String reason, Optional<String> retryAfterSeconds) {
        if (!complete()) {
            return;
        }
        started.set(true);
        endPoint.stopWatching();
        response.reset();
        byte[] text = ("{\"error\":\"" + reason.toLowerCase(Locale.ROOT) + "\"}").getBytes(StandardCharsets.UTF_8);
        response.setStatus(status);
        response.getHeaders().put(headerNames.requestId(), requestId);
        NodeAttempt.markOwnAnswer(request, response.getHeaders());
        retryAfterSeconds.ifPresent(seconds -> response.getHeaders().put(HttpHeader.RETRY_AFTER, seconds));
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, text.length);
        addConnectionClose();
        written.set(true);
        writer.end(ByteBuffer.wrap(text));
    }

    /** Ends the exchange of a caller that has disconnected. */
    void abortForDisconnect() {
        if (complete()) {
            writer.abort(new QuietException.RuntimeException("the caller has disconnected"));
        }
    }

    /** Closes the connection of a caller whose answer could not be written, also if the attempt to write it was made. */
    void abortForFailure() {
        complete();
        recordCut(AnswerCut.FAILURE);
        writer.abort(new QuietException.RuntimeException("the answer could not be written"));
    }

    /** Records, once, that the node closes the connection before the whole answer has been written. */
    void recordCut(AnswerCut cause) {
        if (cut.compareAndSet(false, true)) {
            answers.recordCut(requestId, cause, written.get());
        }
    }

    /** Completion of the last write, or its failure. */
    private final class Completion extends Callback.Nested {
        Completion(Callback callback) {
            super(callback);
        }

        @Override
        public void failed(Throwable cause) {
            if (cause instanceof TimeoutException || cause.getCause() instanceof TimeoutException) {
                recordCut(AnswerCut.UNREAD);
            }
            super.failed(cause);
        }

        @Override
        public void completed() {
            answers.ended(Exchange.this);
            releaseAnswer();
        }
    }
}
