package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.misc.HostPort;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** HTTP server of a node in relay mode, with ports for callers, readiness checks, peers and metrics. */
final class RelayServer {
    private static final int HEADER_BYTES = 16 * 1024;
    private static final int BUFFER_BYTES = 4 * 1024;

    /** Idle timeout until a catalogue sets one for callers. */
    private static final long IDLE_TIMEOUT_MILLIS = 15_000;

    /** Size of the queue of connections to accept; connecting takes callers seconds if the queue is full. */
    private static final int ACCEPT_QUEUE = 1_024;

    /** Interval of checks for heads that take too long; a part of the time that they may take. */
    private static final long HEAD_CHECK_MILLIS = 500;

    private final Server server;
    private final CallerResources resources;
    private final CallerConnector callers;
    private final ServerConnector readiness;
    private final IngressHandler ingress;
    private final Heartbeats heartbeats;
    private final CataloguePull cataloguePull;
    private final NodeStatus status;
    private final ExplainHandler explain;
    private final MetricRegistry metrics;

    RelayServer(
            RelaySettings settings,
            QueuedThreadPool threads,
            IngressHandler ingress,
            Heartbeats heartbeats,
            CataloguePull cataloguePull,
            NodeStatus status,
            ExplainHandler explain,
            MetricRegistry metrics,
            CatalogueHolder catalogues,
            CallerResources resources) {
        this.ingress = ingress;
        this.heartbeats = heartbeats;
        this.cataloguePull = cataloguePull;
        this.status = status;
        this.explain = explain;
        this.metrics = metrics;
        server = new Server(threads);
        this.resources = resources;
        HttpConfiguration callerHttp = configuration();
        callers =
                new CallerConnector(server, new CallerConnectionFactory(callerHttp, resources), resources.lingering());
        listen(callers, settings.callerAddress());
        readiness = connector(settings.readinessAddress());
        connector(settings.peerAddress());
        connector(HostPort.parse(settings.peerAddress()).host() + ":" + settings.metricsPort());
        server.setHandler(new PortRouter());
        server.setErrorHandler(new JettyErrorHandler());
        catalogues.subscribe(catalogue -> {
            callerHttp.setRequestHeaderSize(catalogue.callerLimits().headBytes());
            resources.setHeadTimeout(catalogue.callerLimits().headerTimeoutMillis());
            if (catalogue.callerLimits().idleTimeoutMillis() > 0) {
                callers.setIdleTimeout(catalogue.callerLimits().idleTimeoutMillis());
            }
        });
    }

    private static HttpConnectionFactory http() {
        return new HttpConnectionFactory(configuration());
    }

    private static HttpConfiguration configuration() {
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(HEADER_BYTES);
        http.setHeaderCacheSize(0);
        http.setSendServerVersion(false);
        http.setSendDateHeader(false);
        http.setOutputBufferSize(BUFFER_BYTES);
        http.setInputBufferSize(BUFFER_BYTES);
        http.setUriCompliance(UriCompliance.UNSAFE);
        return http;
    }

    private ServerConnector connector(String address) {
        ServerConnector connector = new ServerConnector(server, 0, 1, http());
        listen(connector, address);
        return connector;
    }

    private void listen(ServerConnector connector, String address) {
        HostPort parts = HostPort.parse(address);
        connector.setHost(parts.host());
        connector.setPort(parts.port());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
    }

    void start() throws Exception {
        server.start();
        scheduleHeadCheck();
    }

    private void scheduleHeadCheck() {
        callers.getScheduler()
                .schedule(
                        () -> {
                            resources.closeOverdueHeads();
                            if (callers.isRunning()) {
                                scheduleHeadCheck();
                            }
                        },
                        HEAD_CHECK_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    void stop() throws Exception {
        server.stop();
    }

    private static void answer(Response response, Callback callback, int code, String text) {
        answer(response, callback, code, "text/plain", text);
    }

    /** Answers with a whole text. */
    static void answer(Response response, Callback callback, int code, String contentType, String text) {
        response.setStatus(code);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, contentType);
        response.write(true, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), callback);
    }

    /** Dispatches requests by the port on which they arrive. */
    private final class PortRouter extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            Object connector = request.getConnectionMetaData().getConnector();
            if (connector == callers) {
                return ingress.handle(request, response, callback);
            }
            if (connector == readiness) {
                boolean isReady = status.notReadyReason().isEmpty();
                answer(
                        response,
                        callback,
                        isReady ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503,
                        isReady ? "ready\n" : "not ready\n");
                return true;
            }
            return switch (request.getHttpURI().getPath()) {
                case Heartbeats.PATH -> heartbeats.handle(request, response, callback);
                case CataloguePull.PATH -> cataloguePull.handle(request, response, callback);
                case MetricsText.PATH -> {
                    answer(response, callback, HttpStatus.OK_200, MetricsText.render(metrics));
                    yield true;
                }
                case NodeStatus.PATH -> {
                    answer(response, callback, HttpStatus.OK_200, "application/json", status.json());
                    yield true;
                }
                case ExplainHandler.PATH -> explain.handle(request, response, callback);
                default -> {
                    answer(response, callback, HttpStatus.NOT_FOUND_404, "not found\n");
                    yield true;
                }
            };
        }
    }

    /** Answers requests that Jetty itself rejects; an internal error is never reported to the caller as a client error. */
    private static final class JettyErrorHandler implements Request.Handler {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            int status = response.getStatus();
            Object cause = request.getAttribute(org.eclipse.jetty.server.handler.ErrorHandler.ERROR_EXCEPTION);
            boolean callersFault = cause == null || cause instanceof org.eclipse.jetty.http.HttpException;
            if (HttpStatus.isClientError(status) && !callersFault) {
                response.setStatus(HttpStatus.INTERNAL_SERVER_ERROR_500);
            }
            response.write(true, null, callback);
            return true;
        }
    }
}
