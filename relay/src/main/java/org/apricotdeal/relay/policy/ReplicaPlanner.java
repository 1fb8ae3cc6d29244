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
import java.util.TreeSet;

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
 * <em>Preempt:</em> where that model lacks members, replicas of others make room for it ({@link Preemption}).
 * <em>Stage:</em> hosts load weights as the weight store allows ({@link WeightStaging}).
 */
public final class ReplicaPlanner {
    /** After this much longer than the stall time, a head without members is certainly broken. */
    private static final long REST_MARGIN_MILLIS = 500;

    /** Time that requests in progress have once a member has announced that it leaves. */
    private static final long LEAVING_GRACE_MILLIS = 1_500;

    /** Time that a replica which makes room for another one has to finish its requests; most answers take less. */
    private static final long CLOSING_MILLIS = 1_500;

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
    private final WeightStaging staging = new WeightStaging();
    private final Set<FormationId> released = new HashSet<>();
    private final Map<FormationId, Long> firstSeenMillis = new HashMap<>();
    private final Map<FormationId, Long> leavingSinceMillis = new HashMap<>();
    private final Map<FormationId, Long> closingSinceMillis = new HashMap<>();
    private final Map<FormationId, Long> openAgainMillis = new HashMap<>();
    private final Map<VmId, Long> restUntilMillis = new HashMap<>();
    private final Map<FormationId, Planned> planned = new HashMap<>();
    private final Set<VmId> uncounted = new HashSet<>();
    private long lastNumber;
    private long startedMillis = -1;
    private boolean awaitsLoads;
    private List<PlannedOrder> out = new ArrayList<>();
    private Turn turn;

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
     * @param demand what callers ask of the models
     * @param elsewhere replicas that serve the same requests from other failure domains, by model
     */
    public record Turn(
            long nowMillis,
            long wallMillis,
            EngineProfile engine,
            List<UpstreamVm> vms,
            Set<VmId> lost,
            boolean beforeTraffic,
            double loadShare,
            ModelDemand demand,
            Map<ModelId, Integer> elsewhere) {}

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
            staging.ended(order.vm().id());
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
        staging.beginTurn(now);
        List<Formation> formations = Formations.of(now.vms(), now.engine());
        List<Formation> kept = formations.stream().filter(this::keep).toList();
        ModelBalance balance =
                new ModelBalance(now.engine().models(), now.demand().shares(), now.elsewhere());
        kept.forEach(formation -> balance.add(formation.model()));
        forgetGone(formations);
        countUnseen(formations, balance);
        form(formations, kept, balance);
        stage(kept, balance);
        return out;
    }

    /** Counts replicas whose members have been ordered to join and have not said so yet. */
    private void countUnseen(List<Formation> formations, ModelBalance balance) {
        Set<FormationId> seen = new HashSet<>();
        formations.forEach(formation -> seen.add(formation.id()));
        planned.forEach((id, replica) -> {
            if (!seen.contains(id) && turn.nowMillis() - replica.atMillis() < ASSEMBLE_MILLIS) {
                balance.add(replica.model());
            }
        });
    }

    private void forgetGone(List<Formation> formations) {
        Set<FormationId> known = new HashSet<>();
        formations.forEach(formation -> known.add(formation.id()));
        firstSeenMillis.keySet().retainAll(known);
        openAgainMillis.keySet().retainAll(known);
        leavingSinceMillis.keySet().retainAll(known);
        closingSinceMillis.keySet().retainAll(known);
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
        if (closingSinceMillis.containsKey(id) || formation.headPhase() == GroupPhase.CLOSING) {
            long firstMillis = closingSinceMillis.computeIfAbsent(id, key -> turn.nowMillis());
            if (turn.nowMillis() - firstMillis >= CLOSING_MILLIS) {
                dissolve(formation, "it made room for another");
            }
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

    private void form(List<Formation> formations, List<Formation> kept, ModelBalance balance) {
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
        Map<FabricDomainId, List<UpstreamVm>> left = new TreeMap<>();
        free.forEach((fabric, vms) -> left.put(fabric, formIn(vms, balance)));
        if (!turn.beforeTraffic()) {
            List<UpstreamVm> all = new ArrayList<>();
            left.values().forEach(all::addAll);
            formAcross(all, balance);
            left.values().forEach(vms -> vms.retainAll(all));
            preempt(left, kept, balance);
        }
    }

    /** Closes replicas of models that are better off where that makes a replica of the model furthest below its share. */
    private void preempt(Map<FabricDomainId, List<UpstreamVm>> free, List<Formation> kept, ModelBalance balance) {
        ModelSpec model = balance.byDeficit().getFirst();
        if (!turn.demand().refusing().contains(model.id())) {
            return;
        }
        Set<FabricDomainId> fabrics = new TreeSet<>(free.keySet());
        kept.forEach(formation -> formation.members().getFirst().fabricDomain().ifPresent(fabrics::add));
        List<Formation> best = List.of();
        for (FabricDomainId fabric : fabrics) {
            int missing = model.size()
                    - members(free.getOrDefault(fabric, List.of()), model).size();
            if (missing <= 0 || isAwaited(fabric, model)) {
                continue;
            }
            List<Formation> here = kept.stream()
                    .filter(formation -> formation.open() && isWithin(formation, fabric))
                    .toList();
            List<Formation> chosen = Preemption.choose(model, missing, here, balance);
            if (!chosen.isEmpty() && (best.isEmpty() || chosen.size() < best.size())) {
                best = chosen;
            }
        }
        best.forEach(formation -> close(formation, "makes room for " + model.id()));
    }

    private void close(Formation formation, String reason) {
        FormationId id = formation.id();
        if (order(formation.head().orElseThrow(), new ReplicaOrder.Close(id.replica(), id.number()), reason)) {
            closingSinceMillis.put(id, turn.nowMillis());
        }
    }

    private static boolean isWithin(Formation formation, FabricDomainId fabric) {
        return formation.members().stream().allMatch(vm -> vm.fabricDomain().equals(Optional.of(fabric)));
    }

    /** Tells whether VMs that will be free shortly, or rest, make a replica of a model in a fabric domain. */
    private boolean isAwaited(FabricDomainId fabric, ModelSpec model) {
        long soon = turn.vms().stream()
                .filter(vm -> vm.fabricDomain().equals(Optional.of(fabric)) && vm.holds(model.id()))
                .filter(vm -> !vm.leaving() && !turn.lost().contains(vm.id()))
                .filter(vm -> vm.group()
                        .map(FormationId::of)
                        .map(id -> released.contains(id) || closingSinceMillis.containsKey(id))
                        .orElse(true))
                .count();
        return soon >= model.size();
    }

    /** Lets a replica span fabric domains where the failure domain would have none otherwise: slow, but better than none. */
    private void formAcross(List<UpstreamVm> free, ModelBalance balance) {
        for (ModelSpec model : turn.engine().models()) {
            List<UpstreamVm> members = members(free, model);
            if (balance.count(model.id()) == 0 && members.size() == model.size()) {
                join(model, members);
                free.removeAll(members);
                balance.add(model.id());
            }
        }
    }

    private boolean isFree(UpstreamVm vm, Set<FormationId> headed) {
        if (vm.leaving() || turn.lost().contains(vm.id()) || !orders.isSettled(turn.nowMillis(), vm)) {
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
    private List<UpstreamVm> formIn(List<UpstreamVm> free, ModelBalance balance) {
        List<UpstreamVm> left = new ArrayList<>(free);
        boolean formed = true;
        while (formed) {
            formed = false;
            for (ModelSpec model : balance.byDeficit()) {
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
                balance.add(model.id());
                formed = true;
                break;
            }
        }
        return left;
    }

    private boolean leavesRoom(List<UpstreamVm> free, ModelSpec model) {
        return !turn.beforeTraffic() || StartLayout.leavesRoom(turn, orders, free, model);
    }

    /** Chooses a replica's members: those that need least time to join. */
    private List<UpstreamVm> members(List<UpstreamVm> free, ModelSpec model) {
        return free.stream()
                .filter(vm -> turn.beforeTraffic() || canJoin(vm, model.id()))
                .sorted(Comparator.comparingLong(vm -> joinMillis(vm, model)))
                .limit(model.size())
                .toList();
    }

    /** A host that is being loaded may have nothing else; its VM can still join the model of its last replica. */
    private boolean canJoin(UpstreamVm vm, ModelId model) {
        boolean again = vm.loaded().filter(model::equals).isPresent();
        return again || (vm.holds(model) && !staging.isLoading(vm));
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
        long toLoad = members.stream().filter(vm -> !vm.holds(model.id())).count();
        return toLoad == 0 || loading() + toLoad <= StartLayout.maxLoads(turn.engine());
    }

    private int loading() {
        int count = staging.count();
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
            staging.ended(member.id());
            order(member, new ReplicaOrder.Join(id.replica(), id.number(), model.id(), ids), "forms " + id.replica());
        }
    }

    // Stage.

    private void stage(List<Formation> kept, ModelBalance balance) {
        if (turn.beforeTraffic() && awaitsLoads) {
            return;
        }
        int concurrent = turn.beforeTraffic()
                ? StartLayout.maxLoads(turn.engine())
                : (int) Math.max(1, Math.ceil(turn.engine().concurrentLoads() * turn.loadShare()));
        Map<VmId, ModelId> places = new HashMap<>();
        Set<VmId> serving = new HashSet<>();
        for (Formation formation : kept) {
            formation.members().forEach(vm -> places.put(vm.id(), formation.model()));
            if (formation.open()) {
                formation.members().forEach(vm -> serving.add(vm.id()));
            }
        }
        WeightStaging.Situation now =
                new WeightStaging.Situation(turn, balance, places, vm -> serving.contains(vm.id()), this::canOrder);
        for (int loading = loading(); loading < concurrent; loading++) {
            Optional<WeightStaging.Choice> choice = staging.next(now, concurrent - loading);
            if (choice.isEmpty()) {
                return;
            }
            order(
                    choice.get().vm(),
                    new ReplicaOrder.Stage(choice.get().model().id()),
                    choice.get().reason());
            staging.begun(choice.get(), turn.nowMillis());
        }
    }

    // Orders.

    private boolean canOrder(UpstreamVm vm) {
        if (!orders.isSettled(turn.nowMillis(), vm)) {
            return false;
        }
        if (vm.orders() == UpstreamVm.ORDERS_UNKNOWN) {
            uncounted.add(vm.id());
            return false;
        }
        return true;
    }

    private boolean order(UpstreamVm vm, ReplicaOrder order, String reason) {
        if (!canOrder(vm)) {
            return false;
        }
        PlannedOrder planned = new PlannedOrder(vm, vm.orders(), order, reason);
        orders.sent(turn.nowMillis(), planned);
        out.add(planned);
        return true;
    }
}
