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
import org.apricotdeal.relay.policy.ReplicaGroups.ReplicaGroup;
import org.apricotdeal.relay.policy.ReplicaGroups.ReplicaGroupId;
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
    private static final long HEAD_STOP_MARGIN_MILLIS = 500;

    /** Time that requests in progress have once a member has announced that it leaves. */
    private static final long LEAVING_DRAIN_MILLIS = 1_500;

    /** Time that a replica which makes room for another one has to finish its requests; most answers take less. */
    private static final long PREEMPTION_DRAIN_MILLIS = 1_500;

    /** Time after which a replica whose members do not all join is given up; longer than any load. */
    private static final long MAX_JOIN_MILLIS = 40_000;

    /** A first member may take so long to show up after the others have. */
    private static final long FIRST_JOIN_REPORT_MILLIS = 4_000;

    /** Time beyond the forming of a replica after which a head that does not say open is told again. */
    private static final long OPEN_MARGIN_MILLIS = 1_500;

    /** Time for all VMs of a fleet that starts to tell their counts, so that the first replicas are chosen among all. */
    private static final long STARTUP_COUNT_WAIT_MILLIS = 1_000;

    private static final long OUTDATED_EPOCH_STEP = 10_000;

    private final String name;
    private final long stallMillis;
    private final PendingOrders orders = new PendingOrders();
    private final WeightStaging staging = new WeightStaging();
    private final Set<ReplicaGroupId> releasedGroups = new HashSet<>();
    private final Map<ReplicaGroupId, Long> firstSeenMillis = new HashMap<>();
    private final Map<ReplicaGroupId, Long> memberLeavingSinceMillis = new HashMap<>();
    private final Map<ReplicaGroupId, Long> closingSinceMillis = new HashMap<>();
    private final Map<ReplicaGroupId, Long> nextOpenMillis = new HashMap<>();
    private final Map<VmId, Long> restUntilMillis = new HashMap<>();
    private final Map<ReplicaGroupId, Planned> joinsOrdered = new HashMap<>();
    private final Set<VmId> vmsWithUnknownOrderCount = new HashSet<>();
    private long lastEpoch;
    private long firstPlanMillis = -1;
    private boolean awaitingLoads;
    private List<PlannedOrder> plannedOrders = new ArrayList<>();
    private Input input;

    /** A replica that this planner ordered its members to join. */
    private record Planned(ModelId model, long atMillis) {}

    /**
     * What a turn is decided on.
     *
     * @param nowMillis monotonic time
     * @param wallMillis time of day, for the numbers of formations
     * @param engine the upstream's engines
     * @param vms the upstream's VMs in the failure domain
     * @param unresponsive VMs that are listed and do not answer
     * @param startup true while the fleet starts and loads are short
     * @param loadShare this planner's part of the weight store's rate and concurrency, 0 to 1
     * @param demand what callers ask of the models
     * @param replicasInOtherDomains replicas that serve the same requests from other failure domains, by model
     */
    public record Input(
            long nowMillis,
            long wallMillis,
            EngineProfile engine,
            List<UpstreamVm> vms,
            Set<VmId> unresponsive,
            boolean startup,
            double loadShare,
            ModelDemand demand,
            Map<ModelId, Integer> replicasInOtherDomains) {}

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
    public void onReply(long nowMillis, PlannedOrder order, OrderReply reply) {
        if (reply == OrderReply.OUTDATED) {
            lastEpoch += OUTDATED_EPOCH_STEP;
        }
        if (order.order() instanceof ReplicaOrder.Stage && reply != OrderReply.BEGUN && reply != OrderReply.UNKNOWN) {
            staging.onEnded(order.vm().id());
        }
        orders.onReply(nowMillis, order, reply);
    }

    /**
     * Returns VMs that cannot be given orders before they have told how many they have begun.
     *
     * @return the VMs
     */
    public Set<VmId> vmsWithUnknownOrderCount() {
        return Set.copyOf(vmsWithUnknownOrderCount);
    }

    /**
     * Returns VMs whose state is about to change.
     *
     * @return VMs worth asking for their state
     */
    public List<VmId> vmsToPoll() {
        List<VmId> watched = new ArrayList<>(orders.vmsWithOrders());
        if (input != null) {
            for (UpstreamVm vm : input.vms()) {
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
    public VmStatistics statistics() {
        return new VmStatistics(input, releasedGroups, staging, restUntilMillis);
    }

    /**
     * Decides what to order now.
     *
     * @param now what is known
     * @return the orders, in the order in which they should be sent
     */
    public List<PlannedOrder> plan(Input now) {
        input = now;
        plannedOrders = new ArrayList<>(orders.takeDueForResend(now.nowMillis()));
        vmsWithUnknownOrderCount.clear();
        if (firstPlanMillis < 0) {
            firstPlanMillis = now.nowMillis();
            restVmsOfEarlierPlanner();
        }
        staging.removeEndedLoads(now);
        List<ReplicaGroup> formations = ReplicaGroups.of(now.vms(), now.engine());
        List<ReplicaGroup> kept = formations.stream().filter(this::keep).toList();
        ModelBalance balance =
                new ModelBalance(now.engine().models(), now.demand().shares(), now.replicasInOtherDomains());
        kept.forEach(formation -> balance.add(formation.model()));
        removeStaleGroups(formations);
        countUnreportedJoins(formations, balance);
        formReplicas(formations, kept, balance);
        stageWeights(kept, balance);
        return plannedOrders;
    }

    /** Counts replicas whose members have been ordered to join and have not said so yet. */
    private void countUnreportedJoins(List<ReplicaGroup> formations, ModelBalance balance) {
        Set<ReplicaGroupId> seen = new HashSet<>();
        formations.forEach(formation -> seen.add(formation.id()));
        joinsOrdered.forEach((id, replica) -> {
            if (!seen.contains(id) && input.nowMillis() - replica.atMillis() < FIRST_JOIN_REPORT_MILLIS) {
                balance.add(replica.model());
            }
        });
    }

    private void removeStaleGroups(List<ReplicaGroup> formations) {
        Set<ReplicaGroupId> known = new HashSet<>();
        formations.forEach(formation -> known.add(formation.id()));
        firstSeenMillis.keySet().retainAll(known);
        nextOpenMillis.keySet().retainAll(known);
        memberLeavingSinceMillis.keySet().retainAll(known);
        closingSinceMillis.keySet().retainAll(known);
    }

    /** Members that left a replica under an earlier planner may have a head that is still open somewhere. */
    private void restVmsOfEarlierPlanner() {
        if (input.startup()) {
            return;
        }
        for (UpstreamVm vm : input.vms()) {
            if (vm.group().isEmpty() && vm.loadedModel().isPresent()) {
                restUntilMillis.put(vm.id(), input.nowMillis() + stallMillis + HEAD_STOP_MARGIN_MILLIS);
            }
        }
    }

    // Open and dissolve.

    /** Decides on a replica; returns true where it serves or is about to. */
    private boolean keep(ReplicaGroup formation) {
        ReplicaGroupId id = formation.id();
        long sinceMillis = firstSeenMillis.computeIfAbsent(id, key -> input.nowMillis());
        if (releasedGroups.contains(id)) {
            formation.head().ifPresent(head -> dissolve(formation, "the head has not left yet"));
            return false;
        }
        boolean lost =
                formation.members().stream().anyMatch(vm -> input.unresponsive().contains(vm.id()));
        boolean leaving = formation.members().stream().anyMatch(UpstreamVm::leaving);
        boolean broken = formation.headPhase() == GroupPhase.BROKEN;
        if (!formation.complete() && !lost && !leaving && isAwaitingMembers(formation, sinceMillis)) {
            return true;
        }
        if (lost || broken || !formation.complete()) {
            dissolve(formation, lost ? "a member does not answer" : broken ? "the head is broken" : "a member is gone");
            return false;
        }
        if (closingSinceMillis.containsKey(id) || formation.headPhase() == GroupPhase.CLOSING) {
            long firstMillis = closingSinceMillis.computeIfAbsent(id, key -> input.nowMillis());
            if (input.nowMillis() - firstMillis >= PREEMPTION_DRAIN_MILLIS) {
                dissolve(formation, "it made room for another");
            }
            return false;
        }
        if (leaving) {
            long firstMillis = memberLeavingSinceMillis.computeIfAbsent(id, key -> input.nowMillis());
            if (input.nowMillis() - firstMillis >= LEAVING_DRAIN_MILLIS) {
                dissolve(formation, "a member leaves");
            }
            return false;
        }
        if (!formation.open() && input.nowMillis() - sinceMillis > MAX_JOIN_MILLIS) {
            dissolve(formation, "members did not get ready");
            return false;
        }
        if (formation.ready() && formation.headPhase() == GroupPhase.READY) {
            open(formation);
        }
        return true;
    }

    private void open(ReplicaGroup formation) {
        ReplicaGroupId id = formation.id();
        if (input.nowMillis() < nextOpenMillis.getOrDefault(id, 0L)) {
            return;
        }
        UpstreamVm head = formation.head().orElseThrow();
        String reason = "all " + formation.size() + " members are ready";
        if (tryOrder(head, new ReplicaOrder.Open(id.replica(), id.number()), reason)) {
            nextOpenMillis.put(id, input.nowMillis() + input.engine().openMillis() + OPEN_MARGIN_MILLIS);
        }
    }

    /** Tells whether the missing members have been ordered to join and may still do so. */
    private boolean isAwaitingMembers(ReplicaGroup formation, long sinceMillis) {
        return joinsOrdered.containsKey(formation.id())
                && !formation.open()
                && input.nowMillis() - sinceMillis < FIRST_JOIN_REPORT_MILLIS;
    }

    private void dissolve(ReplicaGroup formation, String reason) {
        ReplicaGroupId id = formation.id();
        Optional<UpstreamVm> head =
                formation.head().filter(vm -> !input.unresponsive().contains(vm.id()));
        if (head.isPresent()) {
            tryOrder(head.get(), new ReplicaOrder.Leave(id.replica(), id.number()), reason);
            PlannedOrder pending = orders.pending(head.get().id());
            if (pending != null && pending.order() instanceof ReplicaOrder.Leave) {
                releasedGroups.add(id);
            }
            return;
        }
        for (UpstreamVm member : formation.members()) {
            if (!input.unresponsive().contains(member.id())) {
                tryOrder(member, new ReplicaOrder.Leave(id.replica(), id.number()), "the head is lost");
                restUntilMillis.put(member.id(), input.nowMillis() + stallMillis + HEAD_STOP_MARGIN_MILLIS);
            }
        }
    }

    // Form.

    private void formReplicas(List<ReplicaGroup> formations, List<ReplicaGroup> kept, ModelBalance balance) {
        Set<ReplicaGroupId> headed = new HashSet<>();
        for (ReplicaGroup formation : formations) {
            if (formation.head().isPresent()) {
                headed.add(formation.id());
            }
        }
        Map<FabricDomainId, List<UpstreamVm>> free = new TreeMap<>();
        for (UpstreamVm vm : input.vms()) {
            if (vm.fabricDomain().isPresent() && isFree(vm, headed)) {
                free.computeIfAbsent(vm.fabricDomain().get(), id -> new ArrayList<>())
                        .add(vm);
            }
        }
        awaitingLoads = false;
        boolean countingAtStart = input.startup() && input.nowMillis() - firstPlanMillis < STARTUP_COUNT_WAIT_MILLIS;
        if (countingAtStart && !vmsWithUnknownOrderCount.isEmpty()) {
            awaitingLoads = true;
            return;
        }
        Map<FabricDomainId, List<UpstreamVm>> left = new TreeMap<>();
        free.forEach((fabric, vms) -> left.put(fabric, formInFabric(vms, balance)));
        if (!input.startup()) {
            List<UpstreamVm> all = new ArrayList<>();
            left.values().forEach(all::addAll);
            formAcrossFabrics(all, balance);
            left.values().forEach(vms -> vms.retainAll(all));
            preempt(left, kept, balance);
        }
    }

    /** Closes replicas of models that are better off where that makes a replica of the model furthest below its share. */
    private void preempt(Map<FabricDomainId, List<UpstreamVm>> free, List<ReplicaGroup> kept, ModelBalance balance) {
        ModelSpec model = balance.byDeficit().getFirst();
        if (!input.demand().refusingModels().contains(model.id())) {
            return;
        }
        Set<FabricDomainId> fabrics = new TreeSet<>(free.keySet());
        kept.forEach(formation -> formation.members().getFirst().fabricDomain().ifPresent(fabrics::add));
        List<ReplicaGroup> best = List.of();
        for (FabricDomainId fabric : fabrics) {
            int missing = model.replicaSize()
                    - chooseMembers(free.getOrDefault(fabric, List.of()), model).size();
            if (missing <= 0 || willFormWithoutPreemption(fabric, model)) {
                continue;
            }
            List<ReplicaGroup> here = kept.stream()
                    .filter(formation -> formation.open() && isWithin(formation, fabric))
                    .toList();
            List<ReplicaGroup> chosen = Preemption.choose(model, missing, here, balance);
            if (!chosen.isEmpty() && (best.isEmpty() || chosen.size() < best.size())) {
                best = chosen;
            }
        }
        best.forEach(formation -> close(formation, "makes room for " + model.id()));
    }

    private void close(ReplicaGroup formation, String reason) {
        ReplicaGroupId id = formation.id();
        if (tryOrder(formation.head().orElseThrow(), new ReplicaOrder.Close(id.replica(), id.number()), reason)) {
            closingSinceMillis.put(id, input.nowMillis());
        }
    }

    private static boolean isWithin(ReplicaGroup formation, FabricDomainId fabric) {
        return formation.members().stream().allMatch(vm -> vm.fabricDomain().equals(Optional.of(fabric)));
    }

    /** Tells whether VMs that will be free shortly, or rest, make a replica of a model in a fabric domain. */
    private boolean willFormWithoutPreemption(FabricDomainId fabric, ModelSpec model) {
        long soon = input.vms().stream()
                .filter(vm -> vm.fabricDomain().equals(Optional.of(fabric)) && vm.hasWeights(model.id()))
                .filter(vm -> !vm.leaving() && !input.unresponsive().contains(vm.id()))
                .filter(vm -> vm.group()
                        .map(ReplicaGroupId::of)
                        .map(id -> releasedGroups.contains(id) || closingSinceMillis.containsKey(id))
                        .orElse(true))
                .count();
        return soon >= model.replicaSize();
    }

    /** Lets a replica span fabric domains where the failure domain would have none otherwise: slow, but better than none. */
    private void formAcrossFabrics(List<UpstreamVm> free, ModelBalance balance) {
        for (ModelSpec model : input.engine().models()) {
            List<UpstreamVm> members = chooseMembers(free, model);
            if (balance.replicaCount(model.id()) == 0 && members.size() == model.replicaSize()) {
                join(model, members);
                free.removeAll(members);
                balance.add(model.id());
            }
        }
    }

    private boolean isFree(UpstreamVm vm, Set<ReplicaGroupId> headed) {
        if (vm.leaving() || input.unresponsive().contains(vm.id()) || !orders.isSettled(input.nowMillis(), vm)) {
            return false;
        }
        if (vm.orderCount() == UpstreamVm.ORDER_COUNT_UNKNOWN) {
            vmsWithUnknownOrderCount.add(vm.id());
            return false;
        }
        if (input.nowMillis() < restUntilMillis.getOrDefault(vm.id(), 0L)) {
            return false;
        }
        if (vm.group().isEmpty()) {
            return true;
        }
        // A member is free where its head has left; a head that is still there goes first.
        ReplicaGroupId id = ReplicaGroupId.of(vm.group().get());
        return releasedGroups.contains(id) && !headed.contains(id);
    }

    /** Forms what replicas it can within a fabric domain; returns the VMs left over. */
    private List<UpstreamVm> formInFabric(List<UpstreamVm> free, ModelBalance balance) {
        List<UpstreamVm> left = new ArrayList<>(free);
        boolean formed = true;
        while (formed) {
            formed = false;
            for (ModelSpec model : balance.byDeficit()) {
                List<UpstreamVm> members = chooseMembers(left, model);
                if (members.size() < model.replicaSize() || !leavesRoomForOtherModels(left, model)) {
                    continue;
                }
                if (!mayLoad(members, model)) {
                    awaitingLoads = true;
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

    private boolean leavesRoomForOtherModels(List<UpstreamVm> free, ModelSpec model) {
        return !input.startup() || StartupLayout.leavesRoomForOtherModels(input, orders, free, model);
    }

    /** Chooses a replica's members: those that need least time to join. */
    private List<UpstreamVm> chooseMembers(List<UpstreamVm> free, ModelSpec model) {
        return free.stream()
                .filter(vm -> input.startup() || canJoin(vm, model.id()))
                .sorted(Comparator.comparingLong(vm -> joinMillis(vm, model)))
                .limit(model.replicaSize())
                .toList();
    }

    /** A host that is being loaded may have nothing else; its VM can still join the model of its last replica. */
    private boolean canJoin(UpstreamVm vm, ModelId model) {
        boolean again = vm.loadedModel().filter(model::equals).isPresent();
        return again || (vm.hasWeights(model) && !staging.isLoading(vm));
    }

    private static long joinMillis(UpstreamVm vm, ModelSpec model) {
        if (vm.loadedModel().filter(model.id()::equals).isPresent()) {
            return 0;
        }
        return vm.stagedModels().contains(model.id()) ? model.warmLoadMillis() : model.coldLoadMillis();
    }

    private boolean mayLoad(List<UpstreamVm> members, ModelSpec model) {
        if (!input.startup()) {
            return true;
        }
        long toLoad = members.stream().filter(vm -> !vm.hasWeights(model.id())).count();
        return toLoad == 0 || loadsInProgress() + toLoad <= StartupLayout.maxLoads(input.engine());
    }

    private int loadsInProgress() {
        int count = staging.loadCount();
        for (UpstreamVm vm : input.vms()) {
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
        long highest = input.vms().stream()
                .flatMap(vm -> vm.group().stream())
                .mapToLong(GroupMembership::epoch)
                .max()
                .orElse(0);
        lastEpoch = Math.max(Math.max(lastEpoch, highest) + 1, input.wallMillis());
        ReplicaGroupId id = new ReplicaGroupId(ReplicaGroups.replicaName(model.id(), name, lastEpoch), lastEpoch);
        joinsOrdered.put(id, new Planned(model.id(), input.nowMillis()));
        List<VmId> ids = members.stream().map(UpstreamVm::id).toList();
        for (UpstreamVm member : members) {
            staging.onEnded(member.id());
            tryOrder(
                    member, new ReplicaOrder.Join(id.replica(), id.number(), model.id(), ids), "forms " + id.replica());
        }
    }

    // Stage.

    private void stageWeights(List<ReplicaGroup> kept, ModelBalance balance) {
        if (input.startup() && awaitingLoads) {
            return;
        }
        int concurrent = input.startup()
                ? StartupLayout.maxLoads(input.engine())
                : (int) Math.max(1, Math.ceil(input.engine().concurrentLoads() * input.loadShare()));
        Map<VmId, ModelId> places = new HashMap<>();
        Set<VmId> serving = new HashSet<>();
        for (ReplicaGroup formation : kept) {
            formation.members().forEach(vm -> places.put(vm.id(), formation.model()));
            if (formation.open()) {
                formation.members().forEach(vm -> serving.add(vm.id()));
            }
        }
        WeightStaging.Input now =
                new WeightStaging.Input(input, balance, places, vm -> serving.contains(vm.id()), this::canOrder);
        for (int loading = loadsInProgress(); loading < concurrent; loading++) {
            Optional<WeightStaging.Choice> choice = staging.chooseNext(now, concurrent - loading);
            if (choice.isEmpty()) {
                return;
            }
            tryOrder(
                    choice.get().vm(),
                    new ReplicaOrder.Stage(choice.get().model().id()),
                    choice.get().reason());
            staging.onBegun(choice.get(), input.nowMillis());
        }
    }

    // Orders.

    private boolean canOrder(UpstreamVm vm) {
        if (!orders.isSettled(input.nowMillis(), vm)) {
            return false;
        }
        if (vm.orderCount() == UpstreamVm.ORDER_COUNT_UNKNOWN) {
            vmsWithUnknownOrderCount.add(vm.id());
            return false;
        }
        return true;
    }

    private boolean tryOrder(UpstreamVm vm, ReplicaOrder order, String reason) {
        if (!canOrder(vm)) {
            return false;
        }
        PlannedOrder planned = new PlannedOrder(vm, vm.orderCount(), order, reason);
        orders.onSent(input.nowMillis(), planned);
        plannedOrders.add(planned);
        return true;
    }
}
