package org.apricotdeal.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.settings.NodeSettings;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** The HTTP servers of a node: one port for callers, another one for peers and operators. */
final class NodeServer {
    private static final int MAX_THREADS = 64;

    private final Server callers;
    private final Server peers;

    NodeServer(NodeKernel kernel) {
        NodeSettings settings = kernel.settings();
        callers = server("callers", settings, settings.node().callerPort(), kernel.callerRoutes());
        peers = server("peers", settings, settings.node().peerPort(), kernel.peerRoutes());
    }

    private static Server server(String name, NodeSettings settings, int port, List<NodeKernel.HttpRoute> routes) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        threads.setName(name);
        Server server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setRequestHeaderSize(settings.http().maxHeaderBytes());
        http.setSendServerVersion(false);
        http.setIdleTimeout(settings.http().idleTimeoutMillis());
        ServerConnector connector =
                new ServerConnector(server, new HttpConnectionFactory(http), new HTTP2CServerConnectionFactory(http));
        connector.setHost(settings.node().host());
        connector.setPort(port);
        connector.setIdleTimeout(settings.http().idleTimeoutMillis());
        server.addConnector(connector);
        server.setHandler(new PrefixRouter(routes));
        return server;
    }

    void start() throws Exception {
        peers.start();
        callers.start();
    }

    int callerPort() {
        return port(callers);
    }

    int peerPort() {
        return port(peers);
    }

    private static int port(Server server) {
        return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
    }

    void stop() throws Exception {
        callers.stop();
        peers.stop();
    }

    /** Passes a request to the handler with the longest matching prefix. */
    private static final class PrefixRouter extends Handler.Sequence {
        private final List<NodeKernel.HttpRoute> routes;

        PrefixRouter(List<NodeKernel.HttpRoute> routes) {
            super(routes.stream().map(NodeKernel.HttpRoute::handler).toList());
            this.routes = new ArrayList<>(routes);
            this.routes.sort(Comparator.comparingInt(
                    (NodeKernel.HttpRoute route) -> -route.prefix().length()));
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            String path = Request.getPathInContext(request);
            for (NodeKernel.HttpRoute route : routes) {
                if (path.startsWith(route.prefix())) {
                    return route.handler().handle(request, response, callback);
                }
            }
            return false;
        }
    }
}
