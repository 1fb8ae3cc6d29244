package org.apricotdeal.node.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.engine.EngineClient;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.http.HttpEngineClient;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.node.peer.PeerClient;
import org.apricotdeal.node.peer.PeerDirectory;
import org.apricotdeal.node.settings.NodeSettings;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.Heartbeat;
import org.apricotdeal.policy.membership.Membership;
import org.apricotdeal.policy.membership.MembershipAction;
import org.apricotdeal.policy.membership.MembershipEvent;
import org.apricotdeal.policy.membership.PeerNode;
import org.apricotdeal.policy.membership.VmReport;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.routing.TargetId;
import org.apricotdeal.wire.gen.TPeerBody;
import org.apricotdeal.wire.gen.TPeerMessage;

/** Runs the membership state machine of the node's failure domain and keeps the route table up to date. */
public final class FleetPlugin implements NodePlugin {
    private static final int RING_SLOTS = 4_096;
    private static final long TICK_MILLIS = 50;
    private static final long FAILED_TARGET_RETENTION_MILLIS = 10_000;

    private final Map<VmId, Vm> listedVms = new TreeMap<>();
    private final Map<VmId, VmReport> reports = new HashMap<>();
    private final Set<NodeId> failedNodes = new HashSet<>();
    private final Map<TargetId, Long> failedTargets = new HashMap<>();
    private Catalogue catalogue = Catalogue.EMPTY;
    private Plan plan;
    private RouteTable routeTable = RouteTable.EMPTY;
    private volatile boolean vmListKnown;
    private NodeKernel kernel;
    private NodeSettings.Node self;
    private Membership membership;
    private PeerDirectory peers;
    private PeerClient peerClient;
    private VmProber prober;
    private RouteBuilder routeBuilder;
    private Duty<FleetEvent> duty;

    @Override
    public String name() {
        return "fleet";
    }

    @Override
    public void register(NodeKernel nodeKernel) {
        kernel = nodeKernel;
        self = kernel.settings().node();
        membership = new Membership(self.id(), self.failureDomain(), kernel.bootId());
        routeBuilder = new RouteBuilder(self.id());
        kernel.offer(EngineClient.class, new HttpEngineClient(kernel.httpClient()));
        kernel.readinessCheck(() -> vmListKnown ? Optional.empty() : Optional.of("the VM list is not known yet"));
        kernel.peerHandler(TPeerBody._Fields.HEARTBEAT, this::handleHeartbeat);
    }

    @Override
    public void start(NodeKernel nodeKernel) {
        peers = kernel.require(PeerDirectory.class);
        peerClient = kernel.require(PeerClient.class);
        duty = kernel.duty("fleet", RING_SLOTS, TICK_MILLIS, this::handleEvent, this::tick);
        prober = new VmProber(
                kernel.require(EngineClient.class), kernel.httpClient(), kernel.clock(), event -> duty.offer(event));
        kernel.subscribe(this::handleNodeEvent);
    }

    private void handleNodeEvent(NodeEvent event) {
        switch (event) {
            case NodeEvent.VmsListed(List<Vm> vms) -> duty.offer(new FleetEvent.VmsListed(vms));
            case NodeEvent.CatalogueAdopted(Catalogue adopted) -> duty.offer(new FleetEvent.CatalogueAdopted(adopted));
            case NodeEvent.PlanAdopted(Plan adopted) -> duty.offer(new FleetEvent.PlanAdopted(adopted));
            case NodeEvent.TargetFailed(TargetId target, long atMillis) ->
                duty.offer(new FleetEvent.TargetFailed(target, atMillis));
            default -> {}
        }
    }

    private void handleHeartbeat(TPeerMessage message) {
        Heartbeat heartbeat;
        try {
            heartbeat = HeartbeatMessages.fromWire(message);
        } catch (IllegalArgumentException e) {
            kernel.metrics().counter("peer.invalid").inc();
            return;
        }
        duty.offer(new FleetEvent.HeartbeatReceived(heartbeat));
    }

    private void handleEvent(FleetEvent event) {
        switch (event) {
            case FleetEvent.VmsListed(List<Vm> vms) -> handleVmList(vms);
            case FleetEvent.CatalogueAdopted(Catalogue adopted) -> {
                catalogue = adopted;
                step(new MembershipEvent.PolicyChanged(adopted.policy()));
            }
            case FleetEvent.PlanAdopted(Plan adopted) -> plan = adopted;
            case FleetEvent.ProbeAnswered(VmId vm, long sentAtMillis, EngineState state) -> {
                step(new MembershipEvent.ProbeAnswered(vm, sentAtMillis, state));
                publishLoad(vm, sentAtMillis, state);
            }
            case FleetEvent.TargetFailed(TargetId target, long atMillis) -> failedTargets.put(target, atMillis);
            case FleetEvent.HeartbeatReceived(Heartbeat heartbeat) ->
                step(new MembershipEvent.HeartbeatReceived(heartbeat));
        }
        refreshRoutes();
    }

    /** Publishes the load from a probe answer for the dispatcher, as heartbeats do not contain the load. */
    private void publishLoad(VmId vm, long sentAtMillis, EngineState state) {
        if (state != null) {
            kernel.publish(new NodeEvent.LoadReported(vm, state.load(), sentAtMillis));
        }
    }

    private void handleVmList(List<Vm> vms) {
        vmListKnown = true;
        listedVms.clear();
        for (Vm vm : vms) {
            boolean local = vm.failureDomain().equals(self.failureDomain());
            if (local && !vm.upstream().value().equals(PeerDirectory.NODE_UPSTREAM)) {
                listedVms.put(vm.id(), vm);
            }
        }
        reports.keySet().retainAll(listedVms.keySet());
        step(new MembershipEvent.VmsListed(List.copyOf(listedVms.keySet())));
        List<PeerNode> peerNodes = new ArrayList<>();
        for (PeerDirectory.Peer peer : peers.all()) {
            peerNodes.add(new PeerNode(peer.node(), peer.failureDomain()));
        }
        step(new MembershipEvent.PeersListed(peerNodes));
    }

    private void tick() {
        step(new MembershipEvent.Tick());
        refreshRoutes();
    }

    private void step(MembershipEvent event) {
        for (MembershipAction action : membership.step(kernel.clock().monotonicMillis(), event)) {
            execute(action);
        }
    }

    private void execute(MembershipAction action) {
        switch (action) {
            case MembershipAction.Probe(VmId vm) -> probe(vm);
            case MembershipAction.SendHeartbeat(NodeId to, Heartbeat heartbeat) ->
                peers.find(to)
                        .ifPresent(peer -> peerClient.send(
                                peer.address(), TPeerBody.heartbeat(HeartbeatMessages.toWire(heartbeat))));
            case MembershipAction.ReportVm(VmReport report) -> handleVmReport(report);
            case MembershipAction.ReportNode(NodeId node, Health health) -> handleNodeHealth(node, health);
            case MembershipAction.RecordEvent(Message message, List<String> arguments) ->
                kernel.timeline().record(message, arguments.toArray());
        }
    }

    private void probe(VmId id) {
        Vm vm = listedVms.get(id);
        if (vm != null) {
            boolean isModel =
                    catalogue.find("model " + vm.upstream(), ModelEntry.class).isPresent();
            prober.probe(vm, isModel, catalogue.policy().failMillis());
        }
    }

    private void handleVmReport(VmReport report) {
        if (listedVms.containsKey(report.vm())) {
            reports.put(report.vm(), report);
            kernel.publish(new NodeEvent.VmReported(report));
        }
    }

    private void handleNodeHealth(NodeId node, Health health) {
        boolean changed = health == Health.FAILED ? failedNodes.add(node) : failedNodes.remove(node);
        if (changed) {
            kernel.publish(new NodeEvent.FailedNodesChanged(Set.copyOf(failedNodes)));
        }
    }

    private void refreshRoutes() {
        long nowMillis = kernel.clock().monotonicMillis();
        failedTargets.values().removeIf(failedMillis -> nowMillis - failedMillis > FAILED_TARGET_RETENTION_MILLIS);
        RouteBuilder.Inputs inputs = new RouteBuilder.Inputs(catalogue, liveLocalNodes(), failedTargets);
        RouteTable next = routeBuilder.build(nowMillis, plan, listedVms, reports, inputs);
        if (!next.equals(routeTable)) {
            routeTable = next;
            kernel.publish(new NodeEvent.RoutesChanged(routeTable));
        }
    }

    private List<NodeId> liveLocalNodes() {
        List<NodeId> nodes = new ArrayList<>();
        nodes.add(self.id());
        for (PeerDirectory.Peer peer : peers.inFailureDomain(self.failureDomain())) {
            if (!failedNodes.contains(peer.node())) {
                nodes.add(peer.node());
            }
        }
        nodes.sort(null);
        return nodes;
    }
}
