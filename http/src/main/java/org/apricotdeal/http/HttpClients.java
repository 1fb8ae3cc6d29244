package org.apricotdeal.http;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates the Jetty client that all adapters of a process share. */
public final class HttpClients {
    /** Most connections to one address. */
    public static final int MAX_CONNECTIONS_PER_ADDRESS = 1024;

    private static final int MAX_QUEUED_PER_ADDRESS = 1024;
    private static final int REQUEST_BUFFER_BYTES = 16 * 1024;
    private static final int RESPONSE_BUFFER_BYTES = 16 * 1024;
    private static final int MAX_THREADS = 32;
    private static final int SELECTORS = 2;

    /** Shorter than upstreams keep idle connections, so that a pooled connection is rarely closed under a request. */
    private static final long IDLE_CONNECTION_MILLIS = 10_000;

    private HttpClients() {}

    /**
     * Creates and starts a client. It follows no redirects, decodes no content and keeps no cookies, so that each request
     * is sent at most once and each answer is passed on as it came.
     *
     * @param name name of the client's threads
     * @param connectTimeoutMillis longest time to wait for a connection
     * @return the started client; its owner stops it
     */
    public static HttpClient start(String name, long connectTimeoutMillis) {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(SELECTORS);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setName(name);
        client.setConnectTimeout(connectTimeoutMillis);
        client.setIdleTimeout(IDLE_CONNECTION_MILLIS);
        client.setDestinationIdleTimeout(2 * IDLE_CONNECTION_MILLIS);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_ADDRESS);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_ADDRESS);
        client.setRequestBufferSize(REQUEST_BUFFER_BYTES);
        client.setResponseBufferSize(RESPONSE_BUFFER_BYTES);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("the HTTP client could not be started", e);
        }
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        return client;
    }

    /**
     * Stops a client and closes its connections.
     *
     * @param client the client
     */
    public static void stop(HttpClient client) {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the HTTP client could not be stopped", e);
        }
    }
}
