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
import org.apricotdeal.platform.VersionedValue;
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

/** Runs one planner on virtual time. The simulated store and engines answer immediately unless a test disables it. */
final class PlannerFixture {
    static final FailureDomainId DOMAIN = new FailureDomainId("east-1");
    static final UpstreamId MODEL = new UpstreamId("quotes");
    static final long ORDER_DELAY_MILLIS = 1_500;

    private static final long TICK_MILLIS = 100;
    private static final long LOAD_MILLIS = 2_000;

    private final Scheduler scheduler = new Scheduler(1);
    private final Map<VmId, Vm> listedVms = new TreeMap<>();
    private final Map<VmId, SimEngine> engines = new TreeMap<>();
    private final Map<VmId, EngineLoad> engineLoads = new HashMap<>();
    private final Set<VmId> stragglers = new HashSet<>();
    private final Set<VmId> down = new HashSet<>();
    private final Map<String, VersionedValue> store = new HashMap<>();
    private final List<SentOrder> sentOrders = new ArrayList<>();
    private final OrderCheck orderCheck;
    private final ModelEntry model;
    private Planner planner;
    private long revision;
    private boolean storeUnavailable;
    private boolean loseSwapReplies;
    private boolean dropOrders;

    /**
     * An order with the time at which it was sent.
     *
     * @param atMillis virtual time
     * @param order the order
     */
    record SentOrder(long atMillis, Order order) {}

    PlannerFixture(OrderCheck orderCheck, int vmsPerReplica, int replicas) {
        this.orderCheck = orderCheck;
        this.model = new ModelEntry(
                MODEL, "owner", vmsPerReplica, replicas, 8, 30_000, orderCheck, ORDER_DELAY_MILLIS, "", 1);
    }

    PlannerFixture addVms(String fabric, String... names) {
        for (String name : names) {
            VmId id = new VmId(name);
            listedVms.put(id, new Vm(id, DOMAIN, new FabricDomainId(fabric), MODEL, name + ":9000", 8, VmState.LIVE));
            engines.put(id, new SimEngine(id, orderCheck, scheduler, LOAD_MILLIS));
        }
        return this;
    }

    /** Starts a planner without any state, which replaces the previous one. */
    PlannerFixture startPlanner(String node, PlannerFault... faults) {
        planner = new Planner(new NodeId(node), DOMAIN, Set.of(faults));
        step(new PlannerEvent.CatalogueChanged(List.of(model)));
        step(new PlannerEvent.VmsListed(List.copyOf(listedVms.values())));
        step(new PlannerEvent.NodesListed(List.of(new NodeId(node))));
        return this;
    }

    PlannerFixture run(long millis) {
        long untilMillis = nowMillis() + millis;
        while (nowMillis() < untilMillis) {
            scheduler.runUntil(nowMillis() + TICK_MILLIS);
            listedVms.keySet().forEach(this::reportVm);
            step(new PlannerEvent.Tick());
        }
        return this;
    }

    private void reportVm(VmId vm) {
        boolean isDown = down.contains(vm);
        EngineState state = engines.get(vm).state();
        EngineState reportedState = new EngineState(
                vm,
                state.bootId(),
                state.phase(),
                state.replica(),
                state.generation(),
                state.members(),
                state.fence(),
                state.loadedModel(),
                engineLoads.getOrDefault(vm, EngineLoad.NONE));
        step(new PlannerEvent.VmReported(new VmReport(
                vm, isDown ? Health.FAILED : Health.ALIVE, reportedState, nowMillis(), stragglers.contains(vm))));
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

    void markLeaving(String name) {
        Vm vm = listedVms.get(new VmId(name));
        listedVms.put(
                vm.id(),
                new Vm(
                        vm.id(),
                        vm.failureDomain(),
                        vm.fabricDomain(),
                        vm.upstream(),
                        vm.address(),
                        vm.accelerators(),
                        VmState.LEAVING));
        step(new PlannerEvent.VmsListed(List.copyOf(listedVms.values())));
    }

    void setRunningRequests(String name, int running) {
        engineLoads.put(new VmId(name), new EngineLoad(running, 0, 0, 0));
    }

    void markStraggler(String name) {
        stragglers.add(new VmId(name));
    }

    void storeUnavailable(boolean unavailable) {
        storeUnavailable = unavailable;
    }

    void loseSwapReplies(boolean lose) {
        loseSwapReplies = lose;
    }

    void dropOrders(boolean drop) {
        dropOrders = drop;
    }

    Planner planner() {
        return planner;
    }

    List<SentOrder> sentOrders() {
        return sentOrders;
    }

    long nowMillis() {
        return scheduler.monotonicMillis();
    }

    /** Returns the members of each planned replica as text, with the suffix " spanning" if they span fabric domains. */
    List<String> describeReplicas() {
        List<String> texts = new ArrayList<>();
        for (PlannedReplica replica : planner.plan().map(Plan::replicas).orElse(List.of())) {
            List<String> names = replica.vms().stream().map(VmId::value).toList();
            texts.add(String.join(" ", names) + (replica.spanning() ? " spanning" : ""));
        }
        return texts;
    }

    /** Tells whether every engine of the planned replicas has joined as planned. */
    boolean allMembersJoined() {
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
        sentOrders.add(new SentOrder(nowMillis(), send.order()));
        if (dropOrders) {
            step(new PlannerEvent.OrderAnswered(send.orderId(), new OrderOutcome.NoAnswer("order dropped")));
            return;
        }
        OrderOutcome outcome = engines.get(send.order().vm()).order(send.order());
        step(new PlannerEvent.OrderAnswered(send.orderId(), outcome));
    }

    private StoreReply answer(StoreCall call) {
        if (storeUnavailable) {
            return new StoreReply.Failed(call.callId(), new PlatformError.Unknown("store unavailable"));
        }
        return switch (call) {
            case StoreCall.Get get -> new StoreReply.Value(call.callId(), Optional.ofNullable(store.get(get.key())));
            case StoreCall.GrantLease grant -> new StoreReply.Lease(call.callId(), ++revision, grant.ttlMillis());
            case StoreCall.KeepAlive keep ->
                new StoreReply.Lease(call.callId(), keep.leaseId(), Planner.MIN_LEASE_TTL_MILLIS);
            case StoreCall.Revoke revoke -> new StoreReply.Lease(call.callId(), revoke.leaseId(), 0);
            case StoreCall.Delete delete -> throw new IllegalArgumentException("unexpected call: " + delete);
            case StoreCall.Swap swap -> swap(swap);
        };
    }

    private StoreReply swap(StoreCall.Swap swap) {
        VersionedValue current = store.get(swap.key());
        if ((current == null ? 0 : current.revision()) != swap.expectedRevision()) {
            return new StoreReply.Conflict(swap.callId(), Optional.ofNullable(current));
        }
        store.put(swap.key(), new VersionedValue(swap.key(), ++revision, swap.value()));
        if (loseSwapReplies) {
            return new StoreReply.Failed(swap.callId(), new PlatformError.Unknown("reply lost"));
        }
        return new StoreReply.Swapped(swap.callId(), revision);
    }

    /** Removes the key of the planner's lease, as if the lease had expired. */
    void expireLease() {
        store.remove(Planner.leaseKey(DOMAIN));
    }
}
