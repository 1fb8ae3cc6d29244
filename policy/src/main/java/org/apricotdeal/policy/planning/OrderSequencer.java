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
 * Decides which orders to send next to bring the engines into the state that the committed plan describes. It stores no
 * sequence of orders: each decision is derived from the states that the engines report, so that a planner that takes over
 * continues where its predecessor stopped.
 *
 * <p>The rules for each VM:
 *
 * <ul>
 *   <li>An engine that has joined a replica other than its planned one is released.
 *   <li>An idle engine without the weights loads them. Models of higher worth load first, and within a model the members of
 *       replicas before spares. The number of concurrent loads is limited because the weight store is rate-limited.
 *   <li>The members of a replica join once each of them is either idle with the weights loaded or has joined already.
 *   <li>At most one order to a VM is in progress, and a report is used only if it was made after the last order.
 * </ul>
 *
 * <p>A join must never reach an engine that a delayed order has meanwhile made a member of another replica. Engines that
 * honour fencing numbers are therefore released before they join, even if they are idle: once an engine is idle and reports
 * this plan's version as its fencing number, no older join can take effect. Engines that ignore fencing numbers are sent an
 * order only if the planner's lease lasts longer than the order can take to arrive. The next order to the same VM is sent
 * only when no copy of the previous one can still arrive, and is based on a report made after that time. A new planner waits
 * equally long before its first order to such engines.
 */
final class OrderSequencer {
    private static final int MAX_CONCURRENT_LOADS = 8;
    private static final long ANSWER_TIMEOUT_MILLIS = 30_000;
    private static final long ORDER_RETRY_MILLIS = 500;

    private final LongSupplier orderIds;
    private final Set<PlannerFault> faults;
    private final Map<VmId, VmOrderState> orderStates = new TreeMap<>();

    /** The last order to one VM and the times that follow from it. */
    private static final class VmOrderState {
        private long pendingOrderId;
        private Order lastOrder;
        private long lastSentMillis;
        private long reportsValidFromMillis;
        private long nextOrderMillis;
    }

    /**
     * The period during which this node is certainly the planner.
     *
     * @param tookOverMillis time at which it took over
     * @param leaseUntilMillis time until which the lease is certainly held
     */
    record Authority(long tookOverMillis, long leaseUntilMillis) {}

    OrderSequencer(LongSupplier orderIds, Set<PlannerFault> faults) {
        this.orderIds = orderIds;
        this.faults = faults;
    }

    /** Finds the VM to which an unanswered order was sent. */
    Optional<VmId> vmOfPendingOrder(long orderId) {
        for (Map.Entry<VmId, VmOrderState> entry : orderStates.entrySet()) {
            if (entry.getValue().pendingOrderId == orderId) {
                return Optional.of(entry.getKey());
            }
        }
        return Optional.empty();
    }

    /** Handles the outcome of an order; returns the VM's state if the outcome contains it. */
    Optional<VmReport> handleOutcome(long nowMillis, long orderId, OrderOutcome outcome, List<ModelEntry> models) {
        for (VmOrderState orderState : orderStates.values()) {
            if (orderState.pendingOrderId != orderId) {
                continue;
            }
            orderState.pendingOrderId = 0;
            switch (outcome) {
                case OrderOutcome.Accepted(EngineState state) -> {
                    orderState.reportsValidFromMillis =
                            Math.max(nowMillis, orderState.lastSentMillis + maxCopyDelayMillis(orderState, models));
                    return Optional.of(new VmReport(state.vm(), Health.ALIVE, state, nowMillis, false));
                }
                case OrderOutcome.Fenced fenced -> orderState.nextOrderMillis = nowMillis + ORDER_RETRY_MILLIS;
                case OrderOutcome.Refused refused -> orderState.nextOrderMillis = nowMillis + ORDER_RETRY_MILLIS;
                case OrderOutcome.NoAnswer none -> {
                    orderState.nextOrderMillis = nowMillis + ORDER_RETRY_MILLIS;
                    orderState.reportsValidFromMillis =
                            Math.max(nowMillis, orderState.lastSentMillis + maxCopyDelayMillis(orderState, models));
                }
            }
            return Optional.empty();
        }
        return Optional.empty();
    }

    /** Treats an order as unanswered if its outcome was not reported in time. Normally every order gets an outcome. */
    void expireUnanswered(long nowMillis, List<ModelEntry> models) {
        for (VmOrderState orderState : orderStates.values()) {
            if (orderState.pendingOrderId != 0 && nowMillis - orderState.lastSentMillis > ANSWER_TIMEOUT_MILLIS) {
                handleOutcome(
                        nowMillis,
                        orderState.pendingOrderId,
                        new OrderOutcome.NoAnswer("no outcome was reported"),
                        models);
            }
        }
    }

    /** Clears the record of sent orders; called when this node takes over as planner. */
    void reset() {
        orderStates.clear();
    }

    /** Returns the orders to send now. */
    List<PlannerAction.SendOrder> nextOrders(
            long nowMillis, Plan plan, FleetSnapshot fleet, List<ModelEntry> models, Authority authority) {
        List<PlannerAction.SendOrder> orders = new ArrayList<>();
        Map<VmId, PlannedReplica> replicasByVm = replicasByVm(plan);
        List<ModelEntry> byWorth = new ArrayList<>(models);
        byWorth.sort(Comparator.comparingDouble(ModelEntry::worth).reversed().thenComparing(ModelEntry::id));
        for (ModelEntry model : byWorth) {
            ModelRound round = new ModelRound(nowMillis, plan.version(), fleet, model, authority, orders);
            for (Vm vm : fleet.vms()) {
                if (vm.upstream().equals(model.id())) {
                    releaseIfMisjoined(round, vm.id(), replicasByVm.get(vm.id()));
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

    private record ModelRound(
            long nowMillis,
            long fence,
            FleetSnapshot fleet,
            ModelEntry model,
            Authority authority,
            List<PlannerAction.SendOrder> orders) {}

    /** Releases an engine that has joined a replica other than its planned one. */
    private void releaseIfMisjoined(ModelRound round, VmId vm, PlannedReplica target) {
        EngineState state = currentState(round, vm);
        if (state == null || state.phase() != EnginePhase.JOINED || isJoinedTo(target, vm, state)) {
            return;
        }
        if (faults.contains(PlannerFault.JOIN_WITHOUT_RELEASE) && target != null) {
            return;
        }
        send(round, new Order.Release(vm, round.fence()));
    }

    /** Orders the members to join once each of them is ready. */
    private void joinMembers(ModelRound round, PlannedReplica replica) {
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
            boolean misjoined =
                    state.phase() == EnginePhase.JOINED && !faults.contains(PlannerFault.JOIN_WITHOUT_RELEASE);
            if (misjoined || !round.fleet().isWarm(member.vm(), replica.model())) {
                return;
            }
            boolean honoursFencing = round.model().orderCheck() == OrderCheck.HONOURS_FENCING;
            (honoursFencing && state.fence() < round.fence() ? toFence : toJoin).add(member.vm());
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

    /** Orders VMs to load weights, on at most {@link #MAX_CONCURRENT_LOADS} VMs at once. */
    private void loadWeights(
            long nowMillis,
            Plan plan,
            FleetSnapshot fleet,
            List<ModelEntry> byWorth,
            Authority authority,
            List<PlannerAction.SendOrder> orders) {
        int loading = 0;
        for (Vm vm : fleet.vms()) {
            EngineState state = fleet.state(vm.id());
            VmOrderState orderState = orderStates.get(vm.id());
            boolean loadOrderPending =
                    orderState != null && orderState.pendingOrderId != 0 && orderState.lastOrder instanceof Order.Load;
            loading += loadOrderPending || (state != null && state.phase() == EnginePhase.LOADING) ? 1 : 0;
        }
        for (ModelEntry model : byWorth) {
            ModelRound round = new ModelRound(nowMillis, plan.version(), fleet, model, authority, orders);
            for (VmId vm : loadCandidates(plan, model, fleet)) {
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

    /** Returns the members of the replicas, starting with the replica that lacks the fewest weights, and then the spares. */
    private static List<VmId> loadCandidates(Plan plan, ModelEntry model, FleetSnapshot fleet) {
        List<PlannedReplica> replicas = new ArrayList<>();
        for (PlannedReplica replica : plan.replicas()) {
            if (replica.model().equals(model.id())) {
                replicas.add(replica);
            }
        }
        replicas.sort(Comparator.comparingInt((PlannedReplica r) -> countMembersWithoutWeights(r, fleet))
                .thenComparing(PlannedReplica::id));
        List<VmId> candidates = new ArrayList<>();
        for (PlannedReplica replica : replicas) {
            candidates.addAll(replica.vms());
        }
        for (VmId spare : plan.spares()) {
            if (fleet.isUsable(spare, model.id())) {
                candidates.add(spare);
            }
        }
        return candidates;
    }

    private static int countMembersWithoutWeights(PlannedReplica replica, FleetSnapshot fleet) {
        int missing = 0;
        for (VmId vm : replica.vms()) {
            missing += fleet.isWarm(vm, replica.model()) ? 0 : 1;
        }
        return missing;
    }

    /** Returns the state of a VM's engine, or null if it was not reported since the last order and the takeover wait. */
    private EngineState currentState(ModelRound round, VmId vm) {
        VmReport report = round.fleet().report(vm);
        if (report == null || report.health() != Health.ALIVE) {
            return null;
        }
        VmOrderState orderState = orderStates.get(vm);
        if (orderState != null
                && (orderState.pendingOrderId != 0 || report.observedMillis() < orderState.reportsValidFromMillis)) {
            return null;
        }
        boolean observedAfterTakeoverWait =
                report.observedMillis() >= round.authority().tookOverMillis() + orderDelayMillis(round.model());
        if (!observedAfterTakeoverWait && !faults.contains(PlannerFault.SKIP_REST)) {
            return null;
        }
        return report.state();
    }

    private boolean send(ModelRound round, Order order) {
        long nowMillis = round.nowMillis();
        ModelEntry model = round.model();
        long delayMillis = orderDelayMillis(model);
        VmOrderState orderState = orderStates.computeIfAbsent(order.vm(), vm -> new VmOrderState());
        if (!round.fleet().isListed(order.vm()) || nowMillis < orderState.nextOrderMillis) {
            return false;
        }
        if (!maySendOrder(nowMillis, delayMillis, round.authority(), orderState)) {
            return false;
        }
        orderState.pendingOrderId = orderIds.getAsLong();
        orderState.lastOrder = order;
        orderState.lastSentMillis = nowMillis;
        orderState.reportsValidFromMillis = nowMillis;
        round.orders()
                .add(new PlannerAction.SendOrder(
                        orderState.pendingOrderId,
                        order,
                        round.fleet().address(order.vm()),
                        model.orderCredential(),
                        round.authority().leaseUntilMillis() - delayMillis));
        return true;
    }

    /**
     * Tells whether an order may be sent now. An order to an engine that ignores fencing numbers must not arrive while an
     * earlier order, or one of another planner, can still arrive.
     */
    private boolean maySendOrder(long nowMillis, long delayMillis, Authority authority, VmOrderState orderState) {
        if (faults.contains(PlannerFault.IGNORE_LEASE)) {
            return true;
        }
        if (faults.contains(PlannerFault.SKIP_REST)) {
            return nowMillis < authority.leaseUntilMillis();
        }
        if (nowMillis + delayMillis >= authority.leaseUntilMillis()) {
            return false;
        }
        boolean takeoverWaitOver = nowMillis >= authority.tookOverMillis() + delayMillis;
        boolean previousOrderExpired =
                orderState.lastOrder == null || nowMillis >= orderState.lastSentMillis + delayMillis;
        return takeoverWaitOver && previousOrderExpired;
    }

    private static long orderDelayMillis(ModelEntry model) {
        return model.orderCheck() == OrderCheck.IGNORES_FENCING ? model.orderMaxDelayMillis() : 0;
    }

    /** Returns the longest time after sending the last order in which a copy of it can still arrive. */
    private long maxCopyDelayMillis(VmOrderState orderState, List<ModelEntry> models) {
        if (faults.contains(PlannerFault.SKIP_REST)) {
            return 0;
        }
        UpstreamId orderedModel =
                switch (orderState.lastOrder) {
                    case Order.Load load -> load.model();
                    case Order.Join join -> join.model();
                    case Order.Release release -> null;
                };
        long maxDelayMillis = 0;
        for (ModelEntry model : models) {
            if (orderedModel == null || orderedModel.equals(model.id())) {
                maxDelayMillis = Math.max(maxDelayMillis, orderDelayMillis(model));
            }
        }
        return maxDelayMillis;
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

    private static Map<VmId, PlannedReplica> replicasByVm(Plan plan) {
        Map<VmId, PlannedReplica> replicas = new TreeMap<>();
        for (PlannedReplica replica : plan.replicas()) {
            replica.vms().forEach(vm -> replicas.put(vm, replica));
        }
        return replicas;
    }
}
