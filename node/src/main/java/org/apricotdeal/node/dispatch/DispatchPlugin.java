package org.apricotdeal.node.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.node.fleet.Route;
import org.apricotdeal.node.fleet.RouteTable;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.node.peer.PeerClient;
import org.apricotdeal.node.peer.PeerDirectory;
import org.apricotdeal.policy.admission.AdmissionOptions;
import org.apricotdeal.policy.admission.Arrival;
import org.apricotdeal.policy.admission.Dispatcher;
import org.apricotdeal.policy.admission.DispatcherAction;
import org.apricotdeal.policy.admission.DispatcherEvent;
import org.apricotdeal.policy.admission.FinishOutcome;
import org.apricotdeal.policy.limits.ShareLedger;
import org.apricotdeal.policy.limits.ShareMessage;
import org.apricotdeal.policy.routing.AffinityRouter;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.wire.gen.TDomainLoads;
import org.apricotdeal.wire.gen.TPeerBody;
import org.apricotdeal.wire.gen.TPeerMessage;
import org.apricotdeal.wire.gen.TShareAsk;
import org.apricotdeal.wire.gen.TShareGrant;
import org.apricotdeal.wire.gen.TShareReturn;

/** Runs the dispatcher on a duty of its own and passes its decisions to the requests. */
public final class DispatchPlugin implements NodePlugin, DispatchService {
    private static final int RING_SLOTS = 65_536;
    private static final long TICK_MILLIS = 10;

    private final Map<RequestId, DispatchListener> listeners = new HashMap<>();
    private NodeKernel kernel;
    private MetricRegistry metrics;
    private Dispatcher dispatcher;
    private Duty<Input> duty;
    private PeerDirectory peers;
    private PeerClient peerClient;
    private DomainLoadReports domainLoadReports;
    private Catalogue catalogue = Catalogue.EMPTY;
    private volatile long sharesInForceAtMillis = Long.MAX_VALUE;
    private volatile RouteTable routeTable = RouteTable.EMPTY;

    /** Inputs of the duty. */
    private sealed interface Input {
        /** An event for the dispatcher; the listener is null unless the event is an arrival. */
        record DispatcherInput(DispatcherEvent event, DispatchListener listener) implements Input {}

        /** A load report from a node of a different failure domain. */
        record LoadReport(NodeId sender, FailureDomainId domain, TDomainLoads loads) implements Input {}
    }

    @Override
    public String name() {
        return "dispatch";
    }

    @Override
    public void register(NodeKernel nodeKernel) {
        kernel = nodeKernel;
        metrics = kernel.metrics();
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        ShareLedger ledger =
                new ShareLedger(kernel.settings().node().id(), kernel.clock().wallMillis());
        dispatcher = new Dispatcher(new AffinityRouter(random), ledger, random, AdmissionOptions.DEFAULT);
        kernel.offer(DispatchService.class, this);
        kernel.readinessCheck(this::notReadyReason);
        kernel.peerHandler(TPeerBody._Fields.SHARE_ASK, this::handleShareMessage);
        kernel.peerHandler(TPeerBody._Fields.SHARE_GRANT, this::handleShareMessage);
        kernel.peerHandler(TPeerBody._Fields.SHARE_RETURN, this::handleShareMessage);
        kernel.peerHandler(TPeerBody._Fields.DOMAIN_LOADS, this::handleDomainLoads);
    }

    @Override
    public void start(NodeKernel nodeKernel) {
        peers = kernel.require(PeerDirectory.class);
        peerClient = kernel.require(PeerClient.class);
        domainLoadReports = new DomainLoadReports(
                kernel.settings().node().failureDomain(), peers, peerClient, RandomSource.XO_RO_SHI_RO_128_PP.create());
        duty = kernel.duty("dispatch", RING_SLOTS, TICK_MILLIS, this::handle, this::tick);
        kernel.subscribe(this::handleNodeEvent);
    }

    private void handleNodeEvent(NodeEvent event) {
        switch (event) {
            case NodeEvent.CatalogueAdopted(var catalogue) -> put(new DispatcherEvent.CatalogueChanged(catalogue));
            case NodeEvent.RoutesChanged(RouteTable changed) -> putTargets(changed);
            case NodeEvent.VmsListed listed -> putNodes();
            case NodeEvent.LoadReported(VmId vm, EngineLoad load, long sentAtMillis) -> putLoad(vm, load, sentAtMillis);
            default -> {}
        }
    }

    private void putTargets(RouteTable changed) {
        List<Target> targets = new ArrayList<>();
        for (Route route : changed.routes().values()) {
            targets.add(route.target());
        }
        routeTable = changed;
        put(new DispatcherEvent.CapacityChanged(targets));
    }

    /**
     * Passes the set of nodes to the dispatcher. The node's share of the callers' limits comes into force with a delay after
     * it first knows the other nodes, or at once if there are none.
     */
    private void putNodes() {
        List<NodeId> nodes = allNodes();
        if (sharesInForceAtMillis == Long.MAX_VALUE) {
            long delayMillis = nodes.size() == 1 ? 0 : ShareLedger.RISE_DELAY_MILLIS;
            sharesInForceAtMillis = kernel.clock().monotonicMillis() + delayMillis;
        }
        put(new DispatcherEvent.NodesChanged(nodes));
    }

    private Optional<String> notReadyReason() {
        return kernel.clock().monotonicMillis() < sharesInForceAtMillis
                ? Optional.of("the node's part of the callers' limits is not in force yet")
                : Optional.empty();
    }

    private void putLoad(VmId vm, EngineLoad load, long sentAtMillis) {
        Optional<Route> route = routeTable.find(vm);
        if (route.isPresent()) {
            long ageMillis = load.ageMillis() + kernel.clock().monotonicMillis() - sentAtMillis;
            put(new DispatcherEvent.LoadReported(route.get().target().id(), load.running(), load.waiting(), ageMillis));
        }
    }

    private List<NodeId> allNodes() {
        List<NodeId> nodes = new ArrayList<>();
        nodes.add(kernel.settings().node().id());
        for (PeerDirectory.Peer peer : peers.all()) {
            nodes.add(peer.node());
        }
        return nodes;
    }

    private void put(DispatcherEvent event) {
        duty.put(new Input.DispatcherInput(event, null));
    }

    @Override
    public boolean submit(Arrival arrival, DispatchListener listener) {
        return duty.offer(new Input.DispatcherInput(new DispatcherEvent.Arrived(arrival), listener));
    }

    @Override
    public void reportProgress(RequestId request, int tokens) {
        duty.offer(new Input.DispatcherInput(new DispatcherEvent.Progress(request, tokens), null));
    }

    @Override
    public void attemptEnded(RequestId request, FinishOutcome outcome) {
        put(new DispatcherEvent.Finished(request, outcome));
    }

    @Override
    public void cancel(RequestId request) {
        put(new DispatcherEvent.Cancelled(request));
    }

    private void handle(Input input) {
        switch (input) {
            case Input.DispatcherInput dispatcherInput -> handleDispatcherInput(dispatcherInput);
            case Input.LoadReport(NodeId sender, FailureDomainId domain, TDomainLoads loads) -> {
                long nowMillis = kernel.clock().monotonicMillis();
                step(new DispatcherEvent.DomainsReported(
                        domainLoadReports.addReport(nowMillis, sender, domain, loads)));
            }
        }
    }

    private void tick() {
        domainLoadReports.tick(kernel.clock().monotonicMillis(), catalogue, dispatcher);
        step(new DispatcherEvent.Tick());
    }

    private void handleDispatcherInput(Input.DispatcherInput input) {
        switch (input.event()) {
            case DispatcherEvent.CatalogueChanged(Catalogue changed) -> catalogue = changed;
            case DispatcherEvent.Arrived(Arrival arrival) -> listeners.put(arrival.id(), input.listener());
            case DispatcherEvent.Cancelled(RequestId request) -> listeners.remove(request);
            case DispatcherEvent.Finished(RequestId request, FinishOutcome outcome) -> {
                if (outcome == FinishOutcome.COMPLETED || outcome == FinishOutcome.FAILED) {
                    listeners.remove(request);
                }
            }
            default -> {}
        }
        step(input.event());
    }

    private void step(DispatcherEvent event) {
        for (DispatcherAction action : dispatcher.step(kernel.clock().monotonicMillis(), event)) {
            execute(action);
        }
    }

    private void execute(DispatcherAction action) {
        switch (action) {
            case DispatcherAction.Dispatch(var request, var target, int attempt) -> {
                metrics.counter("dispatch.dispatched").inc();
                Optional.ofNullable(listeners.get(request)).ifPresent(listener -> listener.dispatched(target));
            }
            case DispatcherAction.Refuse(var request, var reason, long retryAfterMillis) -> {
                metrics.counter("dispatch.refused." + reason.name().toLowerCase(Locale.ROOT))
                        .inc();
                Optional.ofNullable(listeners.remove(request))
                        .ifPresent(listener -> listener.refused(reason, retryAfterMillis));
            }
            case DispatcherAction.GiveUp(var request, var reason, boolean mayHaveRun) -> {
                metrics.counter("dispatch.gave-up").inc();
                Optional.ofNullable(listeners.remove(request))
                        .ifPresent(listener -> listener.gaveUp(reason, mayHaveRun));
            }
            case DispatcherAction.Preempt(var request, var target) -> {
                metrics.counter("dispatch.preempted").inc();
                Optional.ofNullable(listeners.get(request)).ifPresent(DispatchListener::preempted);
            }
            case DispatcherAction.Forward(var request, var failureDomain) -> {
                metrics.counter("dispatch.forwarded").inc();
                Optional.ofNullable(listeners.get(request)).ifPresent(listener -> listener.forwarded(failureDomain));
            }
            case DispatcherAction.SendShare(NodeId to, ShareMessage message) ->
                peers.find(to).ifPresent(peer -> peerClient.send(peer.address(), toWire(message)));
            case DispatcherAction.RecordEvent(var message, String text) ->
                kernel.timeline().recordText(message, text);
        }
    }

    private static TPeerBody toWire(ShareMessage message) {
        return switch (message) {
            case ShareMessage.Ask(CallerId caller, double wanted, long epoch) ->
                TPeerBody.shareAsk(new TShareAsk(caller.value(), wanted, epoch));
            case ShareMessage.Grant(CallerId caller, double granted, long forMillis, long epoch) ->
                TPeerBody.shareGrant(new TShareGrant(caller.value(), granted, forMillis, epoch));
            case ShareMessage.Return(CallerId caller, long epoch) ->
                TPeerBody.shareReturn(new TShareReturn(caller.value(), epoch));
        };
    }

    private void handleDomainLoads(TPeerMessage message) {
        duty.offer(new Input.LoadReport(
                new NodeId(message.getSender()),
                new FailureDomainId(message.getSenderDomain()),
                message.getBody().getDomainLoads()));
    }

    private void handleShareMessage(TPeerMessage message) {
        TPeerBody body = message.getBody();
        ShareMessage shareMessage =
                switch (body.getSetField()) {
                    case SHARE_ASK ->
                        new ShareMessage.Ask(
                                new CallerId(body.getShareAsk().getCaller()),
                                body.getShareAsk().getWantedPerSecond(),
                                body.getShareAsk().getEpoch());
                    case SHARE_GRANT ->
                        new ShareMessage.Grant(
                                new CallerId(body.getShareGrant().getCaller()),
                                body.getShareGrant().getGrantedPerSecond(),
                                body.getShareGrant().getForMillis(),
                                body.getShareGrant().getEpoch());
                    default ->
                        new ShareMessage.Return(
                                new CallerId(body.getShareReturn().getCaller()),
                                body.getShareReturn().getEpoch());
                };
        put(new DispatcherEvent.ShareReceived(new NodeId(message.getSender()), shareMessage));
    }
}
