package org.apricotdeal.node.live;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.engine.CompletionRequest;
import org.apricotdeal.engine.ServiceClient;
import org.apricotdeal.engine.ServiceOutcome;
import org.apricotdeal.engine.ServiceRequest;
import org.apricotdeal.engine.StreamHandle;
import org.apricotdeal.engine.TokenListener;
import org.apricotdeal.http.HttpEngineClient;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.node.caller.CallerPlugin;
import org.apricotdeal.node.caller.Outcome;
import org.apricotdeal.node.caller.RequestContext;
import org.apricotdeal.node.caller.ServiceCall;
import org.apricotdeal.node.fleet.Route;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.peer.PeerDirectory;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.policy.routing.TargetHealth;
import org.apricotdeal.policy.routing.TargetId;

/** Forwards requests to nodes of other failure domains. */
final class Forwarding {
    private static final String FORWARD_REPLICA_PREFIX = "forward:";

    private final HttpEngineClient engineClient;
    private final PeerDirectory peers;
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    private final NodeKernel kernel;

    Forwarding(NodeKernel kernel) {
        this.kernel = kernel;
        this.engineClient = new HttpEngineClient(kernel.httpClient());
        this.peers = kernel.require(PeerDirectory.class);
    }

    /** Chooses a random node of a failure domain and returns it as a route, as if the node were a replica. */
    synchronized Optional<Route> chooseRoute(UpstreamId upstream, FailureDomainId failureDomain) {
        List<PeerDirectory.Peer> nodes = new ArrayList<>(peers.inFailureDomain(failureDomain));
        if (nodes.isEmpty()) {
            return Optional.empty();
        }
        PeerDirectory.Peer peer = nodes.get(random.nextInt(nodes.size()));
        VmId vm = new VmId(peer.node().value());
        Target target = new Target(TargetId.of(vm), upstream, failureDomain, 1, TargetHealth.HEALTHY);
        return Optional.of(new Route(target, new ReplicaId(FORWARD_REPLICA_PREFIX + peer.node()), vm, peer.address()));
    }

    static boolean isForward(Route route) {
        return route.replica() != null && route.replica().value().startsWith(FORWARD_REPLICA_PREFIX);
    }

    StreamHandle open(Route route, RequestContext context, CompletionRequest request, TokenListener listener) {
        Map<String, String> headers = context.forwardHeaders(kernel.clock().monotonicMillis());
        return engineClient.forward(route.address(), CallerPlugin.FORWARD_PREFIX, headers, request, listener);
    }

    CompletableFuture<ServiceOutcome> call(
            ServiceClient serviceClient, Route route, RequestContext context, ServiceCall body) {
        long nowMillis = kernel.clock().monotonicMillis();
        Map<String, String> headers = new HashMap<>(body.headers());
        headers.putAll(context.forwardHeaders(nowMillis));
        String path = CallerPlugin.FORWARD_PREFIX + "/services/" + context.upstream() + body.pathAndQuery();
        ServiceRequest request = new ServiceRequest(context.id(), body.method(), path, headers, body.body());
        return serviceClient.call(route.address(), request, Math.max(1, context.deadlineAtMillis() - nowMillis));
    }

    static boolean isNotRun(ServiceOutcome.Answered answered) {
        return Outcome.NOT_RUN.externalName().equals(answered.headers().get(Outcome.HEADER));
    }
}
