package org.apricotdeal.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;

import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.engine.Order;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.lab.sim.SimEngine;
import org.apricotdeal.lab.sim.SimStore;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.policy.membership.Membership;

/** Everything that a planning run consists of: virtual clock, network, store, VM list, engines and nodes. */
final class PlanningWorld {
    private static final long LIST_LAG_MILLIS = 1_500;
    private static final double LATE_ORDER_SHARE = 0.25;
    private static final double REPEATED_ORDER_SHARE = 0.25;
    private static final long PROMPT_ORDER_MILLIS = 10;
    private static final long MIN_LOAD_MILLIS = 2_000;
    private static final int LOAD_SPREAD_MILLIS = 4_000;

    private final Scheduler scheduler;
    private final Network network;
    private final SimStore store;
    private final Trace trace;
    private final PlanningShape shape;
    private final PlanningChecks checks;
    private final PlanningMutations faults;
    private final int probersPerVm;
    private final Map<VmId, Vm> trueList = new TreeMap<>();
    private final Map<VmId, SimEngine> engines = new TreeMap<>();
    private final Map<NodeId, PlanningNode> nodes = new TreeMap<>();
    private List<Vm> publishedList;
    private boolean platformAway;

    PlanningWorld(long seed, PlanningMutations faults) {
        this.faults = faults;
        scheduler = new Scheduler(seed);
        network = new Network(scheduler, 200, 3_000);
        store = new SimStore(scheduler, network);
        trace = new Trace(scheduler);
        shape = PlanningShape.draw(scheduler.random());
        probersPerVm = 1 + scheduler.random().nextInt(Membership.PROBERS_PER_VM);
        checks = new PlanningChecks(this);
        shape.vms().forEach(this::addVm);
        publishedList = List.copyOf(trueList.values());
        for (NodeId id : shape.nodes()) {
            nodes.put(id, new PlanningNode(this, id));
        }
        nodes.values().forEach(this::scheduleNode);
    }

    Scheduler scheduler() {
        return scheduler;
    }

    Network network() {
        return network;
    }

    SimStore store() {
        return store;
    }

    Trace trace() {
        return trace;
    }

    PlanningShape shape() {
        return shape;
    }

    PlanningChecks checks() {
        return checks;
    }

    PlanningMutations faults() {
        return faults;
    }

    int probersPerVm() {
        return probersPerVm;
    }

    PlanningNode node(NodeId id) {
        return nodes.get(id);
    }

    SimEngine engine(VmId vm) {
        return engines.get(vm);
    }

    Map<VmId, Vm> trueList() {
        return trueList;
    }

    List<PlanningNode> nodes() {
        return List.copyOf(nodes.values());
    }

    PlanningNode randomNode() {
        return nodes().get(scheduler.random().nextInt(nodes.size()));
    }

    /** Adds a VM that has just started. */
    void addVm(Vm vm) {
        ModelEntry model = shape.model(vm.upstream());
        long loadMillis = MIN_LOAD_MILLIS + scheduler.random().nextInt(LOAD_SPREAD_MILLIS);
        engines.put(vm.id(), new SimEngine(vm.id(), model.orderCheck(), scheduler, loadMillis));
        trueList.put(vm.id(), vm);
        publishLater();
    }

    /** Changes the truth of which the VM list tells after a while. */
    void list(Vm vm) {
        trueList.put(vm.id(), vm);
        publishLater();
    }

    void unlist(VmId vm) {
        trueList.remove(vm);
        publishLater();
    }

    void platformAway(boolean away) {
        platformAway = away;
        store.away(away);
    }

    private void publishLater() {
        List<Vm> list = List.copyOf(trueList.values());
        scheduler.after(LIST_LAG_MILLIS, () -> publishedList = list);
    }

    /** Reads the VM list; nothing comes back while the platform is away or cut off. */
    void readList(String actor, Function<List<Vm>, Runnable> onList) {
        Consumer<List<Vm>> answer = list -> network.send(SimStore.ACTOR, actor, onList.apply(list));
        network.send(actor, SimStore.ACTOR, () -> {
            if (!platformAway) {
                answer.accept(publishedList);
            }
        });
    }

    /** Delivers an order: mostly at once, sometimes late, sometimes twice, never later than the longest delay. */
    void deliverOrder(String actor, UpstreamId model, Order order, Consumer<OrderOutcome> onOutcome) {
        ModelEntry entry = shape.model(model);
        long deadlineMillis = scheduler.monotonicMillis() + entry.orderMaxDelayMillis();
        int copies = scheduler.random().nextDouble() < REPEATED_ORDER_SHARE ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            boolean late = copy > 0 || scheduler.random().nextDouble() < LATE_ORDER_SHARE;
            long delayMillis = late
                    ? scheduler.random().nextLong(entry.orderMaxDelayMillis())
                    : scheduler.random().nextLong(PROMPT_ORDER_MILLIS);
            network.send(
                    actor,
                    order.vm().value(),
                    () -> scheduler.after(delayMillis, () -> execute(actor, entry, order, deadlineMillis, onOutcome)));
        }
    }

    /** Carries out an order; engines that check fencing numbers may get it however late, a paused one when it resumes. */
    private void execute(
            String actor, ModelEntry model, Order order, long deadlineMillis, Consumer<OrderOutcome> onOutcome) {
        String vm = order.vm().value();
        boolean expired =
                model.orderCheck() == OrderCheck.IGNORES_FENCING && scheduler.monotonicMillis() >= deadlineMillis;
        if (network.isStopped(vm) || expired) {
            return;
        }
        if (network.isPaused(vm)) {
            scheduler.after(2, () -> execute(actor, model, order, deadlineMillis, onOutcome));
            return;
        }
        OrderOutcome outcome = engine(order.vm()).order(order);
        trace.add(vm, order + " gives " + describe(outcome));
        network.send(vm, actor, () -> onOutcome.accept(outcome));
    }

    private static String describe(OrderOutcome outcome) {
        return outcome instanceof OrderOutcome.Accepted ? "taken" : outcome.toString();
    }

    private void scheduleNode(PlanningNode node) {
        repeat(node, PlanningNode.TICK_MILLIS, node::tick);
        repeat(node, PlanningNode.LIST_MILLIS, node::readList);
        repeat(node, PlanningNode.GOSSIP_MILLIS, node::gossip);
    }

    private void repeat(PlanningNode node, long periodMillis, Runnable body) {
        long offsetMillis = scheduler.random().nextLong(periodMillis);
        scheduler.after(
                offsetMillis,
                () -> scheduler.every(periodMillis, () -> {
                    if (node.isRunning()) {
                        body.run();
                    }
                }));
    }

    /** Memberships that are whole in truth: every member is up and has joined the same replica and generation. */
    List<SimEngine.Membership> wholeReplicas() {
        List<SimEngine.Membership> whole = new ArrayList<>();
        for (SimEngine engine : engines.values()) {
            SimEngine.Membership joined = engine.joined();
            if (joined != null && !whole.contains(joined) && isWhole(joined)) {
                whole.add(joined);
            }
        }
        return whole;
    }

    private boolean isWhole(SimEngine.Membership membership) {
        for (VmId vm : membership.members()) {
            if (!engines.get(vm).isUp() || !membership.equals(engines.get(vm).joined())) {
                return false;
            }
        }
        return true;
    }
}
