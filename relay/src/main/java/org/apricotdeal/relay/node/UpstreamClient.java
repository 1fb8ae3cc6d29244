package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.misc.HostPort;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.HttpClientTransport;

/** HTTP client for outgoing calls, which can also forward a request with its target unchanged. */
class UpstreamClient extends HttpClient {
    UpstreamClient(HttpClientTransport transport) {
        super(transport);
    }

    /**
     * Creates a request whose target is not parsed.
     *
     * @param address address of the upstream
     * @param pathQuery path, and query if any, in the form in which they are sent
     * @return request to configure and send
     */
    UpstreamRequest newRequest(HostPort address, String pathQuery) {
        return new UpstreamRequest(this, address, pathQuery);
    }
}
