package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
import org.apricotdeal.relay.policy.ReplicaPlanner;
import org.apricotdeal.relay.policy.VmActivity;
import org.apricotdeal.relay.policy.VmCounts;
import org.apricotdeal.relay.policy.VmTable;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;

/**
 * A failure domain of model VMs under one or more planners, on a virtual clock. After each step it asserts what must always
 * hold: a replica opens only when every member has been ready in that formation, and no VM joins another replica while the
 * head of its own is open or stands still without having broken.
 */
final class SimFleet {
    static final long STALL_MILLIS = 4_000;
    private static final long TICK_MILLIS = 100;
    private static final long LAPSE_MILLIS = 3_600;
    private static final int FABRICS = 3;

    /** Part of the usual time that a load takes before the first request. */
    private static final int FIRST_LOADS_FASTER = 10;

    /** Size of the fleet and of its large model's replicas; the small model's have two VMs. */
    record Shape(int vmsPerFabric, int largeReplica, int slots) {
        static final Shape SMALL = new Shape(10, 4, 12);
        static final Shape GROWN = new Shape(18, 8, 14);

        EngineProfile engine() {
            return engine(1);
        }

        private EngineProfile engine(int loadsFaster) {
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
                    SimVm.FORM_MILLIS,
                    2.5,
                    List.of(
                            new ModelSpec(new ModelId("m0"), largeReplica, 0.5, 1, 16_000 / loadsFaster, 1_600),
                            new ModelSpec(new ModelId("m1"), 2, 0.5, 0.6, 12_000 / loadsFaster, 1_100)));
        }
    }

    final Map<VmId, SimVm> vms = new TreeMap<>();
    final UniformRandomProvider random;
    long nowMillis = 100_000;
    double lateOrders;
    double oldEntries;
    boolean beforeTraffic;
    double loadShare = 1;
    /** Callers ask for the configured shares, and some are refused at each model. */
    ModelDemand demand = new ModelDemand(Map.of(), Set.of(new ModelId("m0"), new ModelId("m1")));

    private long loadsBegun;
    private long closes;
    private final Shape shape;
    private final Set<String> readyOnce = new HashSet<>();
    private final Map<VmId, Long> deadSinceMillis = new TreeMap<>();
    private final Map<VmId, Long> leavesAtMillis = new TreeMap<>();
    private final Map<VmId, UpstreamVm> lastEntries = new TreeMap<>();
    private final List<Planning> planners = new ArrayList<>();
    private final PriorityQueue<Late> late = new PriorityQueue<>(Comparator.comparingLong(Late::atMillis));
    private int lastVm;
    private int lastPlanner;

    /** A planner with what its node believes. */
    private static final class Planning {
        private final ReplicaPlanner planner;
        private final VmTable table = new VmTable();
        private final List<Runnable> replies = new ArrayList<>();
        private final Set<Long> joined = new HashSet<>();

        Planning(int number) {
            planner = new ReplicaPlanner("p" + number, STALL_MILLIS);
        }
    }

    /** An order that is carried out late. */
    private record Late(long atMillis, VmId vm, long startedMillis, long expected, ReplicaOrder order) {}

    SimFleet(long seed) {
        this(seed, Shape.SMALL);
    }

    SimFleet(long seed, Shape shape) {
        this(seed, shape, shape.vmsPerFabric());
    }

    /** Creates a fleet of which some VMs are there at first; others may be added. */
    SimFleet(long seed, Shape shape, int firstPerFabric) {
        this.shape = shape;
        random = RandomSource.SPLIT_MIX_64.create(seed);
        for (int i = 0; i < FABRICS * firstPerFabric; i++) {
            add(i % FABRICS);
        }
        addPlanner();
    }

    SimVm add(int fabric) {
        VmId id = new VmId("v" + ++lastVm);
        SimVm vm = new SimVm(id, new FabricDomainId("f" + fabric), models(), readyOnce, nowMillis);
        vms.put(id, vm);
        return vm;
    }

    void addPlanner() {
        planners.add(new Planning(++lastPlanner));
    }

    void replacePlanner() {
        planners.clear();
        addPlanner();
    }

    int plannerCount() {
        return planners.size();
    }

    /** Announces that a VM leaves; it is gone some seconds later. */
    void leave(SimVm vm) {
        vm.leaving = true;
        leavesAtMillis.put(vm.id, nowMillis + 5_000);
    }

    void kill(SimVm vm) {
        vm.dead = true;
        deadSinceMillis.put(vm.id, nowMillis);
    }

    void restart(SimVm vm) {
        deadSinceMillis.remove(vm.id);
        vm.restart(nowMillis);
    }

    List<SimVm> live() {
        return vms.values().stream().filter(vm -> !vm.dead).toList();
    }

    /** Returns the loads from the weight store that VMs have been ordered to begin as spares. */
    long loadsBegun() {
        return loadsBegun;
    }

    /** Returns the replicas that were ordered to close. */
    long closes() {
        return closes;
    }

    /** Counts replicas that serve with all members. */
    long serving(String model) {
        return live().stream()
                .filter(vm -> vm.group.isPresent() && vm.group.get().phase() == GroupPhase.OPEN)
                .filter(vm ->
                        vm.loaded.map(ModelId::value).filter(model::equals).isPresent())
                .filter(vm -> vm.members.stream().allMatch(member -> isMember(member, vm.group.get())))
                .count();
    }

    String describe() {
        StringBuilder text = new StringBuilder();
        live().forEach(vm -> text.append("\n  ")
                .append(vm.id)
                .append(' ')
                .append(vm.fabric)
                .append(" orders=")
                .append(vm.orders)
                .append(" staged=")
                .append(vm.staged.orElse(null))
                .append(vm.leaving ? " leaving " : " ")
                .append(vm.group.orElse(null)));
        return live().size() + ":" + text;
    }

    private boolean isMember(VmId id, GroupMembership group) {
        SimVm vm = vms.get(id);
        return vm != null && !vm.dead && vm.group.isPresent() && vm.group.get().sameGroup(group);
    }

    /** Begins the time before the first request, in which loads take a tenth of their time. */
    void beginStart() {
        beforeTraffic = true;
        vms.values().forEach(vm -> vm.models = models());
    }

    void endStart() {
        beforeTraffic = false;
        vms.values().forEach(vm -> vm.models = models());
    }

    private List<ModelSpec> models() {
        return shape.engine(beforeTraffic ? FIRST_LOADS_FASTER : 1).models();
    }

    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; ) {
            nowMillis += TICK_MILLIS;
            moveVms();
            planners.forEach(this::plan);
        }
    }

    private void moveVms() {
        while (!late.isEmpty() && late.peek().atMillis() <= nowMillis) {
            Late order = late.poll();
            SimVm vm = vms.get(order.vm());
            if (vm != null && !vm.dead && vm.startedMillis == order.startedMillis()) {
                apply(vm, order.expected(), order.order());
            }
        }
        for (SimVm vm : live()) {
            if (vm.tick(nowMillis)) {
                checkOpened(vm);
            }
            stallOrBreak(vm);
        }
        for (SimVm vm : live()) {
            if (nowMillis >= leavesAtMillis.getOrDefault(vm.id, Long.MAX_VALUE)) {
                kill(vm);
            }
        }
        vms.values()
                .removeIf(vm ->
                        vm.dead && nowMillis - deadSinceMillis.getOrDefault(vm.id, nowMillis) > 10 * LAPSE_MILLIS);
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
            vm.phase(GroupPhase.BROKEN);
        }
    }

    private void checkOpened(SimVm head) {
        for (VmId member : head.members) {
            if (!readyOnce.contains(SimVm.membership(member, head.group.orElseThrow()))) {
                throw new AssertionError("at " + nowMillis + ": " + head.group + " opened, " + member
                        + " was never ready in it; members " + head.members);
            }
        }
    }

    private OrderReply apply(SimVm vm, long expected, ReplicaOrder order) {
        Optional<GroupMembership> before = vm.group;
        closes += order instanceof ReplicaOrder.Close ? 1 : 0;
        loadsBegun += order instanceof ReplicaOrder.Stage ? 1 : 0;
        OrderReply reply = vm.take(nowMillis, expected, order);
        if (reply == OrderReply.BEGUN && order instanceof ReplicaOrder.Join join && before.isPresent()) {
            checkFree(vm, before.get(), join);
        }
        return reply;
    }

    /** Heads that are dead take nothing; any other must not serve the replica that its member is taken from. */
    private void checkFree(SimVm vm, GroupMembership before, ReplicaOrder.Join join) {
        for (SimVm head : live()) {
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

    private void plan(Planning planning) {
        List.copyOf(planning.replies).forEach(Runnable::run);
        planning.replies.clear();
        learn(planning);
        Set<VmId> lost = new HashSet<>();
        for (UpstreamVm vm : planning.table.all()) {
            if (planning.table.isUnresponsive(vm.id())) {
                lost.add(vm.id());
            }
        }
        List<UpstreamVm> known = planning.table.all().stream()
                .sorted(Comparator.comparing(UpstreamVm::id))
                .toList();
        List<PlannedOrder> orders = planning.planner.plan(new ReplicaPlanner.Input(
                nowMillis, nowMillis, shape.engine(), known, lost, beforeTraffic, loadShare, demand, Map.of()));
        VmCounts census = planning.planner.statistics().vmCounts();
        int served = census.count(VmActivity.SERVING) + census.count(VmActivity.AWAY);
        if (census.notServing() + served != known.size()) {
            throw new AssertionError("at " + nowMillis + ": " + census + " does not count " + known.size() + " VMs");
        }
        checkWholeJoins(planning, orders);
        orders.forEach(order -> send(planning, order));
        Set<VmId> asked = new HashSet<>(planning.planner.vmsWithUnknownOrderCount());
        asked.addAll(planning.planner.vmsToPoll());
        asked.forEach(id -> ask(planning, id));
    }

    /** All members of a new replica are ordered to join in the same turn. */
    private void checkWholeJoins(Planning planning, List<PlannedOrder> orders) {
        Map<ReplicaOrder.Join, Long> joins = orders.stream()
                .map(PlannedOrder::order)
                .filter(ReplicaOrder.Join.class::isInstance)
                .map(ReplicaOrder.Join.class::cast)
                .collect(Collectors.groupingBy(join -> join, Collectors.counting()));
        joins.forEach((join, count) -> {
            if (planning.joined.add(join.number()) && count != join.members().size()) {
                throw new AssertionError("at " + nowMillis + ": " + count + " orders for " + join);
            }
        });
    }

    /** Entries come in steps, and each may be half a second old. */
    private void learn(Planning planning) {
        for (SimVm vm : vms.values()) {
            boolean lapsed = vm.dead && nowMillis - deadSinceMillis.get(vm.id) > LAPSE_MILLIS;
            if (lapsed) {
                planning.table.removeEntryLater(vm.id, nowMillis);
            } else if (random.nextInt(5) == 0 && !vm.dead) {
                if (planning.table.applyEntry(entryMaybeOld(vm), nowMillis)) {
                    ask(planning, vm.id);
                }
            } else if (vm.dead || planning.table.isUnresponsive(vm.id)) {
                ask(planning, vm.id);
            }
        }
        planning.table.removeExpired(nowMillis);
    }

    /** A VM that is cut off from the store, or whose write is delayed, is listed with an entry that is seconds old. */
    private UpstreamVm entryMaybeOld(SimVm vm) {
        UpstreamVm entry = vm.entry();
        UpstreamVm before = lastEntries.get(vm.id);
        boolean old = before != null
                && before.startedWallMillis() == entry.startedWallMillis()
                && random.nextDouble() < oldEntries;
        if (!old) {
            lastEntries.put(vm.id, entry);
        }
        return old ? before : entry;
    }

    private void ask(Planning planning, VmId id) {
        SimVm vm = vms.get(id);
        if (vm == null || vm.dead) {
            planning.table.recordMissedCall(id, nowMillis);
        } else {
            planning.table.applyReport(id, vm.report(), nowMillis);
        }
    }

    private void send(Planning planning, PlannedOrder order) {
        SimVm vm = vms.get(order.vm().id());
        OrderReply reply;
        if (vm == null || vm.dead || vm.startedMillis != order.vm().startedWallMillis()) {
            reply = OrderReply.UNKNOWN;
        } else if (random.nextDouble() < lateOrders) {
            long delayMillis = 2_000 + random.nextLong(10_000);
            late.add(new Late(nowMillis + delayMillis, vm.id, vm.startedMillis, order.expectedOrders(), order.order()));
            reply = OrderReply.UNKNOWN;
        } else {
            reply = apply(vm, order.expectedOrders(), order.order());
        }
        planning.replies.add(() -> {
            planning.table.applyReply(order, reply, nowMillis);
            planning.planner.onReply(nowMillis, order, reply);
        });
    }
}
