package org.apricotdeal.relay.node;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.HostPort;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.model.RouteEntry;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.port.ExchangeHeaders;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;

/**
 * One sending of a request to a VM. Checks that the answer is the VM's and belongs to the request before a byte of it is
 * passed on. Once cut off, it has no effect on the exchange any more.
 */
final class UpstreamAttempt {
    /** Longest answer that is held back until it is whole, and longest event of a stream; a quarter of all held bytes. */
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    private final Exchange exchange;
    private final Target target;
    private final int number;
    private final ExchangeHeaders names;
    private final Clock clock;
    private final Listener listener;
    private final HeldBytes held;
    private final EventFramer framer = new EventFramer();
    private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
    private Request request;
    private boolean sent;
    private boolean cutOff;
    private boolean streaming;
    private boolean notThisAnswer;
    private int heldBytes;

    /** Takes what becomes of an attempt, on a thread of the client. */
    interface Listener {
        /**
         * The first bytes of the answer are there.
         *
         * @param attempt the attempt
         */
        void started(UpstreamAttempt attempt);

        /**
         * The caller has its answer.
         *
         * @param attempt the attempt
         * @param status the VM's status
         */
        void answered(UpstreamAttempt attempt, int status);

        /**
         * The attempt ended without an answer for the caller.
         *
         * @param attempt the attempt
         * @param outcome how
         * @param reason what was seen
         * @param faultyVm VM of the replica that the answer named as unable to work
         */
        void failed(UpstreamAttempt attempt, AttemptOutcome outcome, String reason, Optional<VmId> faultyVm);
    }

    UpstreamAttempt(
            Exchange exchange,
            Target target,
            int number,
            ExchangeHeaders names,
            Clock clock,
            Listener listener,
            HeldBytes held) {
        this.exchange = exchange;
        this.target = target;
        this.number = number;
        this.names = names;
        this.clock = clock;
        this.listener = listener;
        this.held = held;
    }

    Exchange exchange() {
        return exchange;
    }

    Target target() {
        return target;
    }

    int number() {
        return number;
    }

    void send(HttpClient client) {
        HostPort address = HostPort.parse(target.address());
        org.eclipse.jetty.server.Request incoming = exchange.request();
        request = client.newRequest(address.host(), address.port())
                .method(incoming.getMethod())
                .path(incoming.getHttpURI().getPathQuery());
        request.headers(this::copyHeaders);
        if (exchange.body().length > 0 || incoming.getHeaders().contains(HttpHeader.CONTENT_LENGTH)) {
            request.body(new BytesRequestContent((String) null, exchange.body()));
        }
        request.onRequestBegin(begun -> markSent());
        request.onResponseHeaders(this::takeHeaders);
        request.onResponseContentAsync(this::takeContent);
        exchange.progressed(clock.monotonicMillis());
        request.send(this::complete);
    }

    private void copyHeaders(HttpFields.Mutable headers) {
        HttpFields incoming = exchange.request().getHeaders();
        var dropped = incoming.getCSV(HttpHeader.CONNECTION, false);
        for (HttpField field : incoming) {
            String lower = field.getLowerCaseName();
            if (!Exchange.CONNECTION_HEADERS.contains(lower)
                    && dropped.stream().noneMatch(lower::equalsIgnoreCase)
                    && !field.is(HttpHeader.AUTHORIZATION.asString())
                    && !field.is(names.customer())
                    && !field.is(names.targetVm())
                    && !field.is(names.urgency())
                    && !field.is(names.remainingMillis())) {
                headers.add(field);
            }
        }
        long remainingMillis = Math.max(1, exchange.arrival().deadlineMillis() - clock.monotonicMillis());
        headers.put(names.remainingMillis(), Long.toString(remainingMillis));
        headers.put(names.targetVm(), target.id().vm().value());
        headers.put(
                names.urgency(), Integer.toString(Math.clamp(exchange.arrival().priority(), 0, 9)));
        if (!exchange.arrival().customer().isEmpty()) {
            headers.put(names.customer(), exchange.arrival().customer());
        }
        if (exchange.lastEventId() != null) {
            headers.put(names.lastEventId(), exchange.lastEventId());
        }
    }

    private synchronized void markSent() {
        sent = true;
    }

    /** Ends the attempt: its connection is closed, and nothing that still comes of it counts. */
    void cutOff() {
        synchronized (this) {
            cutOff = true;
            releaseHeld();
        }
        abort(request, "cut off");
    }

    /** Closes the connection; whether Jetty still found something to abort makes no difference. */
    private static void abort(Request sent, String reason) {
        var unused = sent.abort(new IllegalStateException(reason));
    }

    private boolean isOwnAnswer(Response response) {
        HttpFields headers = response.getHeaders();
        boolean echoed = exchange.requestId().equals(headers.get(names.requestId()));
        boolean signed = headers.contains(names.signature()) || !HttpStatus.isSuccess(response.getStatus());
        return echoed && signed && !headers.contains(HttpHeader.CONTENT_ENCODING);
    }

    private synchronized void takeHeaders(Response response) {
        if (cutOff) {
            return;
        }
        exchange.progressed(clock.monotonicMillis());
        if (!isOwnAnswer(response)) {
            notThisAnswer = true;
            abort(response.getRequest(), "not the answer to this request");
            return;
        }
        RouteEntry route = exchange.arrival().route();
        streaming = route.retrySafety() == RetrySafety.STREAM && response.getStatus() == HttpStatus.OK_200;
        if (streaming) {
            exchange.beginStream(response.getStatus(), response.getHeaders(), clock.monotonicMillis());
            listener.started(this);
        }
    }

    private void takeContent(Response response, Content.Chunk chunk, Runnable demander) {
        ByteBuffer events = null;
        synchronized (this) {
            if (cutOff || notThisAnswer) {
                return;
            }
            exchange.progressed(clock.monotonicMillis());
            if (streaming) {
                events = framer.feed(chunk.getByteBuffer());
                hold(response, framer.pendingBytes());
            } else if (hold(response, whole.size() + chunk.remaining())) {
                keep(chunk.getByteBuffer());
            }
            if (events != null && events.hasRemaining()) {
                exchange.passEvents(events, framer.lastId(), demander);
                return;
            }
        }
        demander.run();
    }

    private void keep(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        whole.writeBytes(copy);
    }

    /** Accounts for the bytes held now; ends the attempt and returns false where they are too many. */
    private boolean hold(Response response, int nowBytes) {
        boolean room = nowBytes <= MAX_ANSWER_BYTES && held.tryHold(nowBytes - heldBytes);
        if (room) {
            heldBytes = nowBytes;
        } else {
            abort(response.getRequest(), "the answer is too long");
        }
        return room;
    }

    private void releaseHeld() {
        held.release(heldBytes);
        heldBytes = 0;
    }

    private void complete(Result result) {
        synchronized (this) {
            if (cutOff) {
                return;
            }
            cutOff = true;
            releaseHeld();
        }
        Response response = result.getResponse();
        if (notThisAnswer) {
            fail(AttemptOutcome.BROKEN, "an answer to another request", response);
        } else if (result.isFailed()) {
            fail(
                    sent ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_SENT,
                    result.getFailure().getClass().getSimpleName(),
                    response);
        } else if (streaming) {
            completeStream(response);
        } else {
            completeWhole(response);
        }
    }

    private void completeStream(Response response) {
        if (framer.midEvent()) {
            fail(AttemptOutcome.BROKEN, "the stream ended within an event", response);
            return;
        }
        exchange.endStream();
        listener.answered(this, response.getStatus());
    }

    private void completeWhole(Response response) {
        int status = response.getStatus();
        if (response.getHeaders().contains(names.notRun()) || status == HttpStatus.MISDIRECTED_REQUEST_421) {
            fail(AttemptOutcome.NOT_RUN, "status " + status + " not run", response);
            return;
        }
        boolean failedThere = status >= HttpStatus.INTERNAL_SERVER_ERROR_500;
        if (exchange.hasBegun() || (failedThere && exchange.arrival().route().retryable() && mayRepeat())) {
            fail(AttemptOutcome.BROKEN, "status " + status, response);
            return;
        }
        exchange.passAnswer(status, response.getHeaders(), whole.toByteArray());
        listener.answered(this, status);
    }

    private boolean mayRepeat() {
        return number < exchange.arrival().route().maxAttempts();
    }

    private void fail(AttemptOutcome outcome, String reason, Response response) {
        Optional<VmId> faulty = response == null
                ? Optional.empty()
                : Optional.ofNullable(response.getHeaders().get(names.faultyVm()))
                        .filter(Names::isValid)
                        .map(VmId::new);
        listener.failed(this, outcome, reason, faulty);
    }
}
