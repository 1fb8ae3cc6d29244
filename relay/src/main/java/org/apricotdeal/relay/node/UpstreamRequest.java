package org.apricotdeal.relay.node;

import java.net.URI;

import org.apricotdeal.kernel.misc.HostPort;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpConversation;
import org.eclipse.jetty.client.transport.HttpRequest;

/**
 * A request whose target is the caller's, byte by byte. Jetty's own request parses its target as a URI reference: it takes the
 * first segment of {@code //orders/17} for a host and drops it, and cannot send a query with a bare {@code %}.
 */
class UpstreamRequest extends HttpRequest {
    /** Creates the requests of a node. */
    @FunctionalInterface
    interface Factory {
        /**
         * Creates a request.
         *
         * @param address address of the upstream
         * @param pathQuery path, and query if any, in the form in which they are sent
         * @return request to configure and send
         */
        UpstreamRequest create(HostPort address, String pathQuery);
    }

    private final String path;
    private final String query;

    /**
     * Creates a request.
     *
     * @param client client that sends it
     * @param address address of the upstream
     * @param pathQuery path, and query if any, in the form in which they are sent
     */
    UpstreamRequest(HttpClient client, HostPort address, String pathQuery) {
        super(client, new HttpConversation(), URI.create("http://" + address.host() + ":" + address.port()));
        int queryStart = pathQuery.indexOf('?');
        path = queryStart < 0 ? pathQuery : pathQuery.substring(0, queryStart);
        query = queryStart < 0 ? null : pathQuery.substring(queryStart + 1);
    }

    @Override
    public String getPath() {
        // The superclass calls this before the field is set.
        return path == null ? super.getPath() : path;
    }

    @Override
    public String getQuery() {
        return query;
    }
}
