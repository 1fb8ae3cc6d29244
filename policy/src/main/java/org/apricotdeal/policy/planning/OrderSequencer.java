package org.apricotdeal.policy.planning;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;

import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.VmReport;

/**
 * Decides which orders to send next so that the engines come to match the committed plan. It keeps no script: each
 * decision is made from the engines' own states, so that a planner that takes over continues where the last one stopped.
 *
 * <p>For each VM: an engine that is joined to anything but what the plan says is released; an idle one without the
 * weights loads them, replicas before spares and by worth, and only so many at once because the weight store is
 * rate-limited; and the members of a replica join once every one of them is idle with the weights, or joined already.
 * At most one order to a VM is under way, and a report counts only if it was made after the last order.
 *
 * <p>A join must never meet an engine that a late order has made a member of another replica in the meantime. Engines that
 * honour fencing numbers are therefore released first even where they are idle: once an engine reports this plan's version
 * as its fencing number and is idle, no older join can take effect any more. Engines that ignore fencing numbers get an
 * order only if the right to send lasts longer than the order can take; a further order to the same VM waits until no copy
 * of the one before can still arrive, and goes by a report made after that. A planner that has just taken over waits as
 * long before its first order to them.
 */
final class OrderSequencer {
    private static final int MAX_CONCURRENT_LOADS = 8;
    private static final long ANSWER_LIMIT_MILLIS = 30_000;
    private static final long RETRY_MILLIS = 500;

    private final LongSupplier orderIds;
    private final Set<PlannerFault> faults;
    private final Map<VmId, Track> tracks = new TreeMap<>();

    /** What was last ordered of one VM. */
    private static final class Track {
        private long pendingOrderId;
        private Order last;
        private long lastSentMillis;
        private long reportsFromMillis;
        private long nextOrderMillis;
    }

    /**
     * What a planner may do.
     *
     * @param sinceMillis when it took over
     * @param untilMillis until when it certainly is the planner
     */
    record Authority(long sinceMillis, long untilMillis) {}

    OrderSequencer(LongSupplier orderIds, Set<PlannerFault> faults) {
        this.orderIds = orderIds;
        this.faults = faults;
    }

    /** Finds the VM of an order that has not been answered. */
    Optional<VmId> vmOf(long orderId) {
        for (Map.Entry<VmId, Track> entry : tracks.entrySet()) {
            if (entry.getValue().pendingOrderId == orderId) {
                return Optional.of(entry.getKey());
            }
        }
        return Optional.empty();
    }

    /** Notes what came of an order; returns the VM's state where the answer tells it. */
    Optional<VmReport> answered(long nowMillis, long orderId, OrderOutcome outcome, List<ModelEntry> models) {
        for (Track track : tracks.values()) {
            if (track.pendingOrderId != orderId) {
                continue;
            }
            track.pendingOrderId = 0;
            switch (outcome) {
                case OrderOutcome.Taken(EngineState state) -> {
                    track.reportsFromMillis = Math.max(nowMillis, track.lastSentMillis + copyDelay(track, models));
                    return Optional.of(new VmReport(state.vm(), Health.ALIVE, state, nowMillis, false));
                }
                case OrderOutcome.Fenced fenced -> track.nextOrderMillis = nowMillis + RETRY_MILLIS;
                case OrderOutcome.Refused refused -> track.nextOrderMillis = nowMillis + RETRY_MILLIS;
                case OrderOutcome.NoAnswer none -> {
                    track.nextOrderMillis = nowMillis + RETRY_MILLIS;
                    track.reportsFromMillis = Math.max(nowMillis, track.lastSentMillis + copyDelay(track, models));
                }
            }
            return Optional.empty();
        }
        return Optional.empty();
    }

    /** Gives up waiting for answers that never came, though each order gets one. */
    void expire(long nowMillis, List<ModelEntry> models) {
        for (Track track : tracks.values()) {
            if (track.pendingOrderId != 0 && nowMillis - track.lastSentMillis > ANSWER_LIMIT_MILLIS) {
                answered(nowMillis, track.pendingOrderId, new OrderOutcome.NoAnswer("no outcome was reported"), models);
            }
        }
    }

    /** Forgets what was ordered; called when the planner takes over. */
    void reset() {
        tracks.clear();
    }

    /** Returns the orders to send now. */
    List<PlannerAction.SendOrder> next(
            long nowMillis, Plan plan, Fleet fleet, List<ModelEntry> models, Authority authority) {
        List<PlannerAction.SendOrder> orders = new ArrayList<>();
        Map<VmId, PlannedReplica> targets = targets(plan);
        List<ModelEntry> byWorth = new ArrayList<>(models);
        byWorth.sort(Comparator.comparingDouble(ModelEntry::worth).reversed().thenComparing(ModelEntry::id));
        for (ModelEntry model : byWorth) {
            Round round = new Round(nowMillis, plan.version(), fleet, model, authority, orders);
            for (Vm vm : fleet.vms()) {
                if (vm.upstream().equals(model.id())) {
                    releaseStray(round, vm.id(), targets.get(vm.id()));
                }
            }
            for (PlannedReplica replica : plan.replicas()) {
                if (replica.model().equals(model.id())) {
                    joinMembers(round, replica);
                }
            }
        }
        loadWeights(nowMillis, plan, fleet, byWorth, authority, orders);
        return orders;
    }

    private record Round(
            long nowMillis,
            long fence,
            Fleet fleet,
            ModelEntry model,
            Authority authority,
            List<PlannerAction.SendOrder> orders) {}

    /** Releases an engine that is joined to anything but what the plan says. */
    private void releaseStray(Round round, VmId vm, PlannedReplica target) {
        EngineState state = currentState(round, vm);
        if (state == null || state.phase() != EnginePhase.JOINED || isJoinedTo(target, vm, state)) {
            return;
        }
        if (faults.contains(PlannerFault.JOIN_WITHOUT_RELEASE) && target != null) {
            return;
        }
        send(round, new Order.Release(vm, round.fence()));
    }

    /** Lets the members join once every one of them is ready. */
    private void joinMembers(Round round, PlannedReplica replica) {
        List<VmId> toJoin = new ArrayList<>();
        List<VmId> toFence = new ArrayList<>();
        for (PlannedMember member : replica.members()) {
            EngineState state = currentState(round, member.vm());
            if (state == null || round.fleet().isLost(member)) {
                return;
            }
            if (replica.isJoined(member, state)) {
                continue;
            }
            boolean stray = state.phase() == EnginePhase.JOINED && !faults.contains(PlannerFault.JOIN_WITHOUT_RELEASE);
            if (stray || !round.fleet().isWarm(member.vm(), replica.model())) {
                return;
            }
            boolean honours = round.model().orderCheck() == OrderCheck.HONOURS_FENCING;
            (honours && state.fence() < round.fence() ? toFence : toJoin).add(member.vm());
        }
        toFence.forEach(vm -> send(round, new Order.Release(vm, round.fence())));
        if (!toFence.isEmpty()) {
            return;
        }
        for (VmId vm : toJoin) {
            send(
                    round,
                    new Order.Join(
                            vm, round.fence(), replica.model(), replica.id(), replica.generation(), replica.vms()));
        }
    }

    /** Loads weights, as many VMs at a time as the weight store can bear. */
    private void loadWeights(
            long nowMillis,
            Plan plan,
            Fleet fleet,
            List<ModelEntry> byWorth,
            Authority authority,
            List<PlannerAction.SendOrder> orders) {
        int loading = 0;
        for (Vm vm : fleet.vms()) {
            EngineState state = fleet.state(vm.id());
            Track track = tracks.get(vm.id());
            boolean ordered = track != null && track.pendingOrderId != 0 && track.last instanceof Order.Load;
            loading += ordered || (state != null && state.phase() == EnginePhase.LOADING) ? 1 : 0;
        }
        for (ModelEntry model : byWorth) {
            Round round = new Round(nowMillis, plan.version(), fleet, model, authority, orders);
            for (VmId vm : loadOrder(plan, model, fleet)) {
                if (loading >= MAX_CONCURRENT_LOADS) {
                    return;
                }
                EngineState state = currentState(round, vm);
                if (state == null || state.phase() != EnginePhase.IDLE || fleet.isWarm(vm, model.id())) {
                    continue;
                }
                loading += send(round, new Order.Load(vm, round.fence(), model.id())) ? 1 : 0;
            }
        }
    }

    /** Members of the replicas that miss the fewest weights first, then spares. */
    private static List<VmId> loadOrder(Plan plan, ModelEntry model, Fleet fleet) {
        List<PlannedReplica> replicas = new ArrayList<>();
        for (PlannedReplica replica : plan.replicas()) {
            if (replica.model().equals(model.id())) {
                replicas.add(replica);
            }
        }
        replicas.sort(Comparator.comparingInt((PlannedReplica r) -> missingWeights(r, fleet))
                .thenComparing(PlannedReplica::id));
        List<VmId> order = new ArrayList<>();
        for (PlannedReplica replica : replicas) {
            order.addAll(replica.vms());
        }
        for (VmId spare : plan.spares()) {
            if (fleet.isUsable(spare, model.id())) {
                order.add(spare);
            }
        }
        return order;
    }

    private static int missingWeights(PlannedReplica replica, Fleet fleet) {
        int missing = 0;
        for (VmId vm : replica.vms()) {
            missing += fleet.isWarm(vm, replica.model()) ? 0 : 1;
        }
        return missing;
    }

    /** State of a VM's engine where it is known as of after the last order; null where it is not. */
    private EngineState currentState(Round round, VmId vm) {
        VmReport report = round.fleet().report(vm);
        if (report == null || report.health() != Health.ALIVE) {
            return null;
        }
        Track track = tracks.get(vm);
        if (track != null && (track.pendingOrderId != 0 || report.observedMillis() < track.reportsFromMillis)) {
            return null;
        }
        boolean restedWhenSeen = report.observedMillis() >= round.authority().sinceMillis() + delay(round.model());
        if (!restedWhenSeen && !faults.contains(PlannerFault.SKIP_REST)) {
            return null;
        }
        return report.state();
    }

    private boolean send(Round round, Order order) {
        long nowMillis = round.nowMillis();
        ModelEntry model = round.model();
        long delayMillis = delay(model);
        Track track = tracks.computeIfAbsent(order.vm(), vm -> new Track());
        if (!round.fleet().isListed(order.vm()) || nowMillis < track.nextOrderMillis) {
            return false;
        }
        if (!mayOrder(nowMillis, delayMillis, round.authority(), track)) {
            return false;
        }
        track.pendingOrderId = orderIds.getAsLong();
        track.last = order;
        track.lastSentMillis = nowMillis;
        track.reportsFromMillis = nowMillis;
        round.orders()
                .add(new PlannerAction.SendOrder(
                        track.pendingOrderId,
                        order,
                        round.fleet().address(order.vm()),
                        model.orderCredential(),
                        round.authority().untilMillis() - delayMillis));
        return true;
    }

    /** For engines that ignore fencing numbers, no order may arrive beside one of another planner or an earlier one. */
    private boolean mayOrder(long nowMillis, long delayMillis, Authority authority, Track track) {
        if (faults.contains(PlannerFault.IGNORE_LEASE)) {
            return true;
        }
        if (faults.contains(PlannerFault.SKIP_REST)) {
            return nowMillis < authority.untilMillis();
        }
        if (nowMillis + delayMillis >= authority.untilMillis()) {
            return false;
        }
        boolean rested = nowMillis >= authority.sinceMillis() + delayMillis;
        boolean quiet = track.last == null || nowMillis >= track.lastSentMillis + delayMillis;
        return rested && quiet;
    }

    private static long delay(ModelEntry model) {
        return model.orderCheck() == OrderCheck.IGNORES_FENCING ? model.orderMaxDelayMillis() : 0;
    }

    /** Longest time after which a copy of the last order can still arrive. */
    private long copyDelay(Track track, List<ModelEntry> models) {
        if (faults.contains(PlannerFault.SKIP_REST)) {
            return 0;
        }
        UpstreamId named =
                switch (track.last) {
                    case Order.Load load -> load.model();
                    case Order.Join join -> join.model();
                    case Order.Release release -> null;
                };
        long longest = 0;
        for (ModelEntry model : models) {
            if (named == null || named.equals(model.id())) {
                longest = Math.max(longest, delay(model));
            }
        }
        return longest;
    }

    private static boolean isJoinedTo(PlannedReplica target, VmId vm, EngineState state) {
        if (target == null) {
            return false;
        }
        for (PlannedMember member : target.members()) {
            if (member.vm().equals(vm)) {
                return target.isJoined(member, state);
            }
        }
        return false;
    }

    private static Map<VmId, PlannedReplica> targets(Plan plan) {
        Map<VmId, PlannedReplica> targets = new TreeMap<>();
        for (PlannedReplica replica : plan.replicas()) {
            replica.vms().forEach(vm -> targets.put(vm, replica));
        }
        return targets;
    }
}
