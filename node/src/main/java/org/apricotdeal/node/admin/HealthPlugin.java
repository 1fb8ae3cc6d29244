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

/** Answers the balancer's questions for health and readiness. */
public final class HealthPlugin implements NodePlugin {
    @Override
    public String name() {
        return "health";
    }

    @Override
    public void register(NodeKernel kernel) {
        kernel.callerRoute("/healthz", new ReasonHandler(() -> Optional.empty()));
        kernel.callerRoute("/readyz", new ReasonHandler(kernel::notReadyReason));
        kernel.peerRoute("/readyz", new ReasonHandler(kernel::notReadyReason));
    }

    /** Answers 200, or 503 with a reason. */
    private static final class ReasonHandler extends Handler.Abstract.NonBlocking {
        private final Supplier<Optional<String>> reason;

        ReasonHandler(Supplier<Optional<String>> reason) {
            this.reason = reason;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            Optional<String> found = reason.get();
            response.setStatus(found.isEmpty() ? 200 : 503);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
            Content.Sink.write(response, true, found.orElse("ok") + "\n", callback);
            return true;
        }
    }
}
