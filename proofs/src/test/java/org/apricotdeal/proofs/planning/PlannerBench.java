package org.apricotdeal.proofs.planning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.lab.sim.SimEngine;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.Versioned;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.VmReport;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.planning.PlannedReplica;
import org.apricotdeal.policy.planning.Planner;
import org.apricotdeal.policy.planning.PlannerAction;
import org.apricotdeal.policy.planning.PlannerEvent;
import org.apricotdeal.policy.planning.PlannerFault;

/** One planner on virtual time with a store and engines that answer at once, unless a test tells them otherwise. */
final class PlannerBench {
    static final FailureDomainId DOMAIN = new FailureDomainId("east-1");
    static final UpstreamId MODEL = new UpstreamId("quotes");
    static final long ORDER_DELAY_MILLIS = 1_500;

    private static final long TICK_MILLIS = 100;
    private static final long LOAD_MILLIS = 2_000;

    private final Scheduler scheduler = new Scheduler(1);
    private final Map<VmId, Vm> listed = new TreeMap<>();
    private final Map<VmId, SimEngine> engines = new TreeMap<>();
    private final Map<VmId, EngineLoad> loads = new HashMap<>();
    private final Set<VmId> stragglers = new HashSet<>();
    private final Set<VmId> down = new HashSet<>();
    private final Map<String, Versioned> store = new HashMap<>();
    private final List<Sent> sent = new ArrayList<>();
    private final OrderCheck orderCheck;
    private final ModelEntry model;
    private Planner planner;
    private long revision;
    private boolean storeAway;
    private boolean loseSwapReplies;
    private boolean holdOrders;

    /**
     * An order and when it was sent.
     *
     * @param atMillis virtual time
     * @param order the order
     */
    record Sent(long atMillis, Order order) {}

    PlannerBench(OrderCheck orderCheck, int vmsPerReplica, int replicas) {
        this.orderCheck = orderCheck;
        this.model = new ModelEntry(
                MODEL, "owner", vmsPerReplica, replicas, 8, 30_000, orderCheck, ORDER_DELAY_MILLIS, "", 1);
    }

    PlannerBench vms(String fabric, String... names) {
        for (String name : names) {
            VmId id = new VmId(name);
            listed.put(id, new Vm(id, DOMAIN, new FabricDomainId(fabric), MODEL, name + ":9000", 8, VmState.LIVE));
            engines.put(id, new SimEngine(id, orderCheck, scheduler, LOAD_MILLIS));
        }
        return this;
    }

    /** Starts a planner that knows nothing, in place of the former one if there was one. */
    PlannerBench start(String node, PlannerFault... faults) {
        planner = new Planner(new NodeId(node), DOMAIN, Set.of(faults));
        step(new PlannerEvent.CatalogueChanged(List.of(model)));
        step(new PlannerEvent.VmsListed(List.copyOf(listed.values())));
        step(new PlannerEvent.NodesSeen(List.of(new NodeId(node))));
        return this;
    }

    PlannerBench run(long millis) {
        long untilMillis = nowMillis() + millis;
        while (nowMillis() < untilMillis) {
            scheduler.runUntil(nowMillis() + TICK_MILLIS);
            listed.keySet().forEach(this::report);
            step(new PlannerEvent.Tick());
        }
        return this;
    }

    private void report(VmId vm) {
        boolean isDown = down.contains(vm);
        EngineState state = engines.get(vm).state();
        EngineState loaded = new EngineState(
                vm,
                state.bootId(),
                state.phase(),
                state.replica(),
                state.generation(),
                state.members(),
                state.fence(),
                state.loadedModel(),
                loads.getOrDefault(vm, EngineLoad.NONE));
        step(new PlannerEvent.VmReported(
                new VmReport(vm, isDown ? Health.FAILED : Health.ALIVE, loaded, nowMillis(), stragglers.contains(vm))));
    }

    void down(String... names) {
        for (String name : names) {
            VmId vm = new VmId(name);
            down.add(vm);
            engines.get(vm).kill();
        }
    }

    void up(String... names) {
        for (String name : names) {
            VmId vm = new VmId(name);
            down.remove(vm);
            engines.get(vm).start();
        }
    }

    void leaving(String name) {
        Vm vm = listed.get(new VmId(name));
        listed.put(
                vm.id(),
                new Vm(
                        vm.id(),
                        vm.failureDomain(),
                        vm.fabricDomain(),
                        vm.upstream(),
                        vm.address(),
                        vm.accelerators(),
                        VmState.LEAVING));
        step(new PlannerEvent.VmsListed(List.copyOf(listed.values())));
    }

    void load(String name, int running) {
        loads.put(new VmId(name), new EngineLoad(running, 0, 0, 0));
    }

    void straggler(String name) {
        stragglers.add(new VmId(name));
    }

    void storeAway(boolean away) {
        storeAway = away;
    }

    void loseSwapReplies(boolean lose) {
        loseSwapReplies = lose;
    }

    void holdOrders(boolean hold) {
        holdOrders = hold;
    }

    Planner planner() {
        return planner;
    }

    List<Sent> sent() {
        return sent;
    }

    long nowMillis() {
        return scheduler.monotonicMillis();
    }

    /** Plain text of the plan's replicas: members, with a mark where they span fabric domains. */
    List<String> replicas() {
        List<String> texts = new ArrayList<>();
        for (PlannedReplica replica : planner.plan().map(Plan::replicas).orElse(List.of())) {
            List<String> names = replica.vms().stream().map(VmId::value).toList();
            texts.add(String.join(" ", names) + (replica.spanning() ? " spanning" : ""));
        }
        return texts;
    }

    /** Whether every engine of the plan's replicas has joined as planned. */
    boolean isSettled() {
        for (PlannedReplica replica : planner.plan().orElseThrow().replicas()) {
            for (var member : replica.members()) {
                if (!replica.isJoined(member, engines.get(member.vm()).state())) {
                    return false;
                }
            }
        }
        return true;
    }

    void step(PlannerEvent event) {
        for (PlannerAction action : planner.step(nowMillis(), event)) {
            switch (action) {
                case PlannerAction.CallStore(StoreCall call) -> step(new PlannerEvent.StoreReplied(answer(call)));
                case PlannerAction.SendOrder send -> deliver(send);
                default -> {}
            }
        }
    }

    private void deliver(PlannerAction.SendOrder send) {
        sent.add(new Sent(nowMillis(), send.order()));
        if (holdOrders) {
            step(new PlannerEvent.OrderAnswered(send.orderId(), new OrderOutcome.NoAnswer("held")));
            return;
        }
        OrderOutcome outcome = engines.get(send.order().vm()).order(send.order());
        step(new PlannerEvent.OrderAnswered(send.orderId(), outcome));
    }

    private StoreReply answer(StoreCall call) {
        if (storeAway) {
            return new StoreReply.Failed(call.callId(), new PlatformError.Unknown("away"));
        }
        return switch (call) {
            case StoreCall.Get get -> new StoreReply.Value(call.callId(), Optional.ofNullable(store.get(get.key())));
            case StoreCall.GrantLease grant -> new StoreReply.Lease(call.callId(), ++revision, grant.ttlMillis());
            case StoreCall.KeepAlive keep ->
                new StoreReply.Lease(call.callId(), keep.leaseId(), Planner.MIN_LEASE_TTL_MILLIS);
            case StoreCall.Revoke revoke -> new StoreReply.Lease(call.callId(), revoke.leaseId(), 0);
            case StoreCall.Delete delete -> throw new IllegalArgumentException("not used: " + delete);
            case StoreCall.Swap swap -> swap(swap);
        };
    }

    private StoreReply swap(StoreCall.Swap swap) {
        Versioned former = store.get(swap.key());
        if ((former == null ? 0 : former.revision()) != swap.expectedRevision()) {
            return new StoreReply.Conflict(swap.callId(), Optional.ofNullable(former));
        }
        store.put(swap.key(), new Versioned(swap.key(), ++revision, swap.value()));
        if (loseSwapReplies) {
            return new StoreReply.Failed(swap.callId(), new PlatformError.Unknown("reply lost"));
        }
        return new StoreReply.Swapped(swap.callId(), revision);
    }

    /** Ends the planner's lease, as if it had lapsed. */
    void lapseLease() {
        store.remove(Planner.leaseKey(DOMAIN));
    }
}
