package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.GroupMembership;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.Formations.Formation;
import org.apricotdeal.relay.policy.Formations.FormationId;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;

/**
 * Plans the replicas of one upstream in one failure domain from what its VMs say of themselves.
 *
 * <p>There is no record of the plan: a replica is what its members say, and every order names the count of orders that it
 * was decided on, so that a VM refuses it once another has come first. Two planners at once waste orders and harm nothing.
 *
 * <p>Each turn goes through these steps. <em>Open:</em> a replica all of whose members are ready serves. <em>Dissolve:</em>
 * where a member is lost or leaves, the head leaves first, then the others are free; where the head itself is lost, the
 * others leave and rest until it cannot be open any more, for it may only be out of reach. <em>Form:</em> free VMs of one
 * fabric domain that hold a model's weights become a replica of it, the model furthest below its share first.
 * <em>Stage:</em> free VMs load the weights of the model that lacks VMs most, a replica's last missing one first, as the
 * weight store allows.
 */
public final class ReplicaPlanner {
    /** After this much longer than the stall time, a head without members is certainly broken. */
    private static final long REST_MARGIN_MILLIS = 500;

    /** Time that requests in progress have once a member has announced that it leaves. */
    private static final long LEAVING_GRACE_MILLIS = 1_500;

    /** Time after which a replica whose members do not all join is given up; longer than any load. */
    private static final long FORMING_MILLIS = 40_000;

    /** A first member may take so long to show up after the others have. */
    private static final long ASSEMBLE_MILLIS = 4_000;

    /** Time beyond the forming of a replica after which a head that does not say open is told again. */
    private static final long OPEN_MARGIN_MILLIS = 1_500;

    /** Time for all VMs of a fleet that starts to tell their counts, so that the first replicas are chosen among all. */
    private static final long COUNTING_MILLIS = 1_000;

    private static final long OUTDATED_STEP = 10_000;

    private final String name;
    private final long stallMillis;
    private final OrderBook orders = new OrderBook();
    private final LoadLimit loads = new LoadLimit();
    private final Set<FormationId> released = new HashSet<>();
    private final Map<FormationId, Long> firstSeenMillis = new HashMap<>();
    private final Map<FormationId, Long> leavingSinceMillis = new HashMap<>();
    private final Map<FormationId, Long> openAgainMillis = new HashMap<>();
    private final Map<VmId, Long> restUntilMillis = new HashMap<>();
    private final Map<VmId, Staging> staging = new HashMap<>();
    private final Map<FormationId, Planned> planned = new HashMap<>();
    private final Set<VmId> uncounted = new HashSet<>();
    private long lastNumber;
    private long startedMillis = -1;
    private boolean awaitsLoads;
    private List<PlannedOrder> out = new ArrayList<>();
    private Turn turn;

    /** A load of weights onto a host that this planner ordered. */
    record Staging(ModelId model, long untilMillis) {}

    /** A replica that this planner ordered its members to join. */
    private record Planned(ModelId model, long atMillis) {}

    /**
     * What a turn is decided on.
     *
     * @param nowMillis monotonic time
     * @param wallMillis time of day, for the numbers of formations
     * @param engine the upstream's engines
     * @param vms the upstream's VMs in the failure domain
     * @param lost VMs that are listed and do not answer
     * @param beforeTraffic true while the fleet starts and loads are short
     * @param loadShare this planner's part of the weight store's rate and concurrency, 0 to 1
     */
    public record Turn(
            long nowMillis,
            long wallMillis,
            EngineProfile engine,
            List<UpstreamVm> vms,
            Set<VmId> lost,
            boolean beforeTraffic,
            double loadShare) {}

    /**
     * Creates a planner.
     *
     * @param name letters and digits that no other planner has, also of an earlier start of the same node
     * @param stallMillis time after which a head whose member is gone is broken
     */
    public ReplicaPlanner(String name, long stallMillis) {
        this.name = name;
        this.stallMillis = stallMillis;
    }

    /**
     * Takes the reply to an order.
     *
     * @param nowMillis time
     * @param order the order
     * @param reply the reply
     */
    public void replied(long nowMillis, PlannedOrder order, OrderReply reply) {
        if (reply == OrderReply.OUTDATED) {
            lastNumber += OUTDATED_STEP;
        }
        if (order.order() instanceof ReplicaOrder.Stage && reply != OrderReply.BEGUN && reply != OrderReply.UNKNOWN) {
            staging.remove(order.vm().id());
        }
        orders.replied(nowMillis, order, reply);
    }

    /**
     * Returns VMs that cannot be given orders before they have told how many they have begun.
     *
     * @return the VMs
     */
    public Set<VmId> uncounted() {
        return Set.copyOf(uncounted);
    }

    /**
     * Returns VMs whose state is about to change.
     *
     * @return VMs worth asking for their state
     */
    public List<VmId> watched() {
        List<VmId> watched = new ArrayList<>(orders.openVms());
        if (turn != null) {
            for (UpstreamVm vm : turn.vms()) {
                boolean joining = vm.group()
                        .map(group -> group.phase() == GroupPhase.JOINING)
                        .orElse(false);
                if (joining && !watched.contains(vm.id())) {
                    watched.add(vm.id());
                }
            }
        }
        return watched;
    }

    /**
     * Counts what the VMs do, as of the last turn.
     *
     * @return the counts
     */
    public CensusTaker census() {
        return new CensusTaker(turn, released, staging, restUntilMillis);
    }

    /**
     * Decides what to order now.
     *
     * @param now what is known
     * @return the orders, in the order in which they should be sent
     */
    public List<PlannedOrder> plan(Turn now) {
        turn = now;
        out = new ArrayList<>(orders.due(now.nowMillis()));
        uncounted.clear();
        if (startedMillis < 0) {
            startedMillis = now.nowMillis();
            restAfterTakeOver();
        }
        staging.values().removeIf(entry -> now.nowMillis() >= entry.untilMillis());
        staging.keySet().removeIf(this::isStaged);
        List<Formation> formations = Formations.of(now.vms(), now.engine());
        Map<ModelId, Integer> counts = new HashMap<>();
        for (Formation formation : formations) {
            if (keep(formation)) {
                counts.merge(formation.model(), 1, Integer::sum);
            }
        }
        forgetGone(formations);
        countUnseen(formations, counts);
        form(formations, counts);
        stage(counts);
        return out;
    }

    /** Counts replicas whose members have been ordered to join and have not said so yet. */
    private void countUnseen(List<Formation> formations, Map<ModelId, Integer> counts) {
        Set<FormationId> seen = new HashSet<>();
        formations.forEach(formation -> seen.add(formation.id()));
        planned.forEach((id, replica) -> {
            if (!seen.contains(id) && turn.nowMillis() - replica.atMillis() < ASSEMBLE_MILLIS) {
                counts.merge(replica.model(), 1, Integer::sum);
            }
        });
    }

    private void forgetGone(List<Formation> formations) {
        Set<FormationId> known = new HashSet<>();
        formations.forEach(formation -> known.add(formation.id()));
        firstSeenMillis.keySet().retainAll(known);
        openAgainMillis.keySet().retainAll(known);
        leavingSinceMillis.keySet().retainAll(known);
    }

    /** Members that left a replica under an earlier planner may have a head that is still open somewhere. */
    private void restAfterTakeOver() {
        if (turn.beforeTraffic()) {
            return;
        }
        for (UpstreamVm vm : turn.vms()) {
            if (vm.group().isEmpty() && vm.loaded().isPresent()) {
                restUntilMillis.put(vm.id(), turn.nowMillis() + stallMillis + REST_MARGIN_MILLIS);
            }
        }
    }

    // Open and dissolve.

    /** Decides on a replica; returns true where it serves or is about to. */
    private boolean keep(Formation formation) {
        FormationId id = formation.id();
        long sinceMillis = firstSeenMillis.computeIfAbsent(id, key -> turn.nowMillis());
        if (released.contains(id)) {
            formation.head().ifPresent(head -> dissolve(formation, "the head has not left yet"));
            return false;
        }
        boolean lost = formation.members().stream().anyMatch(vm -> turn.lost().contains(vm.id()));
        boolean leaving = formation.members().stream().anyMatch(UpstreamVm::leaving);
        boolean broken = formation.headPhase() == GroupPhase.BROKEN;
        if (!formation.complete() && !lost && !leaving && assembling(formation, sinceMillis)) {
            return true;
        }
        if (lost || broken || !formation.complete()) {
            dissolve(formation, lost ? "a member does not answer" : broken ? "the head is broken" : "a member is gone");
            return false;
        }
        if (leaving) {
            long firstMillis = leavingSinceMillis.computeIfAbsent(id, key -> turn.nowMillis());
            if (turn.nowMillis() - firstMillis >= LEAVING_GRACE_MILLIS) {
                dissolve(formation, "a member leaves");
            }
            return false;
        }
        if (!formation.open() && turn.nowMillis() - sinceMillis > FORMING_MILLIS) {
            dissolve(formation, "members did not get ready");
            return false;
        }
        if (formation.ready() && formation.headPhase() == GroupPhase.READY) {
            open(formation);
        }
        return true;
    }

    private void open(Formation formation) {
        FormationId id = formation.id();
        if (turn.nowMillis() < openAgainMillis.getOrDefault(id, 0L)) {
            return;
        }
        UpstreamVm head = formation.head().orElseThrow();
        String reason = "all " + formation.size() + " members are ready";
        if (order(head, new ReplicaOrder.Open(id.replica(), id.number()), reason)) {
            openAgainMillis.put(id, turn.nowMillis() + turn.engine().formMillis() + OPEN_MARGIN_MILLIS);
        }
    }

    /** Tells whether the missing members have been ordered to join and may still do so. */
    private boolean assembling(Formation formation, long sinceMillis) {
        return planned.containsKey(formation.id())
                && !formation.open()
                && turn.nowMillis() - sinceMillis < ASSEMBLE_MILLIS;
    }

    private void dissolve(Formation formation, String reason) {
        FormationId id = formation.id();
        Optional<UpstreamVm> head = formation.head().filter(vm -> !turn.lost().contains(vm.id()));
        if (head.isPresent()) {
            order(head.get(), new ReplicaOrder.Leave(id.replica(), id.number()), reason);
            PlannedOrder pending = orders.pending(head.get().id());
            if (pending != null && pending.order() instanceof ReplicaOrder.Leave) {
                released.add(id);
            }
            return;
        }
        for (UpstreamVm member : formation.members()) {
            if (!turn.lost().contains(member.id())) {
                order(member, new ReplicaOrder.Leave(id.replica(), id.number()), "the head is lost");
                restUntilMillis.put(member.id(), turn.nowMillis() + stallMillis + REST_MARGIN_MILLIS);
            }
        }
    }

    // Form.

    private void form(List<Formation> formations, Map<ModelId, Integer> counts) {
        Set<FormationId> headed = new HashSet<>();
        for (Formation formation : formations) {
            if (formation.head().isPresent()) {
                headed.add(formation.id());
            }
        }
        Map<FabricDomainId, List<UpstreamVm>> free = new TreeMap<>();
        for (UpstreamVm vm : turn.vms()) {
            if (vm.fabricDomain().isPresent() && isFree(vm, headed)) {
                free.computeIfAbsent(vm.fabricDomain().get(), id -> new ArrayList<>())
                        .add(vm);
            }
        }
        awaitsLoads = false;
        boolean countingAtStart = turn.beforeTraffic() && turn.nowMillis() - startedMillis < COUNTING_MILLIS;
        if (countingAtStart && !uncounted.isEmpty()) {
            awaitsLoads = true;
            return;
        }
        List<UpstreamVm> left = new ArrayList<>();
        for (List<UpstreamVm> domain : free.values()) {
            left.addAll(formIn(domain, counts));
        }
        if (!turn.beforeTraffic()) {
            formAcross(left, counts);
        }
    }

    /** Lets a replica span fabric domains where its model would have none otherwise: slow, but better than none. */
    private void formAcross(List<UpstreamVm> free, Map<ModelId, Integer> counts) {
        for (ModelSpec model : turn.engine().models()) {
            List<UpstreamVm> members = members(free, model);
            if (counts.getOrDefault(model.id(), 0) == 0 && members.size() == model.size()) {
                join(model, members);
                free.removeAll(members);
                counts.merge(model.id(), 1, Integer::sum);
            }
        }
    }

    private boolean isFree(UpstreamVm vm, Set<FormationId> headed) {
        if (vm.leaving() || turn.lost().contains(vm.id()) || !orders.isSettled(turn.nowMillis(), vm)) {
            return false;
        }
        if (staging.containsKey(vm.id()) && !turn.beforeTraffic()) {
            return false;
        }
        if (vm.orders() == UpstreamVm.ORDERS_UNKNOWN) {
            uncounted.add(vm.id());
            return false;
        }
        if (turn.nowMillis() < restUntilMillis.getOrDefault(vm.id(), 0L)) {
            return false;
        }
        if (vm.group().isEmpty()) {
            return true;
        }
        // A member is free where its head has left; a head that is still there goes first.
        FormationId id = FormationId.of(vm.group().get());
        return released.contains(id) && !headed.contains(id);
    }

    /** Forms what replicas it can within a fabric domain; returns the VMs left over. */
    private List<UpstreamVm> formIn(List<UpstreamVm> free, Map<ModelId, Integer> counts) {
        List<UpstreamVm> left = new ArrayList<>(free);
        boolean formed = true;
        while (formed) {
            formed = false;
            for (ModelSpec model : byDeficit(counts)) {
                List<UpstreamVm> members = members(left, model);
                if (members.size() < model.size() || !leavesRoom(left, model)) {
                    continue;
                }
                if (!mayLoad(members, model)) {
                    awaitsLoads = true;
                    return left;
                }
                join(model, members);
                left.removeAll(members);
                counts.merge(model.id(), 1, Integer::sum);
                formed = true;
                break;
            }
        }
        return left;
    }

    private boolean leavesRoom(List<UpstreamVm> free, ModelSpec model) {
        return !turn.beforeTraffic() || StartLayout.leavesRoom(turn, orders, free, model);
    }

    /** Models, the one furthest below its share of the VMs first. */
    private List<ModelSpec> byDeficit(Map<ModelId, Integer> counts) {
        List<ModelSpec> models = new ArrayList<>(turn.engine().models());
        models.sort(Comparator.comparingDouble(model -> fill(model, counts)));
        return models;
    }

    private static double fill(ModelSpec model, Map<ModelId, Integer> counts) {
        double share = Math.max(model.share(), Double.MIN_NORMAL);
        return (counts.getOrDefault(model.id(), 0) + 0.5) * model.size() / share;
    }

    /** Chooses a replica's members: those that need least time to join. */
    private List<UpstreamVm> members(List<UpstreamVm> free, ModelSpec model) {
        return free.stream()
                .filter(vm -> turn.beforeTraffic() || holds(vm, model.id()))
                .sorted(Comparator.comparingLong(vm -> joinMillis(vm, model)))
                .limit(model.size())
                .toList();
    }

    static boolean holds(UpstreamVm vm, ModelId model) {
        return vm.staged().contains(model) || vm.loaded().filter(model::equals).isPresent();
    }

    private static long joinMillis(UpstreamVm vm, ModelSpec model) {
        if (vm.loaded().filter(model.id()::equals).isPresent()) {
            return 0;
        }
        return vm.staged().contains(model.id()) ? model.warmMillis() : model.loadMillis();
    }

    private boolean mayLoad(List<UpstreamVm> members, ModelSpec model) {
        if (!turn.beforeTraffic()) {
            return true;
        }
        long toLoad = members.stream().filter(vm -> !holds(vm, model.id())).count();
        return toLoad == 0 || loading() + toLoad <= StartLayout.maxLoads(turn.engine());
    }

    private int loading() {
        int count = staging.size();
        for (UpstreamVm vm : turn.vms()) {
            boolean joining =
                    vm.group().map(group -> group.phase() == GroupPhase.JOINING).orElse(false);
            PlannedOrder pending = orders.pending(vm.id());
            if (joining || (pending != null && pending.order() instanceof ReplicaOrder.Join)) {
                count++;
            }
        }
        return count;
    }

    private void join(ModelSpec model, List<UpstreamVm> members) {
        long highest = turn.vms().stream()
                .flatMap(vm -> vm.group().stream())
                .mapToLong(GroupMembership::number)
                .max()
                .orElse(0);
        lastNumber = Math.max(Math.max(lastNumber, highest) + 1, turn.wallMillis());
        FormationId id = new FormationId(Formations.name(model.id(), name, lastNumber), lastNumber);
        planned.put(id, new Planned(model.id(), turn.nowMillis()));
        List<VmId> ids = members.stream().map(UpstreamVm::id).toList();
        for (UpstreamVm member : members) {
            staging.remove(member.id());
            order(member, new ReplicaOrder.Join(id.replica(), id.number(), model.id(), ids), "forms " + id.replica());
        }
    }

    // Stage.

    private void stage(Map<ModelId, Integer> counts) {
        if (turn.beforeTraffic() && awaitsLoads) {
            return;
        }
        int loading = loading();
        int concurrent = turn.beforeTraffic()
                ? StartLayout.maxLoads(turn.engine())
                : (int) Math.max(1, Math.ceil(turn.engine().concurrentLoads() * turn.loadShare()));
        double perSecond = turn.engine().loadsPerSecond() * turn.loadShare();
        for (UpstreamVm vm : turn.vms()) {
            boolean idle = vm.group().isEmpty() && vm.fabricDomain().isPresent() && !vm.leaving();
            if (!idle
                    || staging.containsKey(vm.id())
                    || !vm.staged().isEmpty()
                    || turn.lost().contains(vm.id())) {
                continue;
            }
            if (loading >= concurrent
                    || !orders.isSettled(turn.nowMillis(), vm)
                    || !(turn.beforeTraffic() || loads.tryLoad(turn.nowMillis(), perSecond))) {
                continue;
            }
            ModelSpec model = modelToStage(vm, counts);
            if (order(vm, new ReplicaOrder.Stage(model.id()), "spare")) {
                staging.put(vm.id(), new Staging(model.id(), turn.nowMillis() + 2 * model.loadMillis()));
                loading++;
            }
        }
    }

    /** Tells whether a load has ended, or its VM is gone. */
    private boolean isStaged(VmId id) {
        for (UpstreamVm vm : turn.vms()) {
            if (vm.id().equals(id)) {
                return vm.staged().contains(staging.get(id).model());
            }
        }
        return true;
    }

    /**
     * Chooses a model for a VM without weights: one that has replicas in the fabric domain and no spare while the fleet
     * starts; later the one that is furthest below its share and lacks the smallest part of a replica.
     */
    private ModelSpec modelToStage(UpstreamVm vm, Map<ModelId, Integer> counts) {
        List<UpstreamVm> neighbours = turn.vms().stream()
                .filter(other -> other.fabricDomain().equals(vm.fabricDomain()))
                .filter(other -> !other.id().equals(vm.id()))
                .toList();
        Comparator<ModelSpec> order = Comparator.comparing(
                        (ModelSpec model) -> !turn.beforeTraffic() || !lacksSpare(neighbours, model))
                .thenComparingDouble(model -> missingPart(neighbours, model) * fill(model, counts));
        return turn.engine().models().stream().min(order).orElseThrow();
    }

    private double missingPart(List<UpstreamVm> neighbours, ModelSpec model) {
        return 1 - (double) (spares(neighbours, model.id()) % model.size()) / model.size();
    }

    private boolean lacksSpare(List<UpstreamVm> neighbours, ModelSpec model) {
        return spares(neighbours, model.id()) == 0;
    }

    private long spares(List<UpstreamVm> neighbours, ModelId model) {
        return neighbours.stream().filter(other -> isSpareOf(other, model)).count();
    }

    private boolean isSpareOf(UpstreamVm vm, ModelId model) {
        if (vm.leaving()
                || (vm.group().isPresent()
                        && !released.contains(FormationId.of(vm.group().get())))) {
            return false;
        }
        Staging loading = staging.get(vm.id());
        return holds(vm, model) || (loading != null && loading.model().equals(model));
    }

    // Orders.

    private boolean order(UpstreamVm vm, ReplicaOrder order, String reason) {
        if (!orders.isSettled(turn.nowMillis(), vm)) {
            return false;
        }
        if (vm.orders() == UpstreamVm.ORDERS_UNKNOWN) {
            uncounted.add(vm.id());
            return false;
        }
        PlannedOrder planned = new PlannedOrder(vm, vm.orders(), order, reason);
        orders.sent(turn.nowMillis(), planned);
        out.add(planned);
        return true;
    }
}
