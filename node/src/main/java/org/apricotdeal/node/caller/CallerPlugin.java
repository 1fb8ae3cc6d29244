package org.apricotdeal.node.caller;

import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;

/** Registers the routes for callers, and the same routes on the peer port for requests that other nodes forward. */
public final class CallerPlugin implements NodePlugin {
    /** Path prefix of forwarded requests on the peer port. */
    public static final String FORWARD_PREFIX = "/forward";

    private static final String COMPLETIONS_PATH = "/v1/completions";
    private static final String SERVICES_PATH = "/services/";

    @Override
    public String name() {
        return "caller";
    }

    @Override
    public void register(NodeKernel kernel) {}

    @Override
    public void start(NodeKernel kernel) {
        RequestAdmission admission = new RequestAdmission(kernel);
        kernel.callerRoute(COMPLETIONS_PATH, new CompletionHandler(admission, false));
        kernel.callerRoute(SERVICES_PATH, new ServiceCallHandler(admission, "", false));
        kernel.peerRoute(FORWARD_PREFIX + COMPLETIONS_PATH, new CompletionHandler(admission, true));
        kernel.peerRoute(FORWARD_PREFIX + SERVICES_PATH, new ServiceCallHandler(admission, FORWARD_PREFIX, true));
    }
}
