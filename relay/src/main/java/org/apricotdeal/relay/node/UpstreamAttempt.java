package org.apricotdeal.relay.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.misc.HostPort;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.model.RouteEntry;
import org.apricotdeal.relay.policy.AttemptId;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.port.ExchangeHeaders;
import org.eclipse.jetty.client.ByteBufferRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;

/**
 * An attempt to get the response to a request from a VM. Checks that the response comes from a VM and belongs to the request
 * before any of it is relayed. A cancelled attempt has no further effect on the exchange.
 */
class UpstreamAttempt {
    /** Maximum size of a buffered response and of a stream event. */
    private static final int MAX_BUFFERED_BYTES = 4 * 1024 * 1024;

    /**
     * Time after the first event in which the loss of the connection may still be due to the request; less than the time
     * to the second event.
     */
    private static final long MAX_BEGINNING_MILLIS = 20;

    /** Time after the deadline of a request in which its attempt has been cancelled. */
    private static final long IDLE_MARGIN_MILLIS = 1_000;

    /** The protocol knows no status above; what a VM sends with one is no answer. */
    private static final int MAX_STATUS = 599;

    private final Exchange exchange;
    private final AttemptId id;
    private final Target target;
    private final int countedAttempts;
    private final ExchangeHeaders headerNames;
    private final Predicate<FailureDomainId> evacuated;
    private final Clock clock;
    private final Listener listener;
    private final CallerResources callerResources;
    private final BufferLimit bufferLimit;
    private final FramingLimit framingLimit = new FramingLimit();
    private final EventFramer framer = new EventFramer();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private Request request;
    private UpstreamEndPoint endPoint;
    private boolean sent;
    private boolean withheld;
    private boolean ended;
    private boolean streaming;
    private boolean foreignResponse;
    private boolean answerBegun;
    private int reservedBytes;
    private volatile long progressMillis;
    private volatile long firstEventMillis = -1;
    private volatile String loadHeader = "";

    /** Receives the progress of an attempt, on client threads. */
    interface Listener {
        /**
         * Called when the head of a stream response has been received.
         *
         * @param attempt the attempt
         */
        void started(UpstreamAttempt attempt);

        /**
         * Called when the answer of an attempt is used and not that of others that run as well.
         *
         * @param attempt the attempt
         */
        void used(UpstreamAttempt attempt);

        /**
         * Called when the VM wants no requests for a while.
         *
         * @param attempt the attempt
         * @param pauseMillis time for which it wants none
         */
        void paused(UpstreamAttempt attempt, long pauseMillis);

        /**
         * Called when the response says that the VM leaves.
         *
         * @param attempt the attempt
         */
        void leaving(UpstreamAttempt attempt);

        /**
         * Called when the complete response has been passed to the caller.
         *
         * @param attempt the attempt
         * @param status HTTP status of the response
         */
        void completed(UpstreamAttempt attempt, int status);

        /**
         * Called when the attempt failed.
         *
         * @param attempt the attempt
         * @param outcome whether the request was sent and may have run
         * @param reason description of the failure
         * @param faultyAddress address of the VM of the replica that the response names as faulty
         */
        void failed(UpstreamAttempt attempt, AttemptOutcome outcome, String reason, Optional<String> faultyAddress);
    }

    UpstreamAttempt(
            Exchange exchange,
            RelayAction.Send send,
            ExchangeHeaders headerNames,
            Predicate<FailureDomainId> evacuated,
            Clock clock,
            Listener listener,
            CallerResources callerResources) {
        this.exchange = exchange;
        this.id = send.attempt();
        this.target = send.target();
        this.countedAttempts = send.countedAttempts();
        this.headerNames = headerNames;
        this.evacuated = evacuated;
        this.clock = clock;
        this.listener = listener;
        this.callerResources = callerResources;
        this.bufferLimit = callerResources.answers();
    }

    Exchange exchange() {
        return exchange;
    }

    Target target() {
        return target;
    }

    AttemptId id() {
        return id;
    }

    /** Returns the load of the VM as the head of the response reports it; empty if it does not. */
    String loadHeader() {
        return loadHeader;
    }

    /** Returns the time of the last progress; at first that of sending. */
    long progressMillis() {
        return progressMillis;
    }

    /** Returns the time since the first complete event of the answer; -1 if there was none. */
    long answeringMillis() {
        long firstMillis = firstEventMillis;
        return firstMillis < 0 ? -1 : clock.monotonicMillis() - firstMillis;
    }

    void send(UpstreamRequest.Factory requests) {
        HostPort address = HostPort.parse(target.address());
        org.eclipse.jetty.server.Request incoming = exchange.request();
        request = requests.create(address, incoming.getHttpURI().getPathQuery()).method(incoming.getMethod());
        request.headers(this::setHeaders);
        if (exchange.body().size() > 0 || incoming.getHeaders().contains(HttpHeader.CONTENT_LENGTH)) {
            request.body(
                    new ByteBufferRequestContent((String) null, exchange.body().content()));
        }
        // The idle timeout of pooled connections would end an answer whose VM is silent for longer.
        request.idleTimeout(remainingMillis() + IDLE_MARGIN_MILLIS, TimeUnit.MILLISECONDS);
        request.onRequestBegin(this::begin);
        request.onResponseHeaders(this::onHeaders);
        request.onResponseContentAsync(this::onContent);
        progressMillis = clock.monotonicMillis();
        request.send(this::complete);
    }

    /** Sets the headers of the request: those of the caller, but for those of its connection, and those of this node. */
    void setHeaders(HttpFields.Mutable headers) {
        copyHeaders(headers);
        headers.remove(HttpHeader.AUTHORIZATION);
        headers.remove(headerNames.customer());
        headers.remove(NodeAttempt.HOP_HEADER);
        headers.put(headerNames.targetVm(), target.id().vm().value());
        headers.put(
                headerNames.priority(),
                Integer.toString(Math.clamp(exchange.arrival().priority(), 0, 9)));
        if (!exchange.arrival().customer().isEmpty()) {
            headers.put(headerNames.customer(), exchange.arrival().customer());
        }
    }

    /** Copies the caller's headers, but for those of its connection, with the time and the stream position as they are now. */
    final void copyHeaders(HttpFields.Mutable headers) {
        HttpFields incoming = exchange.request().getHeaders();
        var connectionOptions = incoming.getCSV(HttpHeader.CONNECTION, false);
        for (HttpField field : incoming) {
            String lower = field.getLowerCaseName();
            if (!Exchange.CONNECTION_HEADERS.contains(lower)
                    && connectionOptions.stream().noneMatch(lower::equalsIgnoreCase)) {
                headers.add(field);
            }
        }
        headers.put(headerNames.remainingMillis(), Long.toString(remainingMillis()));
        if (exchange.lastEventId() != null) {
            headers.put(headerNames.lastEventId(), exchange.lastEventId());
        }
    }

    private long remainingMillis() {
        return Math.max(1, exchange.arrival().deadlineMillis() - clock.monotonicMillis());
    }

    /** Called when a connection is there, for which the attempt may have waited, and before any byte is written. */
    private synchronized void begin(Request begun) {
        if (evacuated.test(target.failureDomain())) {
            withheld = true;
            abort(begun, "the failure domain is evacuated");
            return;
        }
        sent = true;
        if (begun.getConnection() instanceof org.eclipse.jetty.io.Connection connection
                && connection.getEndPoint() instanceof UpstreamEndPoint upstream) {
            endPoint = upstream;
            endPoint.startResponse(framingLimit);
        }
    }

    private void endResponse() {
        releaseReserved();
        if (endPoint != null) {
            endPoint.endResponse(framingLimit);
        }
    }

    /** Cancels the attempt: closes its connection and ignores all that is received later. */
    void cancel() {
        synchronized (this) {
            ended = true;
            endResponse();
        }
        exchange.removeAttempt(this);
        // Not created if the attempt could not be sent.
        if (request != null) {
            abort(request, "cancelled");
        }
    }

    /**
     * Cancels an attempt whose sending failed with an exception.
     *
     * @return whether the request may have reached the VM
     */
    AttemptOutcome cancelFailedSend() {
        cancel();
        synchronized (this) {
            return sent ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_SENT;
        }
    }

    /** Closes the connection; has no effect if the request has already been completed. */
    private static void abort(Request sent, String reason) {
        var unused = sent.abort(new IllegalStateException(reason));
    }

    /** Returns whether a response is one to this request. */
    boolean isOwnResponse(Response response) {
        HttpFields headers = response.getHeaders();
        int status = response.getStatus();
        boolean valid = status >= HttpStatus.OK_200 && status <= MAX_STATUS;
        boolean echoed = exchange.requestId().equals(headers.get(headerNames.requestId()));
        boolean signed = headers.contains(headerNames.signature()) || !HttpStatus.isSuccess(response.getStatus());
        return valid && echoed && signed && !headers.contains(HttpHeader.CONTENT_ENCODING);
    }

    private synchronized void onHeaders(Response response) {
        if (ended) {
            return;
        }
        progressMillis = clock.monotonicMillis();
        if (!isOwnResponse(response)) {
            foreignResponse = true;
            abort(response.getRequest(), "not a response to this request");
            return;
        }
        reportVmState(response);
        loadHeader = Objects.requireNonNullElse(response.getHeaders().get(headerNames.load()), "");
        RouteEntry route = exchange.arrival().route();
        streaming = route.retrySafety() == RetrySafety.STREAM && response.getStatus() == HttpStatus.OK_200;
        answerBegun = !streaming;
        if (streaming) {
            exchange.startStream(this, response.getStatus(), response.getHeaders(), clock.monotonicMillis());
            listener.started(this);
        }
    }

    /** Tells the listener what a VM says of itself beside its answer. */
    void reportVmState(Response response) {
        if (response.getStatus() == HttpStatus.MISDIRECTED_REQUEST_421) {
            return;
        }
        if (response.getHeaders().contains(headerNames.leaving())) {
            listener.leaving(this);
        }
        if (response.getStatus() == HttpStatus.SERVICE_UNAVAILABLE_503) {
            RetryAfter.parseMillis(response.getHeaders().get(HttpHeader.RETRY_AFTER))
                    .ifPresent(pauseMillis -> listener.paused(this, pauseMillis));
        }
    }

    private void onContent(Response response, Content.Chunk chunk, Runnable demandNext) {
        framingLimit.addContent(chunk.remaining());
        ByteBuffer events = null;
        AttemptRace.Claim claim = AttemptRace.Claim.LOST;
        synchronized (this) {
            if (ended || foreignResponse) {
                return;
            }
            if (streaming) {
                events = framer.feed(chunk.getByteBuffer());
                reserve(response, framer.pendingBytes());
            } else if (reserve(response, body.size() + chunk.remaining())) {
                appendToBody(chunk.getByteBuffer());
            }
            // Bytes that complete no event are no progress: a stalled VM may send one now and then.
            if (!streaming || events.hasRemaining()) {
                progressMillis = clock.monotonicMillis();
            }
            if (events != null && events.hasRemaining()) {
                if (firstEventMillis < 0) {
                    firstEventMillis = clock.monotonicMillis();
                }
                claim = exchange.queueEvents(this, events, framer.lastId(), demandNext);
            }
        }
        // Reported without the lock, which the dispatcher may wait for. Reported before the write, after which the end
        // of the answer may be found.
        if (claim != AttemptRace.Claim.LOST && mayAnswer(claim)) {
            exchange.flushEvents();
            return;
        }
        demandNext.run();
    }

    /** Returns whether the caller gets the answer of this attempt; reports it if others run as well. */
    private boolean mayAnswer(AttemptRace.Claim claim) {
        return switch (claim) {
            case UNCONTESTED -> true;
            case WON -> {
                listener.used(this);
                yield true;
            }
            case LOST -> false;
        };
    }

    private void appendToBody(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        body.writeBytes(copy);
    }

    /** Adjusts the reserved bytes to the buffer size; aborts the attempt and returns false if a limit is exceeded. */
    private boolean reserve(Response response, int neededBytes) {
        boolean reserved = neededBytes <= MAX_BUFFERED_BYTES && tryReserve(neededBytes);
        if (reserved) {
            reservedBytes = neededBytes;
        } else {
            abort(response.getRequest(), "the response is too large");
        }
        return reserved;
    }

    private boolean tryReserve(int neededBytes) {
        while (!bufferLimit.tryReserve(neededBytes - reservedBytes, neededBytes)) {
            if (!bufferLimit.makeRoom(clock.monotonicMillis(), neededBytes)) {
                return false;
            }
        }
        return true;
    }

    private void releaseReserved() {
        bufferLimit.release(reservedBytes);
        reservedBytes = 0;
    }

    private void complete(Result result) {
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            endResponse();
        }
        Response response = result.getResponse();
        if (foreignResponse) {
            fail(AttemptOutcome.BROKEN, "response to a different request", response);
        } else if (result.isFailed()) {
            fail(outcomeOf(result.getFailure()), result.getFailure().getClass().getSimpleName(), response);
        } else if (streaming) {
            completeStream(response);
        } else {
            completeResponse(response);
        }
    }

    private AttemptOutcome outcomeOf(Throwable failure) {
        if (!sent) {
            return withheld ? AttemptOutcome.WITHHELD : AttemptOutcome.NOT_SENT;
        }
        boolean connectionEnded = failure instanceof IOException
                && !(failure instanceof InterruptedIOException)
                && !(failure instanceof FramingLimit.ExceededException);
        return connectionEnded ? outcomeOfLostConnection() : AttemptOutcome.BROKEN;
    }

    private AttemptOutcome outcomeOfLostConnection() {
        boolean beginning = !answerBegun && answeringMillis() < MAX_BEGINNING_MILLIS;
        return beginning ? AttemptOutcome.LOST_BEFORE_ANSWER : AttemptOutcome.BROKEN;
    }

    private void completeStream(Response response) {
        if (framer.hasPartialEvent()) {
            fail(outcomeOfLostConnection(), "the stream ended within an event", response);
            return;
        }
        if (isCutBeforeFirstEvent(response)) {
            fail(outcomeOfLostConnection(), "the stream ended before its first event", response);
            return;
        }
        if (mayAnswer(exchange.claim(this))) {
            exchange.endStream();
            listener.completed(this, response.getStatus());
        }
    }

    /** Returns whether a stream without events ended with its connection; only a resumed one may have none left. */
    private boolean isCutBeforeFirstEvent(Response response) {
        HttpFields headers = response.getHeaders();
        return firstEventMillis < 0
                && exchange.lastEventId() == null
                && !headers.contains(HttpHeader.CONTENT_LENGTH)
                && !headers.contains(HttpHeader.TRANSFER_ENCODING);
    }

    private void completeResponse(Response response) {
        int status = response.getStatus();
        if (isNotRun(response)) {
            fail(AttemptOutcome.NOT_RUN, "status " + status + " not run", response);
            return;
        }
        boolean serverError = status >= HttpStatus.INTERNAL_SERVER_ERROR_500;
        boolean retry = serverError && exchange.arrival().route().retryable() && mayBeAnsweredOtherwise();
        if (retry || !mayAnswer(exchange.claimUnstarted(this))) {
            fail(AttemptOutcome.BROKEN, "status " + status, response);
            return;
        }
        byte[] content = body.toByteArray();
        // The exchange keeps its attempt while a slow caller reads.
        body = new ByteArrayOutputStream(0);
        exchange.holdAnswer(callerResources, content.length);
        exchange.sendUpstreamResponse(status, response.getHeaders(), content);
        listener.completed(this, status);
    }

    /** Returns whether a response says that the request has not run. */
    boolean isNotRun(Response response) {
        return response.getHeaders().contains(headerNames.notRun())
                || response.getStatus() == HttpStatus.MISDIRECTED_REQUEST_421;
    }

    private boolean mayBeAnsweredOtherwise() {
        return countedAttempts < exchange.arrival().route().maxAttempts() || !exchange.runsAlone();
    }

    private void fail(AttemptOutcome outcome, String reason, Response response) {
        Optional<String> faultyAddress = Optional.ofNullable(response)
                .map(received -> received.getHeaders().get(headerNames.faultyAddress()));
        exchange.removeAttempt(this);
        listener.failed(this, outcome, reason, faultyAddress);
    }
}
