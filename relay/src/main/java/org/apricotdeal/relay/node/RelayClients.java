package org.apricotdeal.relay.node;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.util.SocketAddressResolver;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;

/** The client for all outgoing calls of a node in relay mode, and the threads that it shares with the server. */
final class RelayClients {
    /** Connections to one VM: as many as a node sends requests at once, with room for reports and orders. */
    private static final int MAX_CONNECTIONS_PER_ADDRESS = 24;

    private static final int MAX_QUEUED_PER_ADDRESS = 64;
    private static final int MIN_THREADS = 4;
    private static final int MAX_THREADS = 12;
    private static final int BUFFER_BYTES = 4 * 1024;

    /** Longest head of an answer; as long as that of a request may be. */
    private static final int MAX_HEAD_BYTES = 16 * 1024;

    /** Addresses are near; one that does not answer so long is not reached. */
    private static final long CONNECT_TIMEOUT_MILLIS = 500;

    /** Pooled connections are dropped before VMs, which tell whole seconds, close them. */
    private static final long IDLE_CONNECTION_MILLIS = 4_000;

    private RelayClients() {}

    static QueuedThreadPool threads() {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setReservedThreads(1);
        threads.setName("io");
        threads.setDaemon(true);
        return threads;
    }

    static HttpClient start(QueuedThreadPool threads) {
        UpstreamConnector connector = new UpstreamConnector();
        connector.setSelectors(1);
        HttpClientTransportOverHTTP transport = new HttpClientTransportOverHTTP(connector);
        // What takes answers never waits, so that the selector's thread may run it without waking another.
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
            throw new IllegalStateException("the HTTP client could not be started", e);
        }
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        return client;
    }
}
