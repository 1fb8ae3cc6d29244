package org.apricotdeal.relay.node;

import com.codahale.metrics.Counter;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.util.SocketAddressResolver;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** Creates the HTTP client for outgoing calls in relay mode, and the thread pool that it shares with the server. */
final class RelayClients {
    /** Enough for the concurrent requests of a node to a VM, and for reports and orders. */
    private static final int MAX_CONNECTIONS_PER_ADDRESS = 24;

    /** Enough for the concurrent streams of a small node. */
    private static final int MAX_CONNECTIONS_PER_PARTNER = 192;

    private static final int MAX_QUEUED_PER_ADDRESS = 64;
    private static final int MIN_THREADS = 4;
    private static final int MAX_THREADS = 12;
    private static final int BUFFER_BYTES = 4 * 1024;

    /** Maximum size of the response headers, equal to that of the request headers. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    /** Short, because all addresses are within the same network. */
    static final long CONNECT_TIMEOUT_MILLIS = 500;

    /** Below the idle timeouts of VMs, which are set in whole seconds, so that VMs do not close pooled connections. */
    private static final long IDLE_CONNECTION_MILLIS = 4_000;

    private RelayClients() {}

    static QueuedThreadPool newThreadPool() {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setReservedThreads(1);
        threads.setName("io");
        threads.setDaemon(true);
        return threads;
    }

    /** Starts the client for requests that are handed over to other nodes: all those of a node may run at one of them. */
    static HttpClient startPartnerClient(QueuedThreadPool threads, Counter opened) {
        HttpClient client = startClient(threads, new UpstreamConnector(opened));
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_PARTNER);
        return client;
    }

    static HttpClient startClient(QueuedThreadPool threads, UpstreamConnector connector) {
        connector.setSelectors(1);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        // Response listeners never block, so the selector's thread can call them without a thread switch.
        transport.setInvocationType(Invocable.InvocationType.NON_BLOCKING);
        HttpClient client = new HttpClient(transport);
        client.setExecutor(threads);
        client.setScheduler(new ScheduledExecutorScheduler("client-timer", true));
        client.setName("client");
        client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        client.setIdleTimeout(IDLE_CONNECTION_MILLIS);
        client.setDestinationIdleTimeout(2 * IDLE_CONNECTION_MILLIS);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_ADDRESS);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_ADDRESS);
        client.setRequestBufferSize(BUFFER_BYTES);
        client.setResponseBufferSize(BUFFER_BYTES);
        client.setMaxResponseHeadersSize(MAX_HEAD_BYTES);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setSocketAddressResolver(new SocketAddressResolver.Sync());
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("failed to start the HTTP client", e);
        }
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        return client;
    }
}
