package org.apricotdeal.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apricotdeal.kernel.misc.HostPort;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;

/**
 * Builds requests to addresses and keeps pooled connections that may have gone silent from being used again. Jetty pools
 * connections by address and tag. When a call on a pooled connection got no sign of life, the address gets a new tag: later
 * requests open new connections, and the old ones end by their idle timeout. Probes and orders never share a connection
 * with anything: each opens its own.
 */
final class Destinations {
    private final HttpClient client;
    private final Map<String, Integer> poolByAddress = new ConcurrentHashMap<>();

    private record PoolTag(int number) {}

    private record SingleUseTag(String purpose) {}

    Destinations(HttpClient client) {
        this.client = client;
    }

    /** Creates a request that may use a pooled connection. */
    Request pooled(String address) {
        Integer number = poolByAddress.get(address);
        Request request = create(address);
        return number == null ? request : request.tag(new PoolTag(number));
    }

    /** Creates a request that opens a new connection and closes it afterwards. */
    Request singleUse(String address, String purpose) {
        return create(address).tag(new SingleUseTag(purpose)).headers(headers -> headers.put("connection", "close"));
    }

    /** Keeps later requests off the connections that are open to an address now. */
    void suspect(String address) {
        poolByAddress.merge(address, 1, Integer::sum);
    }

    private Request create(String address) {
        HostPort parts = HostPort.parse(address);
        return client.newRequest(parts.host(), parts.port());
    }
}
