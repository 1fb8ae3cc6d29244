package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.port.ExchangeHeaders;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;

/**
 * An attempt to get the response to a request through another node, which treats it as a caller's: it checks the key by its own
 * catalogue, and applies its own limits. A node sends a request that came from another node to VMs only.
 */
final class NodeAttempt extends UpstreamAttempt {
    /** Header of requests that another node has handed over, and of the answers to them that are not those of a VM. */
    static final String HOP_HEADER = "X-Apricotdeal-Hop";

    private static final String HOP = "1";

    private final ExchangeHeaders headerNames;

    NodeAttempt(
            Exchange exchange,
            RelayAction.Send send,
            ExchangeHeaders headerNames,
            Clock clock,
            Listener listener,
            CallerResources callerResources) {
        super(exchange, send, headerNames, domain -> false, clock, listener, callerResources);
        this.headerNames = headerNames;
    }

    /** Returns whether a request came from another node. */
    static boolean isHop(Request request) {
        return request.getHeaders().contains(HOP_HEADER);
    }

    /** Marks an answer that is this node's own if its request came from another node. */
    static void markOwnAnswer(Request request, HttpFields.Mutable headers) {
        if (isHop(request)) {
            headers.put(HOP_HEADER, HOP);
        }
    }

    @Override
    void setHeaders(HttpFields.Mutable headers) {
        copyHeaders(headers);
        headers.put(HOP_HEADER, HOP);
    }

    /** A node answers some requests itself before it knows their id; such an answer is read as a refusal. */
    @Override
    boolean isOwnResponse(Response response) {
        HttpFields headers = response.getHeaders();
        String echoed = headers.get(headerNames.requestId());
        return echoed == null ? isNotRun(response) : super.isOwnResponse(response);
    }

    /** The other node hears what the VM says of itself. */
    @Override
    void reportVmState(Response response) {}

    /** An answer of the other node itself says that the request has not run, but for 502 and 504. */
    @Override
    boolean isNotRun(Response response) {
        int status = response.getStatus();
        boolean mayHaveRun = status == HttpStatus.BAD_GATEWAY_502 || status == HttpStatus.GATEWAY_TIMEOUT_504;
        return response.getHeaders().contains(HOP_HEADER) && !mayHaveRun;
    }
}
