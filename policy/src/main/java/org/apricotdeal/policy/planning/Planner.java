package org.apricotdeal.policy.planning;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.Order;
import org.apricotdeal.engine.OrderOutcome;
import org.apricotdeal.kernel.duty.Machine;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.platform.call.StoreReply;
import org.apricotdeal.policy.membership.VmReport;

/**
 * Plans the replicas of one failure domain. The machine runs on every node of the failure domain; the node that holds the
 * lease is the planner, the others follow its plan and stand by.
 *
 * <p>The planner's protocol has four rules. First, the plan is one record that is changed only by compare-and-swap, and a
 * new planner writes the record once before it does anything else: from then on no swap of the former planner can
 * succeed, and its orders carry an old fencing number. Second, an order goes out only for the newest version known to be
 * committed, and not while a swap is unsettled. Third, an order goes out only while the lease is certainly held, counted
 * on this node's monotonic clock from before the lease was renewed; a node that was paused finds its lease lapsed when it
 * wakes, and does nothing. Fourth, what to do next is decided from the record and from the engines' own states alone, so
 * that a planner that dies between its plan and its orders is continued by the next.
 *
 * <p>A node that was paused may hold everyone else for failed when it wakes; it plans nothing until it has had time to
 * hear from them again.
 *
 * <p>None of these rules depends on the engines checking fencing numbers. Where they do not, {@link OrderSequencer} waits out
 * orders under way before it sends others. Serving never depends on the planner: {@link ServingView} goes by what the
 * engines report.
 */
public final class Planner implements Machine<PlannerEvent, PlannerAction> {
    /** Shortest time to live of the planner's lease, in milliseconds. */
    public static final long MIN_LEASE_TTL_MILLIS = 6_000;

    private static final long LEASE_TTL_PER_ORDER_DELAY = 4;
    private static final long FOLLOWER_READ_MILLIS = 5_000;
    private static final long PLANNER_READ_MILLIS = 10_000;
    private static final long SPARES_COMMIT_MILLIS = 5_000;
    private static final long LEAVING_WAIT_MILLIS = 15_000;
    private static final long UNLISTED_WAIT_MILLIS = 3_000;
    private static final long OWN_GAP_MILLIS = 1_000;
    private static final long RESUME_MILLIS = 2_000;
    private static final long UNFIT_MILLIS = 60_000;

    private final NodeId node;
    private final FailureDomainId failureDomain;
    private final Set<PlannerFault> faults;
    private final LeaseKeeper lease;
    private final PlanRecord record;
    private final OrderSequencer orders;
    private final Map<VmId, Vm> listed = new TreeMap<>();
    private final Map<VmId, VmReport> reports = new HashMap<>();
    private final Map<VmId, Long> leavingSinceMillis = new HashMap<>();
    private final Map<VmId, Long> loadingSinceMillis = new HashMap<>();
    private final Map<VmId, Long> unfitUntilMillis = new HashMap<>();
    private List<ModelEntry> models = List.of();
    private List<NodeId> nodes = List.of();
    private Plan adopted;
    private List<PlanStep> proposedSteps = List.of();
    private Role role = new Role.Follower();
    private long lastNumber;
    private long nextReadMillis;
    private long lastCommitMillis;
    private long highestFence;
    private long lastTickMillis;
    private long planFromMillis;
    private boolean stopping;

    /** What this node is to the plan. */
    private sealed interface Role {
        /** Follows the plan of another. */
        record Follower() implements Role {}

        /** Holds the lease, and has not yet written the record. */
        record TakingOver() implements Role {}

        /** Holds the lease and has written the record. */
        record Planning(long sinceMillis) implements Role {}
    }

    /**
     * Creates the machine.
     *
     * @param node this node
     * @param failureDomain its failure domain
     */
    public Planner(NodeId node, FailureDomainId failureDomain) {
        this(node, failureDomain, Set.of());
    }

    /**
     * Creates the machine with deliberate faults, for tests of the checks.
     *
     * @param node this node
     * @param failureDomain its failure domain
     * @param faults the faults
     */
    public Planner(NodeId node, FailureDomainId failureDomain, Set<PlannerFault> faults) {
        this.node = node;
        this.failureDomain = failureDomain;
        this.faults = Set.copyOf(faults);
        this.lease = new LeaseKeeper(leaseKey(failureDomain), node, this::nextNumber);
        this.record = new PlanRecord(planKey(failureDomain), this::nextNumber);
        this.orders = new OrderSequencer(this::nextNumber, this.faults);
    }

    /**
     * Returns the key of the planner's lease.
     *
     * @param failureDomain the failure domain
     * @return the key
     */
    public static String leaseKey(FailureDomainId failureDomain) {
        return "/apricotdeal/planner/" + failureDomain;
    }

    /**
     * Returns the key of the plan record.
     *
     * @param failureDomain the failure domain
     * @return the key
     */
    public static String planKey(FailureDomainId failureDomain) {
        return "/apricotdeal/plan/" + failureDomain;
    }

    /**
     * Returns the newest committed plan that this node knows.
     *
     * @return the plan, or nothing before the first
     */
    public Optional<Plan> plan() {
        return Optional.ofNullable(adopted);
    }

    /**
     * Tells whether this node is the planner.
     *
     * @return true while it has taken over and not yielded
     */
    public boolean isPlanner() {
        return role instanceof Role.Planning;
    }

    @Override
    public List<PlannerAction> step(long nowMillis, PlannerEvent event) {
        List<PlannerAction> actions = new ArrayList<>();
        switch (event) {
            case PlannerEvent.Tick tick -> tick(nowMillis, actions);
            case PlannerEvent.StoreReplied(StoreReply reply) -> takeReply(nowMillis, reply, actions);
            case PlannerEvent.VmsListed(List<Vm> vms) -> takeList(nowMillis, vms);
            case PlannerEvent.CatalogueChanged(List<ModelEntry> newModels) -> models = List.copyOf(newModels);
            case PlannerEvent.VmReported(VmReport report) -> takeReport(nowMillis, report);
            case PlannerEvent.OrderAnswered(long orderId, OrderOutcome outcome) ->
                takeOutcome(nowMillis, orderId, outcome, actions);
            case PlannerEvent.PlanReceived(Plan plan) -> adopt(plan, actions);
            case PlannerEvent.NodesSeen(List<NodeId> seen) ->
                nodes = seen.stream().sorted().toList();
            case PlannerEvent.PromiseRequested(NodeId planner, long version, long forMillis) ->
                actions.add(new PlannerAction.AnswerPromise(planner, false, version, forMillis));
            case PlannerEvent.PromiseAnswered answered -> {}
            case PlannerEvent.Stopping stop -> stop(nowMillis, actions);
        }
        return actions;
    }

    private long nextNumber() {
        return ++lastNumber;
    }

    private void tick(long nowMillis, List<PlannerAction> actions) {
        if (nowMillis - lastTickMillis > OWN_GAP_MILLIS) {
            planFromMillis = nowMillis + RESUME_MILLIS;
        }
        lastTickMillis = nowMillis;
        orders.expire(nowMillis, models);
        expireUnfit(nowMillis);
        yieldIfLapsed(nowMillis, actions);
        callStore(nowMillis, actions);
        if (role instanceof Role.Planning planning) {
            proposeChange(nowMillis);
            sendOrders(nowMillis, planning, actions);
            callStore(nowMillis, actions);
        }
    }

    private void callStore(long nowMillis, List<PlannerAction> actions) {
        if (stopping) {
            return;
        }
        if (nowMillis >= nextReadMillis) {
            record.wantRead();
            nextReadMillis = nowMillis + (isPlanner() ? PLANNER_READ_MILLIS : FOLLOWER_READ_MILLIS);
        }
        lease.poll(nowMillis, leaseTtlMillis(), true).ifPresent(call -> actions.add(new PlannerAction.CallStore(call)));
        record.poll(nowMillis).ifPresent(call -> actions.add(new PlannerAction.CallStore(call)));
    }

    private long leaseTtlMillis() {
        long ttlMillis = MIN_LEASE_TTL_MILLIS;
        for (ModelEntry model : models) {
            if (model.orderCheck() == OrderCheck.IGNORES_FENCING) {
                ttlMillis = Math.max(ttlMillis, model.orderMaxDelayMillis() * LEASE_TTL_PER_ORDER_DELAY);
            }
        }
        return ttlMillis;
    }

    private void takeReply(long nowMillis, StoreReply reply, List<PlannerAction> actions) {
        yieldIfLapsed(nowMillis, actions);
        if (lease.reply(nowMillis, reply)) {
            if (lease.isHeld(nowMillis) && role instanceof Role.Follower) {
                role = new Role.TakingOver();
                record.wantRead();
            }
            yieldIfLapsed(nowMillis, actions);
        } else {
            recordChanged(nowMillis, record.reply(nowMillis, reply), actions);
        }
        callStore(nowMillis, actions);
    }

    private void recordChanged(long nowMillis, PlanRecord.Change change, List<PlannerAction> actions) {
        switch (change) {
            case READ -> {
                adoptCommitted(actions);
                if (role instanceof Role.TakingOver) {
                    takeOver();
                } else if (role instanceof Role.Planning && !isOwn(record.committed())) {
                    yieldRole(nowMillis, "another planner has written the plan", actions);
                }
            }
            case COMMITTED -> {
                lastCommitMillis = nowMillis;
                if (role instanceof Role.TakingOver) {
                    role = new Role.Planning(nowMillis);
                    orders.reset();
                    note(actions, Message.PLANNER_ELECTED, node, failureDomain);
                }
                note(actions, Message.PLAN_COMMITTED, record.committed().version(), describe(proposedSteps));
                adoptCommitted(actions);
            }
            case CONFLICT -> {
                note(
                        actions,
                        Message.PLAN_CONFLICT,
                        "proposed",
                        record.committed().version());
                adoptCommitted(actions);
                if (role instanceof Role.TakingOver) {
                    takeOver();
                } else {
                    yieldRole(nowMillis, "another planner has written the plan", actions);
                }
            }
            default -> {}
        }
    }

    private boolean isOwn(Plan plan) {
        return plan != null && plan.planner().equals(node);
    }

    /** Writes the record once, so that no swap of the former planner can succeed any more. */
    private void takeOver() {
        Plan base = record.committed() == null ? Plan.empty(failureDomain, node) : record.committed();
        proposedSteps = List.of();
        record.propose(numbered(base.withNodes(nodes)));
    }

    /** The version after the committed one; above any fencing number that an engine has seen. */
    private Plan numbered(Plan content) {
        Plan next = content.next(node);
        if (next.version() > highestFence) {
            return next;
        }
        return new Plan(
                highestFence + 1,
                next.failureDomain(),
                node,
                next.nextReplica(),
                next.replicas(),
                next.spares(),
                next.resting(),
                next.nodes());
    }

    private void yieldIfLapsed(long nowMillis, List<PlannerAction> actions) {
        boolean leads = !(role instanceof Role.Follower);
        if (leads && !lease.isHeld(nowMillis) && !faults.contains(PlannerFault.IGNORE_LEASE)) {
            yieldRole(nowMillis, "the lease has lapsed", actions);
        }
    }

    private void yieldRole(long nowMillis, String reason, List<PlannerAction> actions) {
        if (role instanceof Role.Planning) {
            note(actions, Message.PLANNER_YIELDED, node, reason);
        }
        role = new Role.Follower();
        record.giveUp();
        lease.giveBack(nowMillis).ifPresent(call -> actions.add(new PlannerAction.CallStore(call)));
    }

    private void proposeChange(long nowMillis) {
        if (record.isProposing() || record.committed() == null || models.isEmpty() || listed.isEmpty()) {
            return;
        }
        if (nowMillis < planFromMillis) {
            return;
        }
        Plan current = record.committed();
        if (faults.contains(PlannerFault.SKIP_REPAIR) && !current.replicas().isEmpty()) {
            return;
        }
        PlanProposal proposal = PlanBuilder.build(current, fleet(nowMillis), models);
        Plan plan = proposal.plan().withNodes(nodes);
        if (faults.contains(PlannerFault.SHARE_MEMBER)) {
            plan = shareMember(plan);
        }
        boolean urgent = !plan.replicas().equals(current.replicas());
        boolean due = nowMillis >= lastCommitMillis + SPARES_COMMIT_MILLIS;
        if (plan.sameContent(current) || !(urgent || due)) {
            return;
        }
        Plan numbered = numbered(plan);
        checkMembers(numbered);
        proposedSteps = proposal.steps();
        record.propose(numbered);
    }

    private void checkMembers(Plan plan) {
        Set<VmId> members = new HashSet<>();
        for (PlannedReplica replica : plan.replicas()) {
            for (VmId vm : replica.vms()) {
                Invariants.check(members.add(vm), "vm-in-one-replica", () -> vm + " is twice a member in " + plan);
            }
        }
    }

    private void sendOrders(long nowMillis, Role.Planning planning, List<PlannerAction> actions) {
        boolean unsettled = record.isProposing() && !faults.contains(PlannerFault.ORDER_BEFORE_COMMIT);
        if (unsettled || record.committed() == null) {
            return;
        }
        Plan plan = record.proposedOrCommitted(faults.contains(PlannerFault.ORDER_BEFORE_COMMIT));
        OrderSequencer.Authority authority =
                new OrderSequencer.Authority(planning.sinceMillis(), lease.heldUntilMillis());
        for (PlannerAction.SendOrder send : orders.next(nowMillis, plan, fleet(nowMillis), models, authority)) {
            checkOrder(send.order());
            actions.add(send);
        }
    }

    private void checkOrder(Order order) {
        Plan plan = record.committed();
        Invariants.check(
                order.fence() == plan.version(),
                "order-after-commit",
                () -> order + " is not of the committed plan version " + plan.version());
        if (order instanceof Order.Join join) {
            boolean planned = plan.replicas().stream()
                    .anyMatch(replica -> replica.id().equals(join.replica())
                            && replica.generation() == join.generation()
                            && replica.vms().equals(join.members()));
            Invariants.check(planned, "order-after-commit", () -> join + " is not in the committed plan");
        }
    }

    private Fleet fleet(long nowMillis) {
        Set<VmId> emptied = new HashSet<>();
        leavingSinceMillis.forEach((vm, sinceMillis) -> {
            long waitMillis = listed.containsKey(vm) ? LEAVING_WAIT_MILLIS : UNLISTED_WAIT_MILLIS;
            if (nowMillis - sinceMillis >= waitMillis || isDrained(vm)) {
                emptied.add(vm);
            }
        });
        return new Fleet(listed, reports, unfitUntilMillis.keySet(), emptied);
    }

    /** Tells whether the first member of a VM's replica reports no request. */
    private boolean isDrained(VmId vm) {
        for (PlannedReplica replica : record.committed().replicas()) {
            if (!replica.vms().contains(vm)) {
                continue;
            }
            VmReport first = reports.get(replica.vms().getFirst());
            return first != null
                    && first.state() != null
                    && first.state().load().running() + first.state().load().waiting() == 0;
        }
        return true;
    }

    private void takeList(long nowMillis, List<Vm> vms) {
        listed.clear();
        for (Vm vm : vms) {
            if (vm.failureDomain().equals(failureDomain)) {
                listed.put(vm.id(), vm);
            }
        }
        Set<VmId> known = new HashSet<>(listed.keySet());
        known.addAll(reports.keySet());
        for (VmId vm : known) {
            Vm found = listed.get(vm);
            if (found == null || found.state() == VmState.LEAVING) {
                leavingSinceMillis.putIfAbsent(vm, nowMillis);
            } else {
                leavingSinceMillis.remove(vm);
            }
        }
        forgetUnlisted();
    }

    /** Forgets VMs that are listed no longer, once they are no members any more. */
    private void forgetUnlisted() {
        Set<VmId> members = new HashSet<>();
        if (record.committed() != null) {
            record.committed().replicas().forEach(replica -> members.addAll(replica.vms()));
        }
        reports.keySet().removeIf(vm -> !listed.containsKey(vm) && !members.contains(vm));
        leavingSinceMillis.keySet().removeIf(vm -> !listed.containsKey(vm) && !members.contains(vm));
        loadingSinceMillis.keySet().removeIf(vm -> !listed.containsKey(vm));
    }

    private void takeReport(long nowMillis, VmReport report) {
        VmReport former = reports.get(report.vm());
        if (former != null && former.state() != null && report.observedMillis() < former.observedMillis()) {
            reports.put(
                    report.vm(),
                    new VmReport(
                            report.vm(), report.health(), former.state(), former.observedMillis(), report.straggler()));
            return;
        }
        reports.put(report.vm(), report);
        EngineState state = report.state();
        if (state == null) {
            return;
        }
        highestFence = Math.max(highestFence, state.fence());
        noteLoading(nowMillis, former == null ? null : former.state(), state);
    }

    /** Rests a VM for a while that does not load its weights in time. */
    private void noteLoading(long nowMillis, EngineState former, EngineState state) {
        if (state.phase() != EnginePhase.LOADING) {
            loadingSinceMillis.remove(state.vm());
            return;
        }
        boolean restarted =
                former == null || !Objects.equals(former.bootId(), state.bootId()) || former.phase() != state.phase();
        if (restarted) {
            loadingSinceMillis.put(state.vm(), nowMillis);
        }
        long sinceMillis = loadingSinceMillis.getOrDefault(state.vm(), nowMillis);
        Vm vm = listed.get(state.vm());
        for (ModelEntry model : models) {
            boolean own = vm != null && vm.upstream().equals(model.id());
            if (own && nowMillis - sinceMillis > model.loadTimeoutMillis()) {
                unfitUntilMillis.put(state.vm(), nowMillis + UNFIT_MILLIS);
            }
        }
    }

    private void expireUnfit(long nowMillis) {
        unfitUntilMillis.values().removeIf(untilMillis -> nowMillis >= untilMillis);
    }

    private void takeOutcome(long nowMillis, long orderId, OrderOutcome outcome, List<PlannerAction> actions) {
        if (outcome instanceof OrderOutcome.Fenced(long fence)) {
            highestFence = Math.max(highestFence, fence);
            record.wantRead();
        }
        if (outcome instanceof OrderOutcome.Refused(String detail)) {
            orders.vmOf(orderId).ifPresent(vm -> note(actions, Message.ORDER_FAILED, vm, detail));
        }
        orders.answered(nowMillis, orderId, outcome, models).ifPresent(report -> takeReport(nowMillis, report));
        if (highestFence > 0
                && isPlanner()
                && !record.isProposing()
                && highestFence > record.committed().version()) {
            record.propose(numbered(record.committed()));
            proposedSteps = List.of();
        }
    }

    private void adoptCommitted(List<PlannerAction> actions) {
        if (record.committed() != null) {
            adopt(record.committed(), actions);
        }
    }

    private void adopt(Plan plan, List<PlannerAction> actions) {
        boolean newer = adopted == null || plan.version() > adopted.version();
        if (!newer && !(faults.contains(PlannerFault.ADOPT_OLDER_PLAN) && plan.version() < adopted.version())) {
            return;
        }
        long formerVersion = adopted == null ? 0 : adopted.version();
        Invariants.check(
                plan.version() > formerVersion,
                "plan-version-monotonic",
                () -> "plan version " + plan.version() + " after version " + formerVersion);
        adopted = plan;
        actions.add(new PlannerAction.AdoptPlan(plan));
        if (!isOwn(plan)) {
            note(actions, Message.PLAN_ADOPTED, plan.version(), plan.planner());
        }
    }

    private void stop(long nowMillis, List<PlannerAction> actions) {
        stopping = true;
        yieldRole(nowMillis, "the node shuts down", actions);
    }

    private static Plan shareMember(Plan plan) {
        if (plan.replicas().size() < 2) {
            return plan;
        }
        PlannedReplica first = plan.replicas().get(0);
        PlannedReplica second = plan.replicas().get(1);
        List<PlannedMember> members = new ArrayList<>(second.members());
        members.set(0, first.members().getFirst());
        List<PlannedReplica> replicas = new ArrayList<>(plan.replicas());
        replicas.set(
                1,
                new PlannedReplica(second.id(), second.generation() + 1, second.model(), members, second.spanning()));
        return new Plan(
                plan.version(),
                plan.failureDomain(),
                plan.planner(),
                plan.nextReplica(),
                replicas,
                plan.spares(),
                plan.resting(),
                plan.nodes());
    }

    private static String describe(List<PlanStep> steps) {
        if (steps.isEmpty()) {
            return "no replica changes";
        }
        StringBuilder text = new StringBuilder();
        for (PlanStep step : steps) {
            text.append(text.isEmpty() ? "" : ", ")
                    .append(step.step().name().toLowerCase(java.util.Locale.ROOT))
                    .append(' ')
                    .append(step.replica())
                    .append(" generation ")
                    .append(step.generation());
        }
        return text.toString();
    }

    private static void note(List<PlannerAction> actions, Message message, Object... arguments) {
        List<String> texts = new ArrayList<>();
        for (Object argument : arguments) {
            texts.add(String.valueOf(argument));
        }
        actions.add(new PlannerAction.RecordEvent(message, texts));
    }
}
