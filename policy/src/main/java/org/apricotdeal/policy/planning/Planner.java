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
import org.apricotdeal.kernel.duty.StateMachine;
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
 * Plans the replicas of one failure domain. This state machine runs on every node of the failure domain. The node that
 * holds the lease is the planner; the others follow its plan and can take over.
 *
 * <p>The protocol has four rules:
 *
 * <ol>
 *   <li>The plan is one record that is changed only by compare-and-swap. A new planner writes the record once before it does
 *       anything else. From then on no swap of the previous planner can succeed, and its orders have an outdated fencing
 *       number.
 *   <li>Orders are sent only for the newest version known to be committed, and not while the outcome of a swap is awaited.
 *   <li>Orders are sent only while the lease is certainly held. The lease period is counted on this node's monotonic clock
 *       from before the lease was renewed, so that a node that was paused finds its lease expired when it resumes, and sends
 *       nothing.
 *   <li>The next actions depend only on the record and on the states that the engines report, so that a new planner
 *       continues the work of one that failed between committing a plan and sending its orders.
 * </ol>
 *
 * <p>A node that was paused may consider all other nodes and VMs failed when it resumes. It plans nothing until it has had
 * time to receive reports from them again.
 *
 * <p>None of these rules requires that the engines check fencing numbers. If they do not, {@link OrderSequencer} waits until
 * earlier orders can no longer arrive before it sends others. Serving never depends on the planner:
 * {@link ServableReplicaFinder} relies on the states that the engines report.
 */
public final class Planner implements StateMachine<PlannerEvent, PlannerAction> {
    /** Shortest time to live of the planner's lease, in milliseconds. */
    public static final long MIN_LEASE_TTL_MILLIS = 6_000;

    private static final long LEASE_TTL_PER_ORDER_DELAY = 4;
    private static final long FOLLOWER_READ_PERIOD_MILLIS = 5_000;
    private static final long PLANNER_READ_PERIOD_MILLIS = 10_000;
    private static final long SPARES_COMMIT_PERIOD_MILLIS = 5_000;
    private static final long LEAVING_DRAIN_TIMEOUT_MILLIS = 15_000;
    private static final long UNLISTED_DRAIN_TIMEOUT_MILLIS = 3_000;
    private static final long OWN_PAUSE_THRESHOLD_MILLIS = 1_000;
    private static final long RESUME_DELAY_MILLIS = 2_000;
    private static final long QUARANTINE_MILLIS = 60_000;

    private final NodeId node;
    private final FailureDomainId failureDomain;
    private final Set<PlannerFault> faults;
    private final PlannerLease lease;
    private final PlanRecord record;
    private final OrderSequencer orders;
    private final Map<VmId, Vm> listedVms = new TreeMap<>();
    private final Map<VmId, VmReport> reports = new HashMap<>();
    private final Map<VmId, Long> leavingSinceMillis = new HashMap<>();
    private final Map<VmId, Long> loadingSinceMillis = new HashMap<>();
    private final Map<VmId, Long> quarantinedUntilMillis = new HashMap<>();
    private List<ModelEntry> models = List.of();
    private List<NodeId> nodes = List.of();
    private Plan adopted;
    private List<PlanStep> proposedSteps = List.of();
    private Role role = new Role.Follower();
    private long lastRequestId;
    private long nextReadMillis;
    private long lastCommitMillis;
    private long highestFence;
    private long lastTickMillis;
    private long planningResumesMillis;
    private boolean stopping;

    /** The role of this node in planning. */
    private sealed interface Role {
        /** Follows the plan of another node. */
        record Follower() implements Role {}

        /** Holds the lease, but has not written the record yet. */
        record TakingOver() implements Role {}

        /** Holds the lease and has written the record. */
        record Planning(long tookOverMillis) implements Role {}
    }

    /**
     * Creates the state machine.
     *
     * @param node this node
     * @param failureDomain its failure domain
     */
    public Planner(NodeId node, FailureDomainId failureDomain) {
        this(node, failureDomain, Set.of());
    }

    /**
     * Creates the state machine with injected faults, to test that checks detect them.
     *
     * @param node this node
     * @param failureDomain its failure domain
     * @param faults the injected faults
     */
    public Planner(NodeId node, FailureDomainId failureDomain, Set<PlannerFault> faults) {
        this.node = node;
        this.failureDomain = failureDomain;
        this.faults = Set.copyOf(faults);
        this.lease = new PlannerLease(leaseKey(failureDomain), node, this::nextRequestId);
        this.record = new PlanRecord(planKey(failureDomain), this::nextRequestId);
        this.orders = new OrderSequencer(this::nextRequestId, this.faults);
    }

    /**
     * Returns the key of the planner's lease.
     *
     * @param failureDomain failure domain of the planner
     * @return key in the key-value service
     */
    public static String leaseKey(FailureDomainId failureDomain) {
        return "/apricotdeal/planner/" + failureDomain;
    }

    /**
     * Returns the key of the plan record.
     *
     * @param failureDomain failure domain of the plan
     * @return key in the key-value service
     */
    public static String planKey(FailureDomainId failureDomain) {
        return "/apricotdeal/plan/" + failureDomain;
    }

    /**
     * Returns the newest committed plan that this node knows.
     *
     * @return the plan, or empty if none is known
     */
    public Optional<Plan> plan() {
        return Optional.ofNullable(adopted);
    }

    /**
     * Tells whether this node is the planner.
     *
     * @return true from the time at which it has taken over until it yields the role
     */
    public boolean isPlanner() {
        return role instanceof Role.Planning;
    }

    @Override
    public List<PlannerAction> step(long nowMillis, PlannerEvent event) {
        List<PlannerAction> actions = new ArrayList<>();
        switch (event) {
            case PlannerEvent.Tick tick -> tick(nowMillis, actions);
            case PlannerEvent.StoreReplied(StoreReply reply) -> handleReply(nowMillis, reply, actions);
            case PlannerEvent.VmsListed(List<Vm> vms) -> handleVmList(nowMillis, vms);
            case PlannerEvent.CatalogueChanged(List<ModelEntry> newModels) -> models = List.copyOf(newModels);
            case PlannerEvent.VmReported(VmReport report) -> handleReport(nowMillis, report);
            case PlannerEvent.OrderAnswered(long orderId, OrderOutcome outcome) ->
                handleOrderOutcome(nowMillis, orderId, outcome, actions);
            case PlannerEvent.PlanReceived(Plan plan) -> adopt(plan, actions);
            case PlannerEvent.NodesListed(List<NodeId> liveNodes) ->
                nodes = liveNodes.stream().sorted().toList();
            case PlannerEvent.PromiseRequested(NodeId planner, long version, long forMillis) ->
                actions.add(new PlannerAction.AnswerPromise(planner, false, version, forMillis));
            case PlannerEvent.PromiseAnswered answered -> {}
            case PlannerEvent.Stopping stop -> stop(nowMillis, actions);
        }
        return actions;
    }

    private long nextRequestId() {
        return ++lastRequestId;
    }

    private void tick(long nowMillis, List<PlannerAction> actions) {
        if (nowMillis - lastTickMillis > OWN_PAUSE_THRESHOLD_MILLIS) {
            planningResumesMillis = nowMillis + RESUME_DELAY_MILLIS;
        }
        lastTickMillis = nowMillis;
        orders.expireUnanswered(nowMillis, models);
        expireQuarantine(nowMillis);
        yieldIfLeaseExpired(nowMillis, actions);
        sendStoreCalls(nowMillis, actions);
        if (role instanceof Role.Planning planning) {
            proposeChange(nowMillis);
            sendOrders(nowMillis, planning, actions);
            sendStoreCalls(nowMillis, actions);
        }
    }

    private void sendStoreCalls(long nowMillis, List<PlannerAction> actions) {
        if (stopping) {
            return;
        }
        if (nowMillis >= nextReadMillis) {
            record.requestRead();
            nextReadMillis = nowMillis + (isPlanner() ? PLANNER_READ_PERIOD_MILLIS : FOLLOWER_READ_PERIOD_MILLIS);
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

    private void handleReply(long nowMillis, StoreReply reply, List<PlannerAction> actions) {
        yieldIfLeaseExpired(nowMillis, actions);
        if (lease.handleReply(nowMillis, reply)) {
            if (lease.isHeld(nowMillis) && role instanceof Role.Follower) {
                role = new Role.TakingOver();
                record.requestRead();
            }
            yieldIfLeaseExpired(nowMillis, actions);
        } else {
            handleRecordChange(nowMillis, record.handleReply(nowMillis, reply), actions);
        }
        sendStoreCalls(nowMillis, actions);
    }

    private void handleRecordChange(long nowMillis, PlanRecord.Change change, List<PlannerAction> actions) {
        switch (change) {
            case READ -> {
                adoptCommitted(actions);
                if (role instanceof Role.TakingOver) {
                    proposeTakeover();
                } else if (role instanceof Role.Planning && !isOwn(record.committed())) {
                    yieldPlannerRole(nowMillis, "another planner has written the plan", actions);
                }
            }
            case COMMITTED -> {
                lastCommitMillis = nowMillis;
                if (role instanceof Role.TakingOver) {
                    role = new Role.Planning(nowMillis);
                    orders.reset();
                    recordEvent(actions, Message.PLANNER_ELECTED, node, failureDomain);
                }
                recordEvent(
                        actions, Message.PLAN_COMMITTED, record.committed().version(), describeSteps(proposedSteps));
                adoptCommitted(actions);
            }
            case CONFLICT -> {
                recordEvent(
                        actions,
                        Message.PLAN_CONFLICT,
                        "proposed",
                        record.committed().version());
                adoptCommitted(actions);
                if (role instanceof Role.TakingOver) {
                    proposeTakeover();
                } else {
                    yieldPlannerRole(nowMillis, "another planner has written the plan", actions);
                }
            }
            default -> {}
        }
    }

    private boolean isOwn(Plan plan) {
        return plan != null && plan.planner().equals(node);
    }

    /** Proposes one write of the record, after which no swap of the previous planner can succeed. */
    private void proposeTakeover() {
        Plan base = record.committed() == null ? Plan.empty(failureDomain, node) : record.committed();
        proposedSteps = List.of();
        record.propose(withNextVersion(base.withNodes(nodes)));
    }

    /** Returns the content with the next version, which is higher than any fencing number that an engine has reported. */
    private Plan withNextVersion(Plan content) {
        Plan next = content.nextVersion(node);
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

    private void yieldIfLeaseExpired(long nowMillis, List<PlannerAction> actions) {
        boolean holdsRole = !(role instanceof Role.Follower);
        if (holdsRole && !lease.isHeld(nowMillis) && !faults.contains(PlannerFault.IGNORE_LEASE)) {
            yieldPlannerRole(nowMillis, "the lease has lapsed", actions);
        }
    }

    private void yieldPlannerRole(long nowMillis, String reason, List<PlannerAction> actions) {
        if (role instanceof Role.Planning) {
            recordEvent(actions, Message.PLANNER_YIELDED, node, reason);
        }
        role = new Role.Follower();
        record.dropProposal();
        lease.release(nowMillis).ifPresent(call -> actions.add(new PlannerAction.CallStore(call)));
    }

    private void proposeChange(long nowMillis) {
        if (record.isProposing() || record.committed() == null || models.isEmpty() || listedVms.isEmpty()) {
            return;
        }
        if (nowMillis < planningResumesMillis) {
            return;
        }
        Plan current = record.committed();
        if (faults.contains(PlannerFault.SKIP_REPAIR) && !current.replicas().isEmpty()) {
            return;
        }
        PlanProposal proposal = PlanBuilder.build(current, fleet(nowMillis), models);
        Plan plan = proposal.plan().withNodes(nodes);
        if (faults.contains(PlannerFault.SHARE_MEMBER)) {
            plan = withSharedMember(plan);
        }
        boolean replicasChanged = !plan.replicas().equals(current.replicas());
        boolean sparesCommitDue = nowMillis >= lastCommitMillis + SPARES_COMMIT_PERIOD_MILLIS;
        if (plan.hasSameContent(current) || !(replicasChanged || sparesCommitDue)) {
            return;
        }
        Plan versionedPlan = withNextVersion(plan);
        checkMembers(versionedPlan);
        proposedSteps = proposal.steps();
        record.propose(versionedPlan);
    }

    private void checkMembers(Plan plan) {
        Set<VmId> members = new HashSet<>();
        for (PlannedReplica replica : plan.replicas()) {
            for (VmId vm : replica.vms()) {
                Invariants.check(
                        members.add(vm), "vm-in-one-replica", () -> vm + " is listed twice as a member in " + plan);
            }
        }
    }

    private void sendOrders(long nowMillis, Role.Planning planning, List<PlannerAction> actions) {
        boolean awaitingCommit = record.isProposing() && !faults.contains(PlannerFault.ORDER_BEFORE_COMMIT);
        if (awaitingCommit || record.committed() == null) {
            return;
        }
        Plan plan = record.proposedOrCommitted(faults.contains(PlannerFault.ORDER_BEFORE_COMMIT));
        OrderSequencer.Authority authority =
                new OrderSequencer.Authority(planning.tookOverMillis(), lease.heldUntilMillis());
        for (PlannerAction.SendOrder send : orders.nextOrders(nowMillis, plan, fleet(nowMillis), models, authority)) {
            checkOrder(send.order());
            actions.add(send);
        }
    }

    private void checkOrder(Order order) {
        Plan plan = record.committed();
        Invariants.check(
                order.fence() == plan.version(),
                "order-after-commit",
                () -> order + " does not have the fencing number of the committed plan version " + plan.version());
        if (order instanceof Order.Join join) {
            boolean planned = plan.replicas().stream()
                    .anyMatch(replica -> replica.id().equals(join.replica())
                            && replica.generation() == join.generation()
                            && replica.vms().equals(join.members()));
            Invariants.check(planned, "order-after-commit", () -> join + " is not in the committed plan");
        }
    }

    private FleetSnapshot fleet(long nowMillis) {
        Set<VmId> drained = new HashSet<>();
        leavingSinceMillis.forEach((vm, sinceMillis) -> {
            long drainTimeoutMillis =
                    listedVms.containsKey(vm) ? LEAVING_DRAIN_TIMEOUT_MILLIS : UNLISTED_DRAIN_TIMEOUT_MILLIS;
            if (nowMillis - sinceMillis >= drainTimeoutMillis || isDrained(vm)) {
                drained.add(vm);
            }
        });
        return new FleetSnapshot(listedVms, reports, quarantinedUntilMillis.keySet(), drained);
    }

    /** Tells whether the first member of a VM's replica reports no running or waiting request. */
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

    private void handleVmList(long nowMillis, List<Vm> vms) {
        listedVms.clear();
        for (Vm vm : vms) {
            if (vm.failureDomain().equals(failureDomain)) {
                listedVms.put(vm.id(), vm);
            }
        }
        Set<VmId> known = new HashSet<>(listedVms.keySet());
        known.addAll(reports.keySet());
        for (VmId vm : known) {
            Vm listedVm = listedVms.get(vm);
            if (listedVm == null || listedVm.state() == VmState.LEAVING) {
                leavingSinceMillis.putIfAbsent(vm, nowMillis);
            } else {
                leavingSinceMillis.remove(vm);
            }
        }
        forgetUnlisted();
    }

    /** Removes the state of VMs that are no longer listed and not members of a replica. */
    private void forgetUnlisted() {
        Set<VmId> members = new HashSet<>();
        if (record.committed() != null) {
            record.committed().replicas().forEach(replica -> members.addAll(replica.vms()));
        }
        reports.keySet().removeIf(vm -> !listedVms.containsKey(vm) && !members.contains(vm));
        leavingSinceMillis.keySet().removeIf(vm -> !listedVms.containsKey(vm) && !members.contains(vm));
        loadingSinceMillis.keySet().removeIf(vm -> !listedVms.containsKey(vm));
    }

    private void handleReport(long nowMillis, VmReport report) {
        VmReport previous = reports.get(report.vm());
        if (previous != null && previous.state() != null && report.observedMillis() < previous.observedMillis()) {
            reports.put(
                    report.vm(),
                    new VmReport(
                            report.vm(),
                            report.health(),
                            previous.state(),
                            previous.observedMillis(),
                            report.straggler()));
            return;
        }
        reports.put(report.vm(), report);
        EngineState state = report.state();
        if (state == null) {
            return;
        }
        highestFence = Math.max(highestFence, state.fence());
        trackLoading(nowMillis, previous == null ? null : previous.state(), state);
    }

    /** Tracks how long a VM loads its weights, and quarantines it if it exceeds the model's load timeout. */
    private void trackLoading(long nowMillis, EngineState previous, EngineState state) {
        if (state.phase() != EnginePhase.LOADING) {
            loadingSinceMillis.remove(state.vm());
            return;
        }
        boolean loadingStarted = previous == null
                || !Objects.equals(previous.bootId(), state.bootId())
                || previous.phase() != state.phase();
        if (loadingStarted) {
            loadingSinceMillis.put(state.vm(), nowMillis);
        }
        long sinceMillis = loadingSinceMillis.getOrDefault(state.vm(), nowMillis);
        Vm vm = listedVms.get(state.vm());
        for (ModelEntry model : models) {
            boolean servesModel = vm != null && vm.upstream().equals(model.id());
            if (servesModel && nowMillis - sinceMillis > model.loadTimeoutMillis()) {
                quarantinedUntilMillis.put(state.vm(), nowMillis + QUARANTINE_MILLIS);
            }
        }
    }

    private void expireQuarantine(long nowMillis) {
        quarantinedUntilMillis.values().removeIf(untilMillis -> nowMillis >= untilMillis);
    }

    private void handleOrderOutcome(long nowMillis, long orderId, OrderOutcome outcome, List<PlannerAction> actions) {
        if (outcome instanceof OrderOutcome.Fenced(long fence)) {
            highestFence = Math.max(highestFence, fence);
            record.requestRead();
        }
        if (outcome instanceof OrderOutcome.Refused(String detail)) {
            orders.vmOfPendingOrder(orderId).ifPresent(vm -> recordEvent(actions, Message.ORDER_FAILED, vm, detail));
        }
        orders.handleOutcome(nowMillis, orderId, outcome, models).ifPresent(report -> handleReport(nowMillis, report));
        if (highestFence > 0
                && isPlanner()
                && !record.isProposing()
                && highestFence > record.committed().version()) {
            record.propose(withNextVersion(record.committed()));
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
        long previousVersion = adopted == null ? 0 : adopted.version();
        Invariants.check(
                plan.version() > previousVersion,
                "plan-version-monotonic",
                () -> "plan version " + plan.version() + " was adopted after version " + previousVersion);
        adopted = plan;
        actions.add(new PlannerAction.AdoptPlan(plan));
        if (!isOwn(plan)) {
            recordEvent(actions, Message.PLAN_ADOPTED, plan.version(), plan.planner());
        }
    }

    private void stop(long nowMillis, List<PlannerAction> actions) {
        stopping = true;
        yieldPlannerRole(nowMillis, "the node shuts down", actions);
    }

    private static Plan withSharedMember(Plan plan) {
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

    private static String describeSteps(List<PlanStep> steps) {
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

    private static void recordEvent(List<PlannerAction> actions, Message message, Object... arguments) {
        List<String> texts = new ArrayList<>();
        for (Object argument : arguments) {
            texts.add(String.valueOf(argument));
        }
        actions.add(new PlannerAction.RecordEvent(message, texts));
    }
}
