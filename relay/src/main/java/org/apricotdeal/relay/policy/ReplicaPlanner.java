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
 * <em>Rebalance:</em> replicas close, and give their VMs to a model that is short. <em>Stage:</em> free VMs load the
 * weights of the model that lacks VMs most, a replica's last missing one first, as the weight store allows; before traffic
 * hosts of members load a second model too, so that survivors can repair either.
 */
public final class ReplicaPlanner {
    /** After this much longer than the stall time, a head without members is certainly broken. */
    private static final long REST_MARGIN_MILLIS = 500;

    /** Time that requests in progress have once a member has announced that it leaves. */
    private static final long LEAVING_GRACE_MILLIS = 1_500;

    /** Time after which a replica whose members do not all join is given up; longer than any load. */
    private static final long FORMING_MILLIS = 40_000;

    /** Time that a replica which gives way has for the requests that it works on; longer than most answers. */
    private static final long CLOSING_MILLIS = 4_000;

    /** Time in which the members of a replica that is dissolved become free for others. */
    private static final long DISSOLVE_MILLIS = 500;

    /** Time in which a replica that got another's VMs opens and takes its part of the load. */
    private static final long REBALANCE_PAUSE_MILLIS = 6_000;

    /** A first member may take so long to show up after the others have. */
    private static final long ASSEMBLE_MILLIS = 4_000;

    /** Loads under way at once before traffic, when they are short. */
    private static final int FIRST_LOADS = 8;

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
    private final Set<FormationId> warming = new HashSet<>();
    private final Map<FormationId, Long> givingWaySinceMillis = new HashMap<>();
    private final Map<FormationId, Long> openAgainMillis = new HashMap<>();
    private final Map<VmId, Long> restUntilMillis = new HashMap<>();
    private final Map<VmId, Staging> staging = new HashMap<>();
    private final Map<FormationId, Planned> planned = new HashMap<>();
    private final Set<VmId> uncounted = new HashSet<>();
    private long lastNumber;
    private long startedMillis = -1;
    private long rebalancedMillis;
    private long dissolvedMillis;
    private Map<FabricDomainId, List<UpstreamVm>> idle = new TreeMap<>();
    private boolean awaitsLoads;
    private List<PlannedOrder> out = new ArrayList<>();
    private Turn turn;
    private ReplicaNeeds needs;

    /** A load of weights onto a host that this planner ordered. */
    private record Staging(ModelId model, long untilMillis) {}

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
     * @param loads load of the upstream's models over the whole fleet; empty where nothing is known
     * @param beforeTraffic true while the fleet starts and loads are short
     * @param loadShare this planner's part of the weight store's rate and concurrency, 0 to 1
     */
    public record Turn(
            long nowMillis,
            long wallMillis,
            EngineProfile engine,
            List<UpstreamVm> vms,
            Set<VmId> lost,
            Map<ModelId, ModelLoad> loads,
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
                boolean moving = vm.group()
                        .map(group -> group.phase() == GroupPhase.JOINING || group.phase() == GroupPhase.CLOSING)
                        .orElse(false);
                if (moving && !watched.contains(vm.id())) {
                    watched.add(vm.id());
                }
            }
        }
        return watched;
    }

    /**
     * Decides what to order now.
     *
     * @param now what is known
     * @return the orders, in the order in which they should be sent
     */
    public List<PlannedOrder> plan(Turn now) {
        turn = now;
        needs = needs(now);
        out = new ArrayList<>(orders.due(now.nowMillis()));
        uncounted.clear();
        if (startedMillis < 0) {
            startedMillis = now.nowMillis();
            restAfterTakeOver();
        }
        staging.values().removeIf(entry -> now.nowMillis() >= entry.untilMillis());
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
        rebalance(formations, counts);
        stage(counts);
        return out;
    }

    private static ReplicaNeeds needs(Turn now) {
        long fabricDomains =
                now.vms().stream().map(UpstreamVm::fabricDomain).distinct().count();
        int spares = (int) fabricDomains * now.engine().models().size();
        Map<ModelId, ModelLoad> loads = now.beforeTraffic() ? Map.of() : now.loads();
        return new ReplicaNeeds(now.engine(), loads, now.vms().size(), spares);
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
        givingWaySinceMillis.keySet().retainAll(known);
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
        if (givingWaySinceMillis.containsKey(id)) {
            close(formation);
            return false;
        }
        if (warming.contains(id) && turn.beforeTraffic()) {
            if (formation.ready()) {
                formation.members().forEach(vm -> leave(vm, id, "has loaded the model"));
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

    /** Closes a replica that gives way to another model; it is dissolved when it has finished its work. */
    private void close(Formation formation) {
        FormationId id = formation.id();
        long sinceMillis = turn.nowMillis() - givingWaySinceMillis.get(id);
        if (formation.headPhase() == GroupPhase.OPEN && sinceMillis < CLOSING_MILLIS) {
            order(formation.head().orElseThrow(), new ReplicaOrder.Close(id.replica(), id.number()), "gives way");
        } else if (formation.headPhase() != GroupPhase.CLOSING || sinceMillis >= CLOSING_MILLIS) {
            dissolve(formation, "has given way");
        }
    }

    /** Tells whether the missing members have been ordered to join and may still do so. */
    private boolean assembling(Formation formation, long sinceMillis) {
        return planned.containsKey(formation.id())
                && !formation.open()
                && turn.nowMillis() - sinceMillis < ASSEMBLE_MILLIS;
    }

    private void dissolve(Formation formation, String reason) {
        dissolvedMillis = turn.nowMillis();
        FormationId id = formation.id();
        Optional<UpstreamVm> head = formation.head().filter(vm -> !turn.lost().contains(vm.id()));
        if (head.isPresent()) {
            leave(head.get(), id, reason);
            PlannedOrder pending = orders.pending(head.get().id());
            if (pending != null && pending.order() instanceof ReplicaOrder.Leave) {
                released.add(id);
            }
            return;
        }
        for (UpstreamVm member : formation.members()) {
            if (!turn.lost().contains(member.id())) {
                leave(member, id, "the head is lost");
                restUntilMillis.put(member.id(), turn.nowMillis() + stallMillis + REST_MARGIN_MILLIS);
            }
        }
    }

    private void leave(UpstreamVm member, FormationId id, String reason) {
        order(member, new ReplicaOrder.Leave(id.replica(), id.number()), reason);
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
        idle = new TreeMap<>();
        awaitsLoads = false;
        boolean countingAtStart = turn.beforeTraffic() && turn.nowMillis() - startedMillis < COUNTING_MILLIS;
        if (countingAtStart && !uncounted.isEmpty()) {
            awaitsLoads = true;
            return;
        }
        free.forEach((domain, vms) -> idle.put(domain, formIn(vms, counts)));
        List<UpstreamVm> left = new ArrayList<>();
        idle.values().forEach(left::addAll);
        if (!turn.beforeTraffic()) {
            formAcross(left, counts);
        } else if (!awaitsLoads) {
            idle.values().forEach(this::warmUp);
        }
    }

    /**
     * Lets spares of a fleet that starts load the smallest model as members of a replica that never opens: they rejoin one
     * fast later, and their hosts are free for the weights of another model.
     */
    private void warmUp(List<UpstreamVm> spares) {
        ModelSpec smallest = turn.engine().models().stream()
                .min(Comparator.comparingInt(ModelSpec::size))
                .orElseThrow();
        List<UpstreamVm> cold =
                spares.stream().filter(vm -> vm.loaded().isEmpty()).toList();
        if (turn.engine().models().size() > 1 && cold.size() >= smallest.size()) {
            warming.add(join(smallest, cold.subList(0, smallest.size())));
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
            for (ModelSpec model : needs.byDeficit(counts)) {
                List<UpstreamVm> members = members(left, model);
                if (members.size() < model.size()) {
                    if (awaitsMembers(members, model)) {
                        return left;
                    }
                    continue;
                }
                if (!mayTake(left, model, counts)) {
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

    /** Tells whether idle VMs wait for few others to form a replica of a model, so that a better provided one takes none. */
    private boolean awaitsMembers(List<UpstreamVm> members, ModelSpec model) {
        return !turn.beforeTraffic() && 2 * members.size() > model.size();
    }

    /** Tells whether a new replica leaves a spare for each model in the fabric domain, or is worth the last ones. */
    private boolean mayTake(List<UpstreamVm> free, ModelSpec model, Map<ModelId, Integer> counts) {
        return free.size() - model.size() >= turn.engine().models().size()
                || (!turn.beforeTraffic() && needs.wants(model, counts));
    }

    /** Chooses a replica's members: those that need least time to join. */
    private List<UpstreamVm> members(List<UpstreamVm> free, ModelSpec model) {
        return free.stream()
                .filter(vm -> turn.beforeTraffic() || holds(vm, model.id()))
                .sorted(Comparator.comparingLong(vm -> joinMillis(vm, model)))
                .limit(model.size())
                .toList();
    }

    /** Tells whether a VM can join a replica of a model without loading it from the weight store. */
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
        return toLoad == 0 || loading() + toLoad <= Math.max(FIRST_LOADS, model.size());
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

    private FormationId join(ModelSpec model, List<UpstreamVm> members) {
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
        return id;
    }

    // Rebalance.

    private void rebalance(List<Formation> formations, Map<ModelId, Integer> counts) {
        boolean pausing = turn.nowMillis() - rebalancedMillis < REBALANCE_PAUSE_MILLIS
                || turn.nowMillis() - dissolvedMillis < DISSOLVE_MILLIS;
        if (turn.beforeTraffic() || pausing || !givingWaySinceMillis.isEmpty()) {
            return;
        }
        List<Formation> serving = formations.stream()
                .filter(formation -> formation.open() && formation.ready() && isWell(formation))
                .toList();
        Rebalancer rebalancer = new Rebalancer(needs, turn.engine().models());
        for (Formation formation : rebalancer.choose(serving, idle, counts).givingWay()) {
            givingWaySinceMillis.put(formation.id(), turn.nowMillis());
            rebalancedMillis = turn.nowMillis();
            close(formation);
        }
    }

    private boolean isWell(Formation formation) {
        return formation.members().stream()
                .noneMatch(vm -> vm.leaving() || turn.lost().contains(vm.id()));
    }

    // Stage.

    private void stage(Map<ModelId, Integer> counts) {
        staging.keySet().removeIf(this::isStaged);
        if (turn.beforeTraffic() && awaitsLoads) {
            return;
        }
        for (UpstreamVm vm : withoutWeights(counts)) {
            stage(vm, modelToStage(vm, counts), concurrentLoads(), "spare");
        }
        for (UpstreamVm vm : turn.vms()) {
            completing(vm).ifPresent(model -> stage(vm, model, concurrentLoads(), "completes a replica"));
        }
        if (turn.beforeTraffic()) {
            for (UpstreamVm vm : turn.vms()) {
                secondModel(vm).ifPresent(model -> stage(vm, model, FIRST_LOADS, "second model of its host"));
            }
        }
    }

    private int concurrentLoads() {
        return turn.beforeTraffic()
                ? FIRST_LOADS
                : (int) Math.max(1, Math.ceil(turn.engine().concurrentLoads() * turn.loadShare()));
    }

    private boolean isStaged(VmId id) {
        for (UpstreamVm vm : turn.vms()) {
            if (vm.id().equals(id)) {
                return vm.staged().contains(staging.get(id).model());
            }
        }
        return true;
    }

    private void stage(UpstreamVm vm, ModelSpec model, int concurrent, String reason) {
        if (loading() >= concurrent || !orders.isSettled(turn.nowMillis(), vm)) {
            return;
        }
        double perSecond = turn.engine().loadsPerSecond() * turn.loadShare();
        if (!turn.beforeTraffic() && !loads.tryLoad(turn.nowMillis(), perSecond)) {
            return;
        }
        if (order(vm, new ReplicaOrder.Stage(model.id()), reason)) {
            staging.put(vm.id(), new Staging(model.id(), turn.nowMillis() + 2 * model.loadMillis()));
        }
    }

    private boolean mayStage(UpstreamVm vm) {
        return vm.fabricDomain().isPresent()
                && !vm.leaving()
                && !staging.containsKey(vm.id())
                && !turn.lost().contains(vm.id());
    }

    /** Returns idle VMs without weights, first those that lack the smallest part of a replica that is needed. */
    private List<UpstreamVm> withoutWeights(Map<ModelId, Integer> counts) {
        return turn.vms().stream()
                .filter(vm -> mayStage(vm) && vm.group().isEmpty() && vm.staged().isEmpty())
                .sorted(Comparator.comparingDouble(vm -> lack(neighbours(vm), modelToStage(vm, counts), counts)))
                .toList();
    }

    /** Returns the model that is short and of which an idle VM would complete a replica, where its own is not short. */
    private Optional<ModelSpec> completing(UpstreamVm vm) {
        if (turn.beforeTraffic() || !mayStage(vm) || vm.group().isPresent() || vm.staged().isEmpty()) {
            return Optional.empty();
        }
        boolean needed = turn.engine().models().stream()
                .anyMatch(model -> holds(vm, model.id()) && needs.isShort(model));
        return turn.engine().models().stream()
                .filter(model -> !needed && !holds(vm, model.id()) && needs.isShort(model))
                .filter(model -> spares(neighbours(vm), model.id()) == model.size() - 1)
                .findFirst();
    }

    /**
     * Returns the model that a host should hold beside that of its VM. A VM rejoins a replica of its last model fast in any
     * case, so with the weights of another it can repair either. Only a model that spans as many
     * VMs or more is worth it: fewer of its replicas exist, and each loss costs it more.
     */
    private Optional<ModelSpec> secondModel(UpstreamVm vm) {
        boolean settled = vm.group()
                .map(group -> group.phase() != GroupPhase.JOINING && group.phase() != GroupPhase.BROKEN)
                .orElse(true);
        if (!settled || !mayStage(vm) || vm.loaded().isEmpty()) {
            return Optional.empty();
        }
        Optional<ModelSpec> own = turn.engine().model(vm.loaded().get());
        if (own.isEmpty() || vm.staged().stream().anyMatch(model -> !model.equals(own.get().id()))) {
            return Optional.empty();
        }
        return turn.engine().models().stream()
                .filter(model -> !model.equals(own.get()) && model.size() >= own.get().size())
                .min(Comparator.comparingDouble(model -> cover(neighbours(vm), model)));
    }

    /** Tells how many replicas' worth of a fabric domain's hosts hold a model's weights, under way or not. */
    private double cover(List<UpstreamVm> neighbours, ModelSpec model) {
        long hosts = neighbours.stream()
                .filter(other -> other.staged().contains(model.id()) || isStaging(other, model.id()))
                .count();
        return (double) hosts / model.size();
    }

    private boolean isStaging(UpstreamVm vm, ModelId model) {
        Staging loading = staging.get(vm.id());
        return loading != null && loading.model().equals(model);
    }

    /**
     * Chooses a model for a VM without weights: one that has replicas in the fabric domain and no spare while the fleet
     * starts; later the one that is furthest below its share and lacks the smallest part of a replica.
     */
    private ModelSpec modelToStage(UpstreamVm vm, Map<ModelId, Integer> counts) {
        List<UpstreamVm> neighbours = neighbours(vm);
        Comparator<ModelSpec> order = Comparator.comparing(
                        (ModelSpec model) -> !turn.beforeTraffic() || !lacksSpare(neighbours, model))
                .thenComparingDouble(model -> lack(neighbours, model, counts));
        return turn.engine().models().stream().min(order).orElseThrow();
    }

    private List<UpstreamVm> neighbours(UpstreamVm vm) {
        return turn.vms().stream()
                .filter(other -> other.fabricDomain().equals(vm.fabricDomain()))
                .filter(other -> !other.id().equals(vm.id()))
                .toList();
    }

    private double lack(List<UpstreamVm> neighbours, ModelSpec model, Map<ModelId, Integer> counts) {
        return missingPart(neighbours, model) * needs.fill(model, counts);
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
        return staging.containsKey(vm.id()) ? isStaging(vm, model) : holds(vm, model);
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
