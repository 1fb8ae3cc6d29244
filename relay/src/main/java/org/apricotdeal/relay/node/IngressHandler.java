package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.model.Customer;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.RouteEntry;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.port.ExchangeHeaders;
import org.apricotdeal.relay.port.PlatformAdapter;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Handles callers' requests: matches the route, checks the key, reads the body up to its limit, and submits the request. */
final class IngressHandler extends Handler.Abstract.NonBlocking {
    private static final String START_RETRY_SECONDS = "0.5";

    /** Short, because other nodes can serve the request. */
    private static final String STOP_RETRY_SECONDS = "0.05";

    /** About the time that callers take to send a large body. */
    private static final String BODY_RETRY_SECONDS = "1";

    /** Time in which a body has to arrive while others need its memory. */
    private static final long BODY_HOLD_MILLIS = 10_000;

    /** Content beyond the limit of a body that a caller may send after its request has been answered. */
    private static final long EXCESS_BODY_BYTES = 4 * 1024 * 1024;

    private final BufferLimit bodyLimit;
    private final CatalogueHolder catalogues;
    private final ArrivalReader reader;
    private final ExchangeHeaders headerNames;
    private final RelayDuty duty;
    private final Clock clock;
    private final AtomicLong lastId = new AtomicLong();
    private volatile boolean draining;
    private volatile long refuseFromMillis = Long.MAX_VALUE;

    IngressHandler(CatalogueHolder catalogues, PlatformAdapter adapter, RelayDuty duty, Clock clock) {
        this.catalogues = catalogues;
        this.reader = new ArrivalReader(adapter);
        this.headerNames = adapter.headers();
        this.duty = duty;
        this.clock = clock;
        this.bodyLimit = duty.callerResources().bodies();
    }

    /**
     * Closes connections after their next response, and rejects new requests from a later time on, so that running requests
     * can complete before the process ends.
     */
    void drain(long refuseRequestsFromMillis) {
        refuseFromMillis = refuseRequestsFromMillis;
        draining = true;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        long arrivedMillis = clock.monotonicMillis();
        if (request.getConnectionMetaData().getConnection() instanceof CallerConnection connection
                && !connection.begin(request)) {
            callback.failed(new ClosedChannelException());
            return true;
        }
        Optional<RelayCatalogue> current = catalogues.current();
        if (current.isEmpty() || arrivedMillis >= refuseFromMillis) {
            boolean starting = current.isEmpty();
            response.getHeaders().put(HttpHeader.RETRY_AFTER, starting ? START_RETRY_SECONDS : STOP_RETRY_SECONDS);
            answer(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503, starting ? "starting" : "stopping");
            return true;
        }
        RelayCatalogue catalogue = current.get();
        String path = request.getHttpURI().getPath();
        Optional<RouteEntry> route = catalogue.route(host(request), path == null ? "" : path);
        if (route.isEmpty()) {
            answer(response, callback, HttpStatus.NOT_FOUND_404, "no route");
            return true;
        }
        Optional<Customer> customer = reader.customer(request.getHeaders()::get, catalogue);
        if (catalogue.keysRequired() && !route.get().keyless() && customer.isEmpty()) {
            answer(response, callback, HttpStatus.UNAUTHORIZED_401, "unknown key");
            return true;
        }
        if (request.getLength() > catalogue.callerLimits().maxBodyBytes()) {
            answer(response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413, "body too long");
            return true;
        }
        Arrival arrival = reader.arrival(
                new ExchangeId(lastId.incrementAndGet()),
                request.getHeaders()::get,
                catalogue,
                route.get(),
                duty.chooseUpstream(route.get()),
                customer,
                arrivedMillis);
        new BodyReader(
                        request,
                        response,
                        callback,
                        arrival,
                        catalogue.callerLimits().maxBodyBytes())
                .start();
        return true;
    }

    private static String host(Request request) {
        String host = Request.getServerName(request);
        return host == null ? "" : host;
    }

    private void answer(Response response, Callback callback, int status, String reason) {
        response.setStatus(status);
        NodeAttempt.markOwnAnswer(response.getRequest(), response.getHeaders());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        BodyDrain drain = new BodyDrain(response.getRequest(), maxDiscardedBytes(), clock);
        boolean bodyComplete = drain.discardArrived();
        // A connection whose body has not arrived is closed; unless that is announced, the caller's next request is
        // lost.
        if (draining || !bodyComplete) {
            response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
        }
        duty.answers().recordImmediate(status, reason, bodyComplete);
        byte[] body = ("{\"error\":\"" + reason.toLowerCase(Locale.ROOT) + "\"}").getBytes(StandardCharsets.UTF_8);
        duty.responseExpected();
        Callback written = Callback.from(callback, duty::responseWritten);
        response.write(true, ByteBuffer.wrap(body), bodyComplete ? written : drain.thenComplete(written));
    }

    private long maxDiscardedBytes() {
        long maxBodyBytes = catalogues
                .current()
                .map(catalogue -> catalogue.callerLimits().maxBodyBytes())
                .orElse(0L);
        return Math.min(maxBodyBytes, Long.MAX_VALUE - EXCESS_BODY_BYTES) + EXCESS_BODY_BYTES;
    }

    /** Reads a body to its end without blocking and then submits the request, unless it has to give way to others. */
    private final class BodyReader implements Runnable, BufferLimit.Holder {
        private final Request request;
        private final Response response;
        private final Callback callback;
        private final Arrival arrival;
        private final long maxBytes;
        private final RequestBody body;
        private final RequestHasher hasher;
        private final AtomicBoolean reading = new AtomicBoolean(true);
        private final TransferProgress progress;

        BodyReader(Request request, Response response, Callback callback, Arrival arrival, long maxBytes) {
            this.request = request;
            this.response = response;
            this.callback = callback;
            this.arrival = arrival;
            this.maxBytes = maxBytes;
            this.body = new RequestBody(bodyLimit, maxBytes);
            this.hasher = new RequestHasher(
                    arrival.route().name(),
                    request.getMethod(),
                    request.getHttpURI().getPathQuery(),
                    arrival.customer());
            this.progress = new TransferProgress(BODY_HOLD_MILLIS, arrival.arrivedMillis());
        }

        /** Reads the body if there is memory for it; a caller whose body cannot be read is told at once. */
        void start() {
            while (!body.tryReserve(request.getLength())) {
                if (!bodyLimit.makeRoom(clock.monotonicMillis(), request.getLength())) {
                    refuse();
                    return;
                }
            }
            bodyLimit.add(this);
            reads(this);
            run();
        }

        @Override
        public long progressMillis() {
            return progress.progressMillis();
        }

        @Override
        public int heldBytes() {
            return body.reservedBytes();
        }

        @Override
        public boolean giveWay() {
            if (!reading.compareAndSet(true, false)) {
                return false;
            }
            body.release();
            duty.callerResources().record("body");
            WatchedEndPoint caller = (WatchedEndPoint)
                    request.getConnectionMetaData().getConnection().getEndPoint();
            caller.closeWith(HttpStatus.SERVICE_UNAVAILABLE_503, BODY_RETRY_SECONDS);
            return true;
        }

        /** Ends reading; returns false if the body has given way. */
        private boolean endReading() {
            bodyLimit.remove(this);
            reads(null);
            return reading.compareAndSet(true, false);
        }

        private void reads(StalledHolder holder) {
            if (request.getConnectionMetaData().getConnection() instanceof CallerConnection connection) {
                connection.setHolder(holder);
            }
        }

        private boolean add(Content.Chunk chunk) {
            int sizeBytes = body.size() + chunk.remaining();
            progress.add(chunk.remaining(), body.reservedBytes(), clock.monotonicMillis());
            hasher.add(chunk.getByteBuffer());
            while (!body.add(chunk.getByteBuffer())) {
                if (!reading.get() || !bodyLimit.makeRoom(clock.monotonicMillis(), sizeBytes)) {
                    return false;
                }
            }
            return true;
        }

        private void refuse() {
            body.release();
            duty.callerResources().record("body");
            response.getHeaders().put(HttpHeader.RETRY_AFTER, BODY_RETRY_SECONDS);
            answer(response, callback, HttpStatus.SERVICE_UNAVAILABLE_503, "too many bodies");
        }

        @Override
        public void run() {
            while (true) {
                Content.Chunk chunk = request.read();
                if (chunk == null) {
                    request.demand(this);
                    return;
                }
                if (Content.Chunk.isFailure(chunk)) {
                    endReading();
                    body.release();
                    callback.failed(chunk.getFailure());
                    return;
                }
                boolean tooLarge = body.size() + chunk.remaining() > maxBytes;
                boolean added = !tooLarge && add(chunk);
                boolean last = chunk.isLast();
                chunk.release();
                if (!tooLarge && added && !last) {
                    continue;
                }
                if (!endReading()) {
                    callback.failed(new IllegalStateException("the body has given way to others"));
                    return;
                }
                if (tooLarge) {
                    body.release();
                    answer(response, callback, HttpStatus.PAYLOAD_TOO_LARGE_413, "body too long");
                    return;
                }
                if (!added) {
                    refuse();
                    return;
                }
                submit();
                return;
            }
        }

        private void submit() {
            duty.responseExpected();
            Callback written = Callback.from(callback, duty::responseWritten);
            Exchange exchange = new Exchange(
                    arrival.withDigest(hasher.digest()),
                    request,
                    response,
                    written,
                    body,
                    headerNames,
                    draining,
                    duty.answers());
            exchange.watchCaller(() -> duty.callerDisconnected(exchange));
            duty.submit(exchange);
        }
    }
}
