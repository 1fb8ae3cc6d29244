package org.apricotdeal.lab.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.policy.membership.Heartbeat;
import org.apricotdeal.policy.membership.Membership;
import org.apricotdeal.policy.membership.MembershipAction;
import org.apricotdeal.policy.membership.MembershipEvent;
import org.apricotdeal.policy.membership.PeerNode;
import org.apricotdeal.policy.membership.VmReport;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.planning.Planner;
import org.apricotdeal.policy.planning.PlannerAction;
import org.apricotdeal.policy.planning.PlannerEvent;
import org.apricotdeal.policy.planning.ServableReplica;
import org.apricotdeal.policy.planning.ServableReplicaFinder;

/** One node of a planning run: probes the VMs, runs the planner, and decides what is servable. */
final class PlanningNode {
    static final long TICK_MILLIS = 100;
    static final long LIST_MILLIS = 1_000;
    static final long GOSSIP_MILLIS = 1_000;

    private static final PolicyEntry POLICY = PolicyEntry.DEFAULT;
    private static final int MAX_CLOCK_OFFSET_MILLIS = 1_000_000;
    private static final long ORDER_TIMEOUT_MILLIS = 1_000;

    private final PlanningWorld world;
    private final NodeId id;
    private Planner planner;
    private Membership membership;
    private ServableReplicaFinder serving;
    private Map<VmId, VmReport> reports;
    private Map<VmId, Vm> listed;
    private Plan plan;
    private List<ServableReplica> servable = List.of();
    private long life;
    private long clockOffsetMillis;

    PlanningNode(PlanningWorld world, NodeId id) {
        this.world = world;
        this.id = id;
        start();
    }

    NodeId id() {
        return id;
    }

    String actor() {
        return id.value();
    }

    boolean isPlanner() {
        return planner.isPlanner();
    }

    List<ServableReplica> servable() {
        return servable;
    }

    /** Starts the node anew: it knows nothing. */
    void start() {
        life++;
        planner = new Planner(id, PlanningShape.FAILURE_DOMAIN, world.faults().planner());
        serving = new ServableReplicaFinder(POLICY.failMillis(), world.faults().planner());
        reports = new HashMap<>();
        listed = Map.of();
        plan = null;
        servable = List.of();
        clockOffsetMillis = world.scheduler().random().nextInt(MAX_CLOCK_OFFSET_MILLIS);
        membership = new Membership(
                id,
                PlanningShape.FAILURE_DOMAIN,
                id + "-" + life,
                world.probersPerVm(),
                world.faults().membership());
        List<PeerNode> peers = new ArrayList<>();
        for (NodeId peer : world.shape().nodes()) {
            peers.add(new PeerNode(peer, PlanningShape.FAILURE_DOMAIN));
        }
        step(new MembershipEvent.PeersListed(peers));
        step(new PlannerEvent.CatalogueChanged(world.shape().models()));
        step(new PlannerEvent.NodesListed(world.shape().nodes()));
    }

    boolean isRunning() {
        return !world.network().isStopped(actor()) && !world.network().isPaused(actor());
    }

    void tick() {
        step(new MembershipEvent.Tick());
        step(new PlannerEvent.Tick());
        servable = plan == null ? List.of() : serving.findServable(nowMillis(), plan, listed, reports);
        world.checks().servable(id, servable, POLICY.failMillis());
    }

    void readList() {
        world.readList(actor(), list -> ifSameLife(() -> takeList(list)));
    }

    void gossip() {
        if (plan == null) {
            return;
        }
        Plan known = plan;
        PlanningNode peer = world.randomNode();
        if (peer != this) {
            world.network().send(actor(), peer.actor(), () -> peer.step(new PlannerEvent.PlanReceived(known)));
        }
    }

    private void takeList(List<Vm> list) {
        Map<VmId, Vm> next = new HashMap<>();
        for (Vm vm : list) {
            next.put(vm.id(), vm);
        }
        listed = next;
        reports.keySet().retainAll(next.keySet());
        step(new MembershipEvent.VmsListed(List.copyOf(next.keySet())));
        step(new PlannerEvent.VmsListed(list));
    }

    private void step(MembershipEvent event) {
        for (MembershipAction action : membership.step(nowMillis(), event)) {
            switch (action) {
                case MembershipAction.Probe(VmId vm) -> probe(vm);
                case MembershipAction.SendHeartbeat(NodeId to, Heartbeat heartbeat) ->
                    world.network().send(actor(), to.value(), () -> world.node(to)
                            .step(new MembershipEvent.HeartbeatReceived(heartbeat)));
                case MembershipAction.ReportVm(VmReport report) -> {
                    reports.put(report.vm(), report);
                    step(new PlannerEvent.VmReported(report));
                }
                case MembershipAction.RecordEvent(var message, var arguments) ->
                    world.trace().add(actor(), message.format(arguments.toArray()));
                case MembershipAction.ReportNode report -> {}
            }
        }
    }

    private void probe(VmId vm) {
        long sentMillis = nowMillis();
        world.network().send(actor(), vm.value(), () -> {
            EngineState state = world.engine(vm).state();
            Runnable answer = ifSameLife(() -> step(new MembershipEvent.ProbeAnswered(vm, sentMillis, state)));
            world.network().send(vm.value(), actor(), answer);
        });
    }

    private void step(PlannerEvent event) {
        List<PlannerAction> actions = new ArrayList<>(planner.step(nowMillis(), event));
        for (PlannerAction action : actions) {
            carryOut(action);
        }
        world.checks().observeRecord();
    }

    private void carryOut(PlannerAction action) {
        switch (action) {
            case PlannerAction.CallStore(var call) -> {
                long callLife = life;
                world.store().call(actor(), call, reply -> {
                    if (callLife == life) {
                        step(new PlannerEvent.StoreReplied(reply));
                    }
                });
            }
            case PlannerAction.SendOrder send -> sendOrder(send);
            case PlannerAction.AdoptPlan(Plan adopted) -> plan = adopted;
            case PlannerAction.RecordEvent(var message, var arguments) ->
                world.trace().add(actor(), message.format(arguments.toArray()));
            case PlannerAction.RequestPromise request -> {}
            case PlannerAction.AnswerPromise answer -> {}
        }
    }

    private void sendOrder(PlannerAction.SendOrder send) {
        world.checks().orderSent(id, send.order());
        world.trace().add(actor(), "sends " + send.order());
        VmId vm = send.order().vm();
        UpstreamId model = Objects.requireNonNull(listed.get(vm)).upstream();
        boolean[] answered = new boolean[1];
        long sentLife = life;
        world.deliverOrder(actor(), model, send.order(), outcome -> {
            if (!answered[0] && sentLife == life) {
                answered[0] = true;
                step(new PlannerEvent.OrderAnswered(send.orderId(), outcome));
            }
        });
        world.scheduler().after(ORDER_TIMEOUT_MILLIS, () -> timeOut(send, sentLife, answered));
    }

    private void timeOut(PlannerAction.SendOrder send, long sentLife, boolean[] answered) {
        if (answered[0] || sentLife != life || world.network().isStopped(actor())) {
            return;
        }
        if (world.network().isPaused(actor())) {
            world.scheduler().after(1, () -> timeOut(send, sentLife, answered));
            return;
        }
        answered[0] = true;
        step(new PlannerEvent.OrderAnswered(send.orderId(), new OrderOutcome.NoAnswer("no answer in time")));
    }

    private Runnable ifSameLife(Runnable body) {
        long bodyLife = life;
        return () -> {
            if (bodyLife == life) {
                body.run();
            }
        };
    }

    private long nowMillis() {
        return world.scheduler().monotonicMillis() + clockOffsetMillis;
    }
}
