package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.GroupMembership;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.ModelDemand;
import org.apricotdeal.relay.policy.PlannedOrder;
import org.apricotdeal.relay.policy.ReplicaGroups;
import org.apricotdeal.relay.policy.ReplicaPlanner;
import org.apricotdeal.relay.policy.VmActivity;
import org.apricotdeal.relay.policy.VmCounts;
import org.apricotdeal.relay.policy.VmTable;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;

/**
 * Simulates a failure domain of model VMs with one or more planners on a virtual clock. It checks these invariants
 * after each step: a replica opens only after every member has been ready in that epoch, and no VM joins another
 * replica while the head of its previous one is open, or is stalled without being broken.
 */
final class SimFleet {
    static final long STALL_MILLIS = 4_000;
    private static final long TICK_MILLIS = 100;
    private static final long ENTRY_TTL_MILLIS = 3_600;

    /** Factor by which loads are faster before the first request. */
    private static final int STARTUP_LOAD_SPEEDUP = 10;

    /** Size of the fleet and of the large model's replicas; replicas of the small model have two VMs. */
    record Shape(int fabrics, int vmsPerFabric, int largeReplica, int slots) {
        static final Shape SMALL = new Shape(3, 10, 4, 12);
        static final Shape GROWN = new Shape(3, 18, 8, 14);

        EngineProfile engine() {
            return engine(1);
        }

        private EngineProfile engine(int loadSpeedup) {
            return new EngineProfile(
                    slots,
                    5,
                    7.8,
                    0.13,
                    0.01,
                    45.9,
                    979,
                    154,
                    200,
                    5,
                    7,
                    SimVm.OPEN_MILLIS,
                    2.5,
                    List.of(
                            new ModelSpec(new ModelId("m0"), largeReplica, 0.5, 1, 16_000 / loadSpeedup, 1_600),
                            new ModelSpec(new ModelId("m1"), 2, 0.5, 0.6, 12_000 / loadSpeedup, 1_100)),
                    OptionalLong.empty());
        }
    }

    final Map<VmId, SimVm> vms = new TreeMap<>();
    final UniformRandomProvider random;
    long nowMillis = 100_000;
    double delayedOrderShare;
    double staleEntryShare;
    boolean startup;
    double loadShare = 1;
    /** Demand equals the configured shares, and each model refuses some requests. */
    ModelDemand demand = new ModelDemand(Map.of(), Set.of(new ModelId("m0"), new ModelId("m1")));

    /** Replicas that serve in other failure domains. */
    Map<ModelId, Integer> replicasElsewhere = Map.of();

    private long stageOrders;
    private long refusedStageOrders;
    private long closeOrders;
    private final Shape shape;
    private final Set<String> membershipsOnceReady = new HashSet<>();
    private final Map<VmId, Long> deadSinceMillis = new TreeMap<>();
    private final Map<VmId, Long> leaveAtMillis = new TreeMap<>();
    private final Map<VmId, Cut> cuts = new TreeMap<>();
    private final Map<VmId, UpstreamVm> lastEntries = new TreeMap<>();
    private final List<PlannerNode> planners = new ArrayList<>();
    private final PriorityQueue<DelayedOrder> delayedOrders =
            new PriorityQueue<>(Comparator.comparingLong(DelayedOrder::atMillis));
    private int lastVm;
    private int lastPlanner;

    /** A node with its planner and its view of the VMs. */
    private static final class PlannerNode {
        private final ReplicaPlanner planner;
        private final VmTable table;
        private final List<Runnable> replies = new ArrayList<>();
        private final Set<Long> joinEpochs = new HashSet<>();

        PlannerNode(int number, VmTable table) {
            this.table = table;
            planner = new ReplicaPlanner("p" + number, STALL_MILLIS);
        }
    }

    /** Time for which a VM cannot reach the store. */
    private record Cut(long fromMillis, long untilMillis) {}

    /** An order that is executed late. */
    private record DelayedOrder(long atMillis, VmId vm, long startedMillis, long expected, ReplicaOrder order) {}

    SimFleet(long seed) {
        this(seed, Shape.SMALL);
    }

    SimFleet(long seed, Shape shape) {
        this(seed, shape, shape.vmsPerFabric());
    }

    /** Creates a fleet with an initial number of VMs; more can be added later. */
    SimFleet(long seed, Shape shape, int initialVmsPerFabric) {
        this.shape = shape;
        random = RandomSource.SPLIT_MIX_64.create(seed);
        for (int i = 0; i < shape.fabrics() * initialVmsPerFabric; i++) {
            add(i % shape.fabrics());
        }
        addPlanner();
    }

    SimVm add(int fabric) {
        VmId id = new VmId("v" + ++lastVm);
        SimVm vm = new SimVm(id, new FabricDomainId("f" + fabric), models(), membershipsOnceReady, nowMillis);
        vms.put(id, vm);
        return vm;
    }

    void addPlanner() {
        planners.add(new PlannerNode(++lastPlanner, new VmTable()));
    }

    void replacePlanner() {
        planners.clear();
        addPlanner();
    }

    /** Replaces the planner by one of a node that has watched the entries of the VMs and has planned nothing. */
    void handOverPlanning() {
        VmTable watched = new VmTable();
        liveVms().forEach(vm -> watched.applyEntry(vm.entry(), nowMillis));
        planners.clear();
        planners.add(new PlannerNode(++lastPlanner, watched));
    }

    int plannerCount() {
        return planners.size();
    }

    /** Announces that a VM leaves; it stops some seconds later. */
    void leave(SimVm vm) {
        vm.leaving = true;
        leaveAtMillis.put(vm.id, nowMillis + 5_000);
    }

    void kill(SimVm vm) {
        vm.dead = true;
        deadSinceMillis.put(vm.id, nowMillis);
    }

    /** Cuts a VM off from the store for a time; its entry is removed, and the VM still answers and serves. */
    void cutFromStore(SimVm vm, long forMillis) {
        vm.cutFromStore = true;
        cuts.put(vm.id, new Cut(nowMillis, nowMillis + forMillis));
    }

    void restart(SimVm vm) {
        deadSinceMillis.remove(vm.id);
        vm.restart(nowMillis);
    }

    List<SimVm> liveVms() {
        return vms.values().stream().filter(vm -> !vm.dead).toList();
    }

    /** Returns the number of orders to load weights from the weight store. */
    long stageOrders() {
        return stageOrders;
    }

    /** Returns the number of orders to load weights that VMs refused because they were loading other ones. */
    long refusedStageOrders() {
        return refusedStageOrders;
    }

    /** Returns the number of orders to close a replica. */
    long closeOrders() {
        return closeOrders;
    }

    /** Counts replicas that are open and have all members. */
    long servingReplicas(String model) {
        return liveVms().stream()
                .filter(vm -> vm.group.isPresent() && vm.group.get().phase() == GroupPhase.OPEN)
                .filter(vm ->
                        vm.loadedModel.map(ModelId::value).filter(model::equals).isPresent())
                .filter(vm -> vm.members.stream().allMatch(member -> isMember(member, vm.group.get())))
                .count();
    }

    String describe() {
        StringBuilder text = new StringBuilder();
        liveVms().forEach(vm -> text.append("\n  ")
                .append(vm.id)
                .append(' ')
                .append(vm.fabric)
                .append(" orders=")
                .append(vm.orderCount)
                .append(" staged=")
                .append(vm.stagedModel.orElse(null))
                .append(vm.leaving ? " leaving " : " ")
                .append(vm.group.orElse(null)));
        return liveVms().size() + ":" + text;
    }

    private boolean isMember(VmId id, GroupMembership group) {
        SimVm vm = vms.get(id);
        return vm != null && !vm.dead && vm.group.isPresent() && vm.group.get().sameGroup(group);
    }

    /** Begins the startup phase before the first request, in which loads take a tenth of their usual time. */
    void beginStartup() {
        startup = true;
        vms.values().forEach(vm -> vm.models = models());
    }

    void endStartup() {
        startup = false;
        vms.values().forEach(vm -> vm.models = models());
    }

    private List<ModelSpec> models() {
        return shape.engine(startup ? STARTUP_LOAD_SPEEDUP : 1).models();
    }

    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; ) {
            nowMillis += TICK_MILLIS;
            advanceVms();
            planners.forEach(this::plan);
        }
    }

    private void advanceVms() {
        while (!delayedOrders.isEmpty() && delayedOrders.peek().atMillis() <= nowMillis) {
            DelayedOrder order = delayedOrders.poll();
            SimVm vm = vms.get(order.vm());
            if (vm != null && !vm.dead && vm.startedMillis == order.startedMillis()) {
                apply(vm, order.expected(), order.order());
            }
        }
        for (SimVm vm : liveVms()) {
            if (vm.tick(nowMillis)) {
                checkAllMembersWereReady(vm);
            }
            stallOrBreak(vm);
        }
        for (SimVm vm : liveVms()) {
            if (nowMillis >= leaveAtMillis.getOrDefault(vm.id, Long.MAX_VALUE)) {
                kill(vm);
            }
        }
        cuts.forEach((id, cut) -> vms.get(id).cutFromStore = nowMillis < cut.untilMillis());
        cuts.values().removeIf(cut -> nowMillis >= cut.untilMillis());
        vms.values()
                .removeIf(vm ->
                        vm.dead && nowMillis - deadSinceMillis.getOrDefault(vm.id, nowMillis) > 10 * ENTRY_TTL_MILLIS);
    }

    private void stallOrBreak(SimVm vm) {
        if (vm.group.isEmpty() || vm.group.get().phase() != GroupPhase.OPEN) {
            return;
        }
        boolean whole = vm.members.stream().allMatch(member -> isMember(member, vm.group.get()));
        if (whole) {
            vm.stallSinceMillis = -1;
        } else if (vm.stallSinceMillis < 0) {
            vm.stallSinceMillis = nowMillis;
        } else if (nowMillis - vm.stallSinceMillis >= STALL_MILLIS) {
            vm.setPhase(GroupPhase.BROKEN);
        }
    }

    private void checkAllMembersWereReady(SimVm head) {
        for (VmId member : head.members) {
            if (!membershipsOnceReady.contains(SimVm.membership(member, head.group.orElseThrow()))) {
                throw new AssertionError("at " + nowMillis + ": " + head.group + " opened, but " + member
                        + " was never ready in it; members " + head.members);
            }
        }
    }

    private OrderReply apply(SimVm vm, long expected, ReplicaOrder order) {
        Optional<GroupMembership> before = vm.group;
        closeOrders += order instanceof ReplicaOrder.Close ? 1 : 0;
        stageOrders += order instanceof ReplicaOrder.Stage ? 1 : 0;
        OrderReply reply = vm.handleOrder(nowMillis, expected, order);
        refusedStageOrders += order instanceof ReplicaOrder.Stage && reply == OrderReply.CONFLICT ? 1 : 0;
        if (reply == OrderReply.BEGUN && order instanceof ReplicaOrder.Join join && before.isPresent()) {
            checkPreviousHeadStopped(vm, before.get(), join);
        }
        return reply;
    }

    /**
     * Checks that no live head serves the replica that a joining member is taken from; a dead head accepts no
     * requests.
     */
    private void checkPreviousHeadStopped(SimVm vm, GroupMembership before, ReplicaOrder.Join join) {
        for (SimVm head : liveVms()) {
            boolean heads = head != vm
                    && head.group.isPresent()
                    && head.group.get().rank() == 0
                    && head.group.get().sameGroup(before);
            if (heads
                    && head.group.get().phase() != GroupPhase.BROKEN
                    && head.group.get().phase() != GroupPhase.JOINING
                    && head.group.get().phase() != GroupPhase.READY) {
                throw new AssertionError("at " + nowMillis + ": " + vm.id + " joins " + join.replica() + " while "
                        + head.id + " is " + head.group);
            }
        }
    }

    private void plan(PlannerNode node) {
        List.copyOf(node.replies).forEach(Runnable::run);
        node.replies.clear();
        updateTable(node);
        Set<VmId> unresponsive = new HashSet<>();
        for (UpstreamVm vm : node.table.all()) {
            if (node.table.isUnresponsive(vm.id())) {
                unresponsive.add(vm.id());
            }
        }
        List<UpstreamVm> knownVms = node.table.all().stream()
                .sorted(Comparator.comparing(UpstreamVm::id))
                .toList();
        List<UpstreamVm> vmsToPlan =
                ReplicaGroups.plannable(knownVms, shape.engine(), vm -> node.table.isUnlisted(vm.id(), nowMillis));
        List<PlannedOrder> orders = node.planner.plan(new ReplicaPlanner.Input(
                nowMillis,
                nowMillis,
                shape.engine(),
                vmsToPlan,
                unresponsive,
                startup,
                loadShare,
                demand,
                replicasElsewhere));
        VmCounts counts = node.planner.statistics().vmCounts();
        int served = counts.count(VmActivity.SERVING) + counts.count(VmActivity.AWAY);
        if (counts.notServing() + served != vmsToPlan.size()) {
            throw new AssertionError(
                    "at " + nowMillis + ": " + counts + " does not add up to " + vmsToPlan.size() + " VMs");
        }
        checkJoinsComplete(node, orders);
        orders.forEach(order -> send(node, order));
        Set<VmId> asked = new HashSet<>(node.planner.vmsWithUnknownOrderCount());
        asked.addAll(node.planner.vmsToPoll());
        asked.forEach(id -> pollState(node, id));
    }

    /** Checks that all members of a new replica are ordered to join in the same planning run. */
    private void checkJoinsComplete(PlannerNode node, List<PlannedOrder> orders) {
        Map<ReplicaOrder.Join, Long> joins = orders.stream()
                .map(PlannedOrder::order)
                .filter(ReplicaOrder.Join.class::isInstance)
                .map(ReplicaOrder.Join.class::cast)
                .collect(Collectors.groupingBy(join -> join, Collectors.counting()));
        joins.forEach((join, count) -> {
            if (node.joinEpochs.add(join.number()) && count != join.members().size()) {
                throw new AssertionError("at " + nowMillis + ": " + count + " orders for " + join);
            }
        });
    }

    /** Updates the VM table from entries, each of which may be half a second old. */
    private void updateTable(PlannerNode node) {
        for (SimVm vm : vms.values()) {
            boolean lapsed = (vm.dead && nowMillis - deadSinceMillis.get(vm.id) > ENTRY_TTL_MILLIS)
                    || (vm.cutFromStore && nowMillis - cuts.get(vm.id).fromMillis() > ENTRY_TTL_MILLIS);
            if (lapsed) {
                node.table.removeEntryLater(vm.id, nowMillis);
            } else if (random.nextInt(5) == 0 && !vm.dead && !vm.cutFromStore) {
                if (node.table.applyEntry(entryMaybeStale(vm), nowMillis)) {
                    pollState(node, vm.id);
                }
            }
            if (vm.dead || node.table.isUnresponsive(vm.id) || node.table.isUnlisted(vm.id, nowMillis)) {
                pollState(node, vm.id);
            }
        }
        node.table.removeExpired(nowMillis);
    }

    /**
     * Returns the current entry, or an earlier one as listed for a VM that is cut off from the store or whose write
     * is delayed.
     */
    private UpstreamVm entryMaybeStale(SimVm vm) {
        UpstreamVm entry = vm.entry();
        UpstreamVm before = lastEntries.get(vm.id);
        boolean stale = before != null
                && before.startedWallMillis() == entry.startedWallMillis()
                && random.nextDouble() < staleEntryShare;
        if (!stale) {
            lastEntries.put(vm.id, entry);
        }
        return stale ? before : entry;
    }

    private void pollState(PlannerNode node, VmId id) {
        SimVm vm = vms.get(id);
        if (vm == null || vm.dead) {
            node.table.recordMissedCall(id, nowMillis);
        } else {
            node.table.applyReport(id, vm.report(), nowMillis);
        }
    }

    private void send(PlannerNode node, PlannedOrder order) {
        SimVm vm = vms.get(order.vm().id());
        OrderReply reply;
        if (vm == null || vm.dead || vm.startedMillis != order.vm().startedWallMillis()) {
            reply = OrderReply.UNKNOWN;
        } else if (vm.delaysOrders || random.nextDouble() < delayedOrderShare) {
            long delayMillis = 2_000 + random.nextLong(10_000);
            delayedOrders.add(new DelayedOrder(
                    nowMillis + delayMillis, vm.id, vm.startedMillis, order.expectedOrders(), order.order()));
            reply = OrderReply.UNKNOWN;
        } else {
            reply = apply(vm, order.expectedOrders(), order.order());
        }
        node.replies.add(() -> {
            node.table.applyReply(order, reply, nowMillis);
            node.planner.onReply(nowMillis, order, reply);
        });
    }
}
