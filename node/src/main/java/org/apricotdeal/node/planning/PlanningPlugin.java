package org.apricotdeal.node.planning;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import com.codahale.metrics.Counter;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.engine.EngineClient;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.node.peer.PeerClient;
import org.apricotdeal.node.peer.PeerDirectory;
import org.apricotdeal.node.platform.StoreDuties;
import org.apricotdeal.node.settings.NodeSettings;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.policy.membership.VmReport;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.planning.PlanCodec;
import org.apricotdeal.policy.planning.Planner;
import org.apricotdeal.policy.planning.PlannerAction;
import org.apricotdeal.policy.planning.PlannerEvent;
import org.apricotdeal.wire.gen.TPeerBody;
import org.apricotdeal.wire.gen.TPeerMessage;
import org.apricotdeal.wire.gen.TPlan;
import org.apricotdeal.wire.gen.TPlanRequest;
import org.apricotdeal.wire.gen.TPromise;
import org.apricotdeal.wire.gen.TPromiseRequest;

/** Runs the planner on its own duty and executes the actions that it returns. */
public final class PlanningPlugin implements NodePlugin {
    private static final int RING_SLOTS = 4_096;
    private static final long TICK_MILLIS = 100;
    private static final long PLAN_REQUEST_PERIOD_MILLIS = 1_000;

    private NodeKernel kernel;
    private NodeSettings.Node self;
    private Planner planner;
    private Duty<PlannerEvent> duty;
    private Consumer<StoreCall> store;
    private PeerDirectory peers;
    private PeerClient peerClient;
    private EngineClient engineClient;
    private Counter ordersSent;
    private long nextPlanRequestMillis;
    private volatile Plan newestPlan;
    private volatile Set<NodeId> failedNodes = Set.of();

    @Override
    public String name() {
        return "planning";
    }

    @Override
    public void register(NodeKernel nodeKernel) {
        kernel = nodeKernel;
        self = kernel.settings().node();
        planner = new Planner(self.id(), self.failureDomain());
        ordersSent = kernel.metrics().counter("planning.orders");
        kernel.peerHandler(TPeerBody._Fields.PLAN, this::handlePlan);
        kernel.peerHandler(TPeerBody._Fields.PLAN_REQUEST, this::handlePlanRequest);
        kernel.peerHandler(TPeerBody._Fields.PROMISE_REQUEST, this::handlePromiseRequest);
        kernel.peerHandler(TPeerBody._Fields.PROMISE, this::handlePromise);
    }

    @Override
    public void start(NodeKernel nodeKernel) {
        peers = kernel.require(PeerDirectory.class);
        peerClient = kernel.require(PeerClient.class);
        engineClient = kernel.require(EngineClient.class);
        duty = kernel.duty("planning", RING_SLOTS, TICK_MILLIS, this::step, this::tick);
        store = kernel.require(StoreDuties.class)
                .start("planning", reply -> duty.put(new PlannerEvent.StoreReplied(reply)));
        kernel.subscribe(this::handleNodeEvent);
    }

    private void handleNodeEvent(NodeEvent event) {
        switch (event) {
            case NodeEvent.VmsListed(List<Vm> vms) -> {
                duty.offer(new PlannerEvent.VmsListed(vms));
                duty.offer(new PlannerEvent.NodesListed(liveLocalNodes()));
            }
            case NodeEvent.CatalogueAdopted(Catalogue catalogue) ->
                duty.offer(new PlannerEvent.CatalogueChanged(catalogue.all(ModelEntry.class)));
            case NodeEvent.VmReported(VmReport report) -> duty.offer(new PlannerEvent.VmReported(report));
            case NodeEvent.FailedNodesChanged(Set<NodeId> failed) -> {
                failedNodes = failed;
                duty.offer(new PlannerEvent.NodesListed(liveLocalNodes()));
            }
            case NodeEvent.Draining draining -> duty.offer(new PlannerEvent.Stopping());
            default -> {}
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
        return nodes;
    }

    private void tick() {
        step(new PlannerEvent.Tick());
        requestPlan();
    }

    /** Requests the plan from peers after a start, so that the node can serve while the platform is unreachable. */
    private void requestPlan() {
        long nowMillis = kernel.clock().monotonicMillis();
        if (newestPlan != null || nowMillis < nextPlanRequestMillis) {
            return;
        }
        nextPlanRequestMillis = nowMillis + PLAN_REQUEST_PERIOD_MILLIS;
        for (PeerDirectory.Peer peer : peers.inFailureDomain(self.failureDomain())) {
            peerClient.send(peer.address(), TPeerBody.planRequest(new TPlanRequest(0)));
        }
    }

    private void step(PlannerEvent event) {
        for (PlannerAction action : planner.step(kernel.clock().monotonicMillis(), event)) {
            execute(action);
        }
    }

    private void execute(PlannerAction action) {
        switch (action) {
            case PlannerAction.CallStore(StoreCall call) -> store.accept(call);
            case PlannerAction.SendOrder order -> send(order);
            case PlannerAction.AdoptPlan(Plan plan) -> adopt(plan);
            case PlannerAction.RequestPromise(NodeId node, long version, long forMillis) ->
                send(
                        node,
                        TPeerBody.promiseRequest(new TPromiseRequest(self.id().value(), version, forMillis)));
            case PlannerAction.AnswerPromise(NodeId requester, boolean granted, long version, long forMillis) ->
                send(requester, TPeerBody.promise(new TPromise(self.id().value(), granted, forMillis, version)));
            case PlannerAction.RecordEvent(Message message, List<String> arguments) ->
                kernel.timeline().record(message, arguments.toArray());
        }
    }

    private void send(PlannerAction.SendOrder order) {
        long remainingMillis = order.sendByMillis() - kernel.clock().monotonicMillis();
        if (remainingMillis <= 0) {
            OrderOutcome notSent = new OrderOutcome.NoAnswer("not sent: too late");
            duty.offer(new PlannerEvent.OrderAnswered(order.orderId(), notSent));
            return;
        }
        ordersSent.inc();
        long timeoutMillis = kernel.settings().platform().callTimeoutMillis();
        var unused = engineClient
                .order(order.address(), order.credential(), order.order(), timeoutMillis)
                .exceptionally(failure -> new OrderOutcome.NoAnswer(String.valueOf(failure)))
                .thenAccept(outcome -> duty.put(new PlannerEvent.OrderAnswered(order.orderId(), outcome)));
    }

    private void adopt(Plan plan) {
        newestPlan = plan;
        kernel.timeline().planVersion(plan.version());
        kernel.publish(new NodeEvent.PlanAdopted(plan));
        if (planner.isPlanner()) {
            for (PeerDirectory.Peer peer : peers.inFailureDomain(self.failureDomain())) {
                send(peer.node(), toWire(plan));
            }
        }
    }

    private static TPeerBody toWire(Plan plan) {
        return TPeerBody.plan(new TPlan(plan.version(), ByteBuffer.wrap(PlanCodec.encode(plan))));
    }

    private void send(NodeId node, TPeerBody body) {
        peers.find(node).ifPresent(peer -> peerClient.send(peer.address(), body));
    }

    private void handlePlan(TPeerMessage message) {
        if (PlanCodec.decode(message.getBody().getPlan().getPlan()) instanceof Result.Ok<Plan, String>(Plan plan)
                && plan.failureDomain().equals(self.failureDomain())) {
            duty.offer(new PlannerEvent.PlanReceived(plan));
        }
    }

    private void handlePlanRequest(TPeerMessage message) {
        Plan plan = newestPlan;
        if (plan != null) {
            send(new NodeId(message.getSender()), toWire(plan));
        }
    }

    private void handlePromiseRequest(TPeerMessage message) {
        TPromiseRequest request = message.getBody().getPromiseRequest();
        duty.offer(new PlannerEvent.PromiseRequested(
                new NodeId(request.getPlanner()), request.getPlanVersion(), request.getForMillis()));
    }

    private void handlePromise(TPeerMessage message) {
        TPromise promise = message.getBody().getPromise();
        duty.offer(new PlannerEvent.PromiseAnswered(
                new NodeId(promise.getNode()), promise.isGranted(), promise.getPlanVersion(), promise.getForMillis()));
    }
}
