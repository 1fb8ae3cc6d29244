package org.apricotdeal.node.admin;

import java.util.Optional;
import java.util.function.Supplier;

import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Serves the health and readiness checks of the load balancer. */
public final class HealthPlugin implements NodePlugin {
    @Override
    public String name() {
        return "health";
    }

    @Override
    public void register(NodeKernel kernel) {
        kernel.callerRoute("/healthz", new StatusHandler(() -> Optional.empty()));
        kernel.callerRoute("/readyz", new StatusHandler(kernel::notReadyReason));
        kernel.peerRoute("/readyz", new StatusHandler(kernel::notReadyReason));
    }

    /** Responds with status 200, or with 503 and the reason. */
    private static final class StatusHandler extends Handler.Abstract.NonBlocking {
        private final Supplier<Optional<String>> failureReason;

        StatusHandler(Supplier<Optional<String>> failureReason) {
            this.failureReason = failureReason;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Optional<String> currentReason = failureReason.get();
            response.setStatus(currentReason.isEmpty() ? 200 : 503);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
            Content.Sink.write(response, true, currentReason.orElse("ok") + "\n", callback);
            return true;
        }
    }
}
