package org.apricotdeal.node.caller;

import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;

/** Opens the paths for callers, and the same paths on the peer port for requests that other nodes forward. */
public final class CallerPlugin implements NodePlugin {
    /** Prefix of the paths of forwarded requests on the peer port. */
    public static final String FORWARD_PREFIX = "/forward";

    private static final String COMPLETIONS = "/v1/completions";
    private static final String SERVICES = "/services/";

    @Override
    public String name() {
        return "caller";
    }

    @Override
    public void register(NodeKernel kernel) {}

    @Override
    public void start(NodeKernel kernel) {
        Gate gate = new Gate(kernel);
        kernel.callerRoute(COMPLETIONS, new CompletionHandler(gate, false));
        kernel.callerRoute(SERVICES, new CallHandler(gate, "", false));
        kernel.peerRoute(FORWARD_PREFIX + COMPLETIONS, new CompletionHandler(gate, true));
        kernel.peerRoute(FORWARD_PREFIX + SERVICES, new CallHandler(gate, FORWARD_PREFIX, true));
    }
}
