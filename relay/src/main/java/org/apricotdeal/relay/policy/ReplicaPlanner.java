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
 * Plans the replicas of one upstream in one failure domain, based on the reported state of its VMs.
 *
 * <p>The plan is not stored: a replica is what its members report. Each order carries the order count that it was
 * decided on, and a VM refuses it if another order has come first. Two concurrent planners therefore waste orders
 * but do no harm.
 *
 * <p>Each run has these steps. <em>Open:</em> a replica starts serving when all its members are ready.
 * <em>Dissolve:</em> if a member is lost or leaves, the head leaves first; its reply frees the other members. If the
 * head itself is lost, before or after this order, it may only be unreachable, so the others leave and rest until it
 * cannot be open any more ({@link HeadTracker}).
 * <em>Form:</em> free VMs of one fabric domain that have the weights of a model become a replica of it, beginning
 * with the model furthest below its share. <em>Preempt:</em> if that model lacks members, replicas of other models
 * are closed for it ({@link Preemption}). <em>Stage:</em> hosts load weights as far as the weight store allows
 * ({@link WeightStaging}).
 */
public final class ReplicaPlanner {
    /** Time that running requests are given after a member has announced that it leaves. */
    private static final long LEAVING_DRAIN_MILLIS = 1_500;

    /** Time that a preempted replica is given to finish its requests; most answers take less. */
    private static final long PREEMPTION_DRAIN_MILLIS = 1_500;

    /**
     * Time after which a replica whose members have not all become ready is dissolved; longer than any load of
     * weights.
     */
    private static final long MAX_FORMING_MILLIS = 40_000;

    /** Maximum time until all members of a new replica report that they are joining. */
    private static final long JOIN_REPORT_MILLIS = 4_000;

    /** Margin beyond the opening time of a replica after which the order to open is repeated. */
    private static final long OPEN_MARGIN_MILLIS = 1_500;

    /**
     * Time for all VMs to report their order counts during startup, so that the first replicas are chosen among all
     * VMs.
     */
    private static final long STARTUP_COUNT_WAIT_MILLIS = 1_000;

    private static final long OUTDATED_EPOCH_STEP = 10_000;

    private final String name;
    private final PendingOrders orders = new PendingOrders();
    private final WeightStaging staging = new WeightStaging();
    private final HeadTracker heads;
    private final Set<ReplicaGroupId> releasedGroups = new HashSet<>();
    private final Map<ReplicaGroupId, Long> firstSeenMillis = new HashMap<>();
    private final Map<ReplicaGroupId, Long> memberLeavingSinceMillis = new HashMap<>();
    private final Map<ReplicaGroupId, Long> closingSinceMillis = new HashMap<>();
    private final Map<ReplicaGroupId, Long> nextOpenMillis = new HashMap<>();
    private final Map<ReplicaGroupId, OrderedJoin> orderedJoins = new HashMap<>();
    private final Set<VmId> vmsWithUnknownOrderCount = new HashSet<>();
    private long lastEpoch;
    private long firstPlanMillis = -1;
    private boolean awaitingLoads;
    private List<PlannedOrder> plannedOrders = new ArrayList<>();
    private Input input;

    /** A replica whose members this planner has ordered to join. */
    private record OrderedJoin(ModelId model, long atMillis) {}

    /**
     * Input of a planning run.
     *
     * @param nowMillis monotonic time
     * @param wallMillis wall-clock time, the base of new epochs
     * @param engine profile of the engines
     * @param vms VMs of the upstream in the failure domain
     * @param unresponsive VMs that are listed but do not answer
     * @param startup true before the first request, while loads of weights are fast
     * @param loadShare this planner's share of the rate and concurrency of the weight store, 0 to 1
     * @param demand demand for the models
     * @param replicasInOtherDomains number of replicas by model that serve the same requests from other failure
     * domains
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
     * @param name letters and digits that identify the planner; unique also across restarts of a node
     * @param stallMillis time after which a head that lacks a member is broken
     */
    public ReplicaPlanner(String name, long stallMillis) {
        this.name = name;
        this.heads = new HeadTracker(stallMillis);
    }

    /**
     * Handles the reply to an order.
     *
     * @param nowMillis monotonic time
     * @param order order that was sent
     * @param reply reply of the VM
     */
    public void onReply(long nowMillis, PlannedOrder order, OrderReply reply) {
        if (reply == OrderReply.OUTDATED) {
            lastEpoch += OUTDATED_EPOCH_STEP;
        }
        if (order.order() instanceof ReplicaOrder.Stage && reply != OrderReply.BEGUN && reply != OrderReply.UNKNOWN) {
            staging.onEnded(order.vm().id());
        }
        heads.onReply(order, reply);
        orders.onReply(nowMillis, order, reply);
    }

    /**
     * Returns the VMs that cannot receive orders until they have reported their order count.
     *
     * @return VMs to poll
     */
    public Set<VmId> vmsWithUnknownOrderCount() {
        return Set.copyOf(vmsWithUnknownOrderCount);
    }

    /**
     * Returns the VMs whose state is about to change.
     *
     * @return VMs to poll
     */
    public List<VmId> vmsToPoll() {
        List<VmId> vms = new ArrayList<>(orders.vmsWithOrders());
        if (input != null) {
            vms.addAll(staging.vmsWithOverdueLoads(input.nowMillis()));
            for (UpstreamVm vm : input.vms()) {
                boolean joining = vm.group()
                        .map(group -> group.phase() == GroupPhase.JOINING)
                        .orElse(false);
                if (joining && !vms.contains(vm.id())) {
                    vms.add(vm.id());
                }
            }
        }
        return vms;
    }

    /**
     * Returns statistics of the last planning run.
     *
     * @return statistics of the VMs and fabric domains
     */
    public VmStatistics statistics() {
        return new VmStatistics(input, releasedGroups, staging, vm -> heads.isResting(vm, input.nowMillis()));
    }

    /**
     * Decides on the orders to send now.
     *
     * @param latestInput current state and demand
     * @return orders in the sequence in which they should be sent
     */
    public List<PlannedOrder> plan(Input latestInput) {
        input = latestInput;
        plannedOrders = new ArrayList<>(orders.takeDueForResend(latestInput.nowMillis()));
        vmsWithUnknownOrderCount.clear();
        if (latestInput.engine().models().isEmpty()) {
            return plannedOrders;
        }
        if (firstPlanMillis < 0) {
            firstPlanMillis = latestInput.nowMillis();
        }
        staging.updateLoads(latestInput);
        List<ReplicaGroup> groups = ReplicaGroups.of(latestInput.vms(), latestInput.engine());
        heads.observe(latestInput, groups);
        List<ReplicaGroup> activeGroups = groups.stream().filter(this::maintain).toList();
        ModelBalance balance = new ModelBalance(
                latestInput.engine().models(), latestInput.demand().shares(), latestInput.replicasInOtherDomains());
        activeGroups.forEach(group -> balance.add(group.model()));
        removeStaleGroups(groups);
        countUnreportedJoins(groups, balance);
        formReplicas(groups, activeGroups, balance);
        stageWeights(activeGroups, balance);
        return plannedOrders;
    }

    /** Counts replicas whose members have been ordered to join but have not reported it yet. */
    private void countUnreportedJoins(List<ReplicaGroup> groups, ModelBalance balance) {
        Set<ReplicaGroupId> seen = new HashSet<>();
        groups.forEach(group -> seen.add(group.id()));
        orderedJoins.forEach((id, replica) -> {
            if (!seen.contains(id) && input.nowMillis() - replica.atMillis() < JOIN_REPORT_MILLIS) {
                balance.add(replica.model());
            }
        });
    }

    private void removeStaleGroups(List<ReplicaGroup> groups) {
        Set<ReplicaGroupId> knownGroups = new HashSet<>();
        groups.forEach(group -> knownGroups.add(group.id()));
        firstSeenMillis.keySet().retainAll(knownGroups);
        nextOpenMillis.keySet().retainAll(knownGroups);
        memberLeavingSinceMillis.keySet().retainAll(knownGroups);
        closingSinceMillis.keySet().retainAll(knownGroups);
    }

    // Open and dissolve.

    /** Decides what happens to a replica group; returns true if it serves or is about to. */
    private boolean maintain(ReplicaGroup group) {
        ReplicaGroupId id = group.id();
        long seenSinceMillis = firstSeenMillis.computeIfAbsent(id, key -> input.nowMillis());
        if (releasedGroups.contains(id) || heads.hasStopped(id)) {
            if (group.head().isPresent() || !heads.hasStopped(id)) {
                dissolve(group, "the head has not left yet");
            }
            return false;
        }
        boolean memberLost =
                group.members().stream().anyMatch(vm -> input.unresponsive().contains(vm.id()));
        boolean memberLeaving = group.members().stream().anyMatch(UpstreamVm::leaving);
        boolean broken = group.headPhase() == GroupPhase.BROKEN;
        if (!group.complete() && !memberLost && !memberLeaving && isAwaitingMembers(group, seenSinceMillis)) {
            return true;
        }
        if (memberLost || broken || !group.complete()) {
            dissolve(
                    group,
                    memberLost ? "a member does not answer" : broken ? "the head is broken" : "a member is gone");
            return false;
        }
        if (closingSinceMillis.containsKey(id) || group.headPhase() == GroupPhase.CLOSING) {
            long firstMillis = closingSinceMillis.computeIfAbsent(id, key -> input.nowMillis());
            if (input.nowMillis() - firstMillis >= PREEMPTION_DRAIN_MILLIS) {
                dissolve(group, "it was preempted by another model");
            }
            return false;
        }
        if (memberLeaving) {
            long firstMillis = memberLeavingSinceMillis.computeIfAbsent(id, key -> input.nowMillis());
            if (input.nowMillis() - firstMillis >= LEAVING_DRAIN_MILLIS) {
                dissolve(group, "a member leaves");
            }
            return false;
        }
        if (!group.open() && input.nowMillis() - seenSinceMillis > MAX_FORMING_MILLIS) {
            dissolve(group, "its members did not become ready in time");
            return false;
        }
        if (group.ready() && group.headPhase() == GroupPhase.READY) {
            open(group);
        }
        return true;
    }

    private void open(ReplicaGroup group) {
        ReplicaGroupId id = group.id();
        if (input.nowMillis() < nextOpenMillis.getOrDefault(id, 0L)) {
            return;
        }
        UpstreamVm head = group.head().orElseThrow();
        String reason = "all " + group.size() + " members are ready";
        if (tryOrder(head, new ReplicaOrder.Open(id.replica(), id.epoch()), reason)) {
            nextOpenMillis.put(id, input.nowMillis() + input.engine().openMillis() + OPEN_MARGIN_MILLIS);
        }
    }

    /** Returns whether the missing members have been ordered to join and may still report it. */
    private boolean isAwaitingMembers(ReplicaGroup group, long seenSinceMillis) {
        return orderedJoins.containsKey(group.id())
                && !group.open()
                && input.nowMillis() - seenSinceMillis < JOIN_REPORT_MILLIS;
    }

    private void dissolve(ReplicaGroup group, String reason) {
        ReplicaGroupId id = group.id();
        Optional<UpstreamVm> head =
                group.head().filter(vm -> !input.unresponsive().contains(vm.id()));
        if (head.isPresent()) {
            tryOrder(head.get(), new ReplicaOrder.Leave(id.replica(), id.epoch()), reason);
            PlannedOrder pending = orders.pending(head.get().id());
            if (pending != null && pending.order() instanceof ReplicaOrder.Leave) {
                releasedGroups.add(id);
            }
            return;
        }
        for (UpstreamVm member : group.members()) {
            if (!input.unresponsive().contains(member.id())) {
                tryOrder(member, new ReplicaOrder.Leave(id.replica(), id.epoch()), "the head is lost");
                heads.rest(member.id(), input.nowMillis());
            }
        }
    }

    // Form.

    private void formReplicas(List<ReplicaGroup> groups, List<ReplicaGroup> activeGroups, ModelBalance balance) {
        Set<ReplicaGroupId> groupsWithHead = new HashSet<>();
        for (ReplicaGroup group : groups) {
            if (group.head().isPresent()) {
                groupsWithHead.add(group.id());
            }
        }
        Map<FabricDomainId, List<UpstreamVm>> free = new TreeMap<>();
        for (UpstreamVm vm : input.vms()) {
            if (vm.fabricDomain().isPresent() && isFree(vm, groupsWithHead)) {
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
        Map<FabricDomainId, List<UpstreamVm>> remaining = new TreeMap<>();
        free.forEach((fabricDomain, vms) -> remaining.put(fabricDomain, formInFabric(vms, balance)));
        if (!input.startup()) {
            List<UpstreamVm> all = new ArrayList<>();
            remaining.values().forEach(all::addAll);
            formAcrossFabrics(all, balance);
            remaining.values().forEach(vms -> vms.retainAll(all));
            preempt(remaining, activeGroups, balance);
        }
    }

    /** Closes replicas of other models if that allows a replica of the model furthest below its share. */
    private void preempt(
            Map<FabricDomainId, List<UpstreamVm>> free, List<ReplicaGroup> activeGroups, ModelBalance balance) {
        ModelSpec model = balance.byDeficit().getFirst();
        if (!input.demand().refusingModels().contains(model.id())) {
            return;
        }
        Set<FabricDomainId> fabricDomains = new TreeSet<>(free.keySet());
        activeGroups.forEach(group -> group.members().getFirst().fabricDomain().ifPresent(fabricDomains::add));
        List<ReplicaGroup> best = List.of();
        for (FabricDomainId fabricDomain : fabricDomains) {
            int missing = model.replicaSize()
                    - chooseMembers(free.getOrDefault(fabricDomain, List.of()), model)
                            .size();
            if (missing <= 0 || willFormWithoutPreemption(fabricDomain, model)) {
                continue;
            }
            List<ReplicaGroup> servingGroups = activeGroups.stream()
                    .filter(group -> group.open() && isWithin(group, fabricDomain))
                    .toList();
            List<ReplicaGroup> chosen = Preemption.choose(model, missing, servingGroups, balance);
            if (!chosen.isEmpty() && (best.isEmpty() || chosen.size() < best.size())) {
                best = chosen;
            }
        }
        best.forEach(group -> close(group, "preempted by " + model.id()));
    }

    private void close(ReplicaGroup group, String reason) {
        ReplicaGroupId id = group.id();
        if (tryOrder(group.head().orElseThrow(), new ReplicaOrder.Close(id.replica(), id.epoch()), reason)) {
            closingSinceMillis.put(id, input.nowMillis());
        }
    }

    private static boolean isWithin(ReplicaGroup group, FabricDomainId fabricDomain) {
        return group.members().stream().allMatch(vm -> vm.fabricDomain().equals(Optional.of(fabricDomain)));
    }

    /** Returns whether VMs that rest or will be free shortly suffice for a replica of a model in a fabric domain. */
    private boolean willFormWithoutPreemption(FabricDomainId fabricDomain, ModelSpec model) {
        long availableSoon = input.vms().stream()
                .filter(vm -> vm.fabricDomain().equals(Optional.of(fabricDomain)) && vm.hasWeights(model.id()))
                .filter(vm -> !vm.leaving() && !input.unresponsive().contains(vm.id()))
                .filter(vm -> vm.group()
                        .map(ReplicaGroupId::of)
                        .map(id -> releasedGroups.contains(id) || closingSinceMillis.containsKey(id))
                        .orElse(true))
                .count();
        return availableSoon >= model.replicaSize();
    }

    /**
     * Forms a replica across fabric domains if the failure domain has no replica of the model; it is slow, but
     * better than none.
     */
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

    private boolean isFree(UpstreamVm vm, Set<ReplicaGroupId> groupsWithHead) {
        if (vm.leaving() || input.unresponsive().contains(vm.id()) || !orders.isSettled(input.nowMillis(), vm)) {
            return false;
        }
        if (vm.orderCount() == UpstreamVm.ORDER_COUNT_UNKNOWN) {
            vmsWithUnknownOrderCount.add(vm.id());
            return false;
        }
        if (heads.isResting(vm.id(), input.nowMillis())) {
            return false;
        }
        if (vm.group().isEmpty()) {
            return true;
        }
        // A head that is still known leaves first, even if it is broken.
        ReplicaGroupId id = ReplicaGroupId.of(vm.group().get());
        return heads.hasStopped(id) && !groupsWithHead.contains(id);
    }

    /** Forms as many replicas as possible within a fabric domain; returns the remaining free VMs. */
    private List<UpstreamVm> formInFabric(List<UpstreamVm> free, ModelBalance balance) {
        List<UpstreamVm> remaining = new ArrayList<>(free);
        boolean formed = true;
        while (formed) {
            formed = false;
            for (ModelSpec model : balance.byDeficit()) {
                List<UpstreamVm> members = chooseMembers(remaining, model);
                if (members.size() < model.replicaSize() || !leavesRoomForOtherModels(remaining, model)) {
                    continue;
                }
                if (!mayLoad(members, model)) {
                    awaitingLoads = true;
                    return remaining;
                }
                join(model, members);
                remaining.removeAll(members);
                balance.add(model.id());
                formed = true;
                break;
            }
        }
        return remaining;
    }

    private boolean leavesRoomForOtherModels(List<UpstreamVm> free, ModelSpec model) {
        return !input.startup() || StartupLayout.leavesRoomForOtherModels(input, orders, free, model);
    }

    /** Chooses the members of a replica: the VMs that need the least time to join. */
    private List<UpstreamVm> chooseMembers(List<UpstreamVm> free, ModelSpec model) {
        return free.stream()
                .filter(vm -> input.startup() || canJoin(vm, model.id()))
                .sorted(Comparator.comparingLong(vm -> joinMillis(vm, model)))
                .limit(model.replicaSize())
                .toList();
    }

    /** A host that loads weights may have no others, but its VM can rejoin a replica of its last model. */
    private boolean canJoin(UpstreamVm vm, ModelId model) {
        boolean rejoinsLastModel = vm.loadedModel().filter(model::equals).isPresent();
        return rejoinsLastModel || (vm.hasWeights(model) && !staging.isLoading(vm));
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
        long highestEpoch = input.vms().stream()
                .flatMap(vm -> vm.group().stream())
                .mapToLong(GroupMembership::epoch)
                .max()
                .orElse(0);
        lastEpoch = Math.max(Math.max(lastEpoch, highestEpoch) + 1, input.wallMillis());
        ReplicaGroupId id = new ReplicaGroupId(ReplicaGroups.replicaName(model.id(), name, lastEpoch), lastEpoch);
        orderedJoins.put(id, new OrderedJoin(model.id(), input.nowMillis()));
        List<VmId> ids = members.stream().map(UpstreamVm::id).toList();
        for (UpstreamVm member : members) {
            staging.onEnded(member.id());
            tryOrder(member, new ReplicaOrder.Join(id.replica(), id.epoch(), model.id(), ids), "forms " + id.replica());
        }
    }

    // Stage weights.

    private void stageWeights(List<ReplicaGroup> activeGroups, ModelBalance balance) {
        if (input.startup() && awaitingLoads) {
            return;
        }
        int maxConcurrent = input.startup()
                ? StartupLayout.maxLoads(input.engine())
                : (int) Math.max(1, Math.ceil(input.engine().concurrentLoads() * input.loadShare()));
        Map<VmId, ModelId> modelByMember = new HashMap<>();
        Set<VmId> serving = new HashSet<>();
        for (ReplicaGroup group : activeGroups) {
            group.members().forEach(vm -> modelByMember.put(vm.id(), group.model()));
            if (group.open()) {
                group.members().forEach(vm -> serving.add(vm.id()));
            }
        }
        WeightStaging.Input stagingInput =
                new WeightStaging.Input(input, balance, modelByMember, vm -> serving.contains(vm.id()), this::canOrder);
        for (int inProgress = loadsInProgress(); inProgress < maxConcurrent; inProgress++) {
            Optional<WeightStaging.Choice> choice = staging.chooseNext(stagingInput, maxConcurrent - inProgress);
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
