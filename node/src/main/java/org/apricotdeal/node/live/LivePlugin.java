package org.apricotdeal.node.live;

import java.util.concurrent.atomic.AtomicReference;

import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.engine.EngineClient;
import org.apricotdeal.http.HttpServiceClient;
import org.apricotdeal.node.caller.CompletionBody;
import org.apricotdeal.node.caller.CompletionWriter;
import org.apricotdeal.node.caller.RequestContext;
import org.apricotdeal.node.caller.ServiceCall;
import org.apricotdeal.node.caller.ServiceCallWriter;
import org.apricotdeal.node.caller.WorkIntake;
import org.apricotdeal.node.claims.Claims;
import org.apricotdeal.node.dispatch.DispatchService;
import org.apricotdeal.node.fleet.RouteTable;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.policy.admission.Arrival;
import org.apricotdeal.policy.call.CallPolicy;
import org.apricotdeal.policy.routing.PrefixHash;

/** Accepts validated requests and runs each of them until it ends. */
public final class LivePlugin implements NodePlugin, WorkIntake {
    private static final int ROUTING_PREFIX_CHARS = 256;
    private static final int CHARS_PER_TOKEN = 4;

    private final AtomicReference<RouteTable> routes = new AtomicReference<>(RouteTable.EMPTY);
    private LiveDuty streamDuty;
    private LiveDuty callDuty;
    private LiveDependencies dependencies;
    private Claims claims;
    private DispatchService dispatchService;

    @Override
    public String name() {
        return "live";
    }

    @Override
    public void register(NodeKernel kernel) {
        kernel.offer(WorkIntake.class, this);
    }

    @Override
    public void start(NodeKernel kernel) {
        streamDuty = new LiveDuty("streams", kernel);
        callDuty = new LiveDuty("calls", kernel);
        claims = kernel.require(Claims.class);
        dispatchService = kernel.require(DispatchService.class);
        dependencies = new LiveDependencies(
                kernel,
                dispatchService,
                kernel.require(EngineClient.class),
                new HttpServiceClient(kernel.httpClient()),
                new Forwarding(kernel),
                routes);
        kernel.subscribe(event -> {
            if (event instanceof NodeEvent.RoutesChanged(RouteTable table)) {
                routes.set(table);
            }
        });
    }

    @Override
    public boolean submitCompletion(RequestContext context, CompletionBody body, CompletionWriter writer) {
        LiveStream stream = new LiveStream(streamDuty, dependencies, context, body, writer);
        writer.onWriteFailure(() -> streamDuty.postNotice(stream, new LiveEvent.CallerGone()));
        String prompt = body.prompt();
        String prefix = prompt.substring(0, Math.min(ROUTING_PREFIX_CHARS, prompt.length()));
        Arrival arrival = arrival(context)
                .prompt(PrefixHash.of(prefix), prompt.length() / CHARS_PER_TOKEN)
                .estimatedTokens(body.maxTokens())
                .resumable(true)
                .build();
        return dispatchService.submit(arrival, stream);
    }

    @Override
    public boolean submitServiceCall(
            RequestContext context, ServiceCall body, ServiceEntry service, ServiceCallWriter writer) {
        LiveCall call = new LiveCall(callDuty, dependencies, claims, context, body, service, writer);
        boolean repeatable = CallPolicy.isRepeatable(body.method(), body.path(), service);
        return dispatchService.submit(arrival(context).resumable(repeatable).build(), call);
    }

    private static Arrival.Builder arrival(RequestContext context) {
        return Arrival.builder(context.id(), context.caller().id())
                .classAndUpstream(context.workClass().id(), context.upstream())
                .deadlineMillis(context.deadlineAtMillis() - context.receivedAtMillis())
                .hops(context.forwarded() ? 1 : 0);
    }
}
