package org.apricotdeal.standins.server;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** HTTP server of one stand-in. Stopping it closes its ports and cuts every connection, as the loss of a VM does. */
public final class StandinServer implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int SELECTORS = 1;
    private static final int BACKLOG_CONNECTIONS = 1024;

    private final Server server;

    private StandinServer(Server server) {
        this.server = server;
    }

    /**
     * Starts a server.
     *
     * @param threads shared threads
     * @param host address to listen on
     * @param ports ports to listen on
     * @param idleTimeoutMillis idle connections are closed after this time
     * @param handler handles the requests
     * @return the started server
     */
    public static StandinServer start(
            StandinThreads threads, String host, List<Integer> ports, long idleTimeoutMillis, StandinHandler handler) {
        Server server = new Server(threads.pool(), threads.jettyScheduler(), threads.buffers());
        for (int port : ports) {
            HttpConfiguration configuration = new HttpConfiguration();
            configuration.setSendServerVersion(false);
            configuration.setSendDateHeader(false);
            ServerConnector connector = new ServerConnector(
                    server, null, null, null, 0, SELECTORS, new HttpConnectionFactory(configuration));
            connector.setHost(host);
            connector.setPort(port);
            connector.setIdleTimeout(idleTimeoutMillis);
            connector.setAcceptQueueSize(BACKLOG_CONNECTIONS);
            server.addConnector(connector);
        }
        return start(server, new ExchangeHandler(handler), "a stand-in can't listen on " + host + " " + ports);
    }

    /**
     * Starts a server with threads of its own on a free port of the loopback address.
     *
     * @param handler handles the requests
     * @return the started server
     */
    public static StandinServer start(Handler handler) {
        Server server = new Server();
        ServerConnector connector = new ServerConnector(server);
        connector.setHost(LOOPBACK);
        server.addConnector(connector);
        return start(server, handler, "a stand-in can't listen on " + LOOPBACK);
    }

    private static StandinServer start(Server server, Handler handler, String failure) {
        server.setStopTimeout(0);
        server.setHandler(handler);
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException(failure, e);
        }
        return new StandinServer(server);
    }

    /**
     * Answers a request at once.
     *
     * @param response the response
     * @param callback the request's callback
     * @param status status code
     * @param body the body
     */
    public static void reply(Response response, Callback callback, int status, String body) {
        response.setStatus(status);
        response.write(true, StandardCharsets.UTF_8.encode(body), callback);
    }

    /**
     * Returns where a server on the loopback address listens.
     *
     * @return host and port
     */
    public String loopbackAddress() {
        return LOOPBACK + ":" + port();
    }

    /**
     * Returns the first port.
     *
     * @return the port listened on, also where the settings left its choice to the system
     */
    public int port() {
        return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("a stand-in's server could not be stopped", e);
        }
    }

    /** Hands each request to the stand-in. */
    private static final class ExchangeHandler extends Handler.Abstract {
        private final StandinHandler handler;

        ExchangeHandler(StandinHandler handler) {
            this.handler = handler;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Exchange exchange = new Exchange(request, response, callback);
            try {
                handler.handle(exchange);
            } catch (IOException | IllegalArgumentException e) {
                exchange.refuse(400, e.getMessage());
            }
            return true;
        }
    }
}
