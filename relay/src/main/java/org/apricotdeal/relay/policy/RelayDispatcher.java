package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.duty.StateMachine;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.MemoryUse;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.poison.CrashNews;
import org.apricotdeal.relay.poison.HeldTraits;
import org.apricotdeal.relay.poison.PoisonDetector;

/**
 * Decides when and where each request of a node is sent, whether it is refused, and whether it is retried.
 *
 * <p>Requests queue at the node because an engine does not return a request that it has accepted. The number of
 * requests sent to a target therefore never exceeds its slots, counted over all nodes as far as their heartbeats
 * report.
 *
 * <p><em>Admission:</em> a request that is predicted to start too late for its objective, given the requests ahead
 * of it and the mean service time, is refused at once. It certainly did not run, and the caller is told when to
 * retry. A returning caller has already missed the objective, so it queues behind new callers of the same priority,
 * who can still be served in time. In front of them it would delay a new caller, who would return in turn.
 *
 * <p><em>Placement:</em> the first request of a queue goes to the target that {@link TargetChooser} chooses. Between
 * two heartbeats of the other nodes, this node uses an equal share of the free slots.
 *
 * <p><em>Stall detection:</em> a target is suspected if none of its requests makes progress. It receives no new
 * requests, and its running requests that may be retried are sent to other targets as well, later those whose answer has
 * begun. The answer that comes first is used ({@link EarlierAttempts}). Time for which this node itself was held up does
 * not count, because progress made meanwhile has not been seen yet.
 *
 * <p><em>Suspect requests:</em> a request that crashes VMs, or whose prompt has parts that do, is refused before it is
 * sent, and ended without a retry if it has been sent, see {@link PoisonGuard}.
 *
 * <p><em>Retry:</em> a failed attempt is repeated at another target if the route allows it, within the maximum attempts of
 * the route and the shared {@link RetryBudget}. A request that may have run and must not run twice fails.
 */
public final class RelayDispatcher implements StateMachine<RelayEvent, RelayAction> {
    /** Time between two ticks above which this node itself was held up; several tick periods. */
    private static final long MAX_TICK_GAP_MILLIS = 100;

    private final QueueRegistry registry;
    private final TargetChooser targetChooser;
    private final Patience patience = new Patience();
    private final ProcessDelay ownDelay = new ProcessDelay(MAX_TICK_GAP_MILLIS);
    private final RetryBudget budget;
    private final PoisonGuard poison;
    private final ReturnTimes returnTimes;
    private final RequestExplainer explainer;
    private final Map<ExchangeId, RequestState> requests = new HashMap<>();
    private final ReturningCallers returningCallers = new ReturningCallers();
    private long lastSequence;
    private long nowMillis;
    private List<RelayAction> actions = new ArrayList<>();

    /**
     * Creates a dispatcher without targets.
     *
     * @param self this node
     * @param budget this node's part of the shared retry budget
     * @param random seeded random source
     */
    public RelayDispatcher(FleetNode self, RetryBudget budget, UniformRandomProvider random) {
        this.registry = new QueueRegistry(self, random);
        this.targetChooser = new TargetChooser(self.failureDomain(), random);
        this.budget = budget;
        this.poison = new PoisonGuard(new PoisonDetector(self.name()));
        this.returnTimes = new ReturnTimes(random);
        this.explainer = new RequestExplainer(self.failureDomain(), registry, poison, returningCallers);
    }

    /**
     * Returns the number of requests that this node runs at each target, for heartbeats.
     *
     * @return number of requests by target; targets without requests are omitted
     */
    public Map<TargetId, Integer> runningRequests() {
        return registry.runningRequests();
    }

    /**
     * Returns the targets of which this node is a home node: one of the few nodes that send most of their requests.
     *
     * @return current targets; all of them in a small fleet
     */
    public Set<TargetId> homeTargets() {
        return registry.homeTargets();
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests in all queues
     */
    public int waitingRequests() {
        return registry.waitingRequests();
    }

    /**
     * Returns the demand for each queue of an engine upstream.
     *
     * @param atMillis monotonic time
     * @return demand by queue; queues of plain services are omitted
     */
    public Map<QueueId, QueueDemand> demandByQueue(long atMillis) {
        return registry.demandByQueue(atMillis);
    }

    /**
     * Returns the crashes and trials that this node knows of, for heartbeats.
     *
     * @return what other nodes should know
     */
    public CrashNews crashNews() {
        return poison.detector().news();
    }

    /**
     * Returns the traits of requests that are suspected of crashing VMs.
     *
     * @return blamed traits of all upstreams, as this node holds them
     */
    public List<HeldTraits> blamedTraits() {
        return poison.detector().held();
    }

    /**
     * Records that bytes of an answer arrived from a target. Called for each chunk, so it makes no decisions.
     *
     * @param atMillis monotonic time at which the bytes arrived
     * @param attempt attempt that the bytes belong to
     */
    public void recordProgress(long atMillis, AttemptId attempt) {
        running(attempt).ifPresent(request -> request.target.recordProgress(atMillis));
    }

    private Optional<RequestState> running(AttemptId attempt) {
        return Optional.ofNullable(requests.get(attempt.exchange())).flatMap(it -> it.runningAttempt(attempt));
    }

    /**
     * Records for how long a request has been answered. Called for each running request, so it makes no decisions.
     *
     * @param atMillis monotonic time
     * @param attempt attempt that is answered
     * @param answeringMillis time since the first event of the answer; -1 if there was none
     */
    public void recordAnswering(long atMillis, AttemptId attempt, long answeringMillis) {
        running(attempt).ifPresent(request -> poison.onAnswering(request, answeringMillis, atMillis));
    }

    /**
     * Says what would become of a request now, and changes nothing. Called by the thread that calls {@link #step}.
     *
     * @param atMillis monotonic time
     * @param arrival the request
     * @return the decision and what it is based on
     */
    public RequestExplanation explain(long atMillis, Arrival arrival) {
        return explainer.explain(arrival, atMillis);
    }

    @Override
    public List<RelayAction> step(long atMillis, RelayEvent event) {
        nowMillis = atMillis;
        actions = new ArrayList<>();
        switch (event) {
            case RelayEvent.RequestArrived(Arrival arrival) -> admit(arrival);
            case RelayEvent.AnswerStarted(AttemptId attempt, OptionalInt targetRequests) ->
                onStarted(attempt, targetRequests);
            case RelayEvent.AnswerUsed(AttemptId attempt) -> onAnswerUsed(attempt);
            case RelayEvent.RequestFinished(AttemptId attempt) -> onFinished(attempt);
            case RelayEvent.AttemptFailed(AttemptId attempt, AttemptOutcome outcome) ->
                onAttemptFailed(attempt, outcome);
            case RelayEvent.CallerDisconnected(ExchangeId id) -> onCallerDisconnected(id);
            case RelayEvent.CatalogueChanged(RelayCatalogue changed) -> changeCatalogue(changed);
            case RelayEvent.TargetsChanged(List<Target> changed) -> changeTargets(changed);
            case RelayEvent.PeerLoadsChanged(Map<TargetId, Integer> running) -> updatePeerLoads(running);
            case RelayEvent.NodesChanged(List<FleetNode> nodes) -> changeNodes(nodes);
            case RelayEvent.EvacuationsChanged(Set<FailureDomainId> domains) -> changeEvacuations(domains);
            case RelayEvent.ColdVmsChanged(Map<VmId, ColdVm> vms) -> changeColdVms(vms);
            case RelayEvent.VmPaused(VmId vm, long untilMillis) -> registry.pause(vm, untilMillis, nowMillis);
            case RelayEvent.VmMemoryReported(VmId vm, MemoryUse use) -> registry.recordMemory(vm, use, nowMillis);
            case RelayEvent.CrashNewsReceived(CrashNews news) -> {
                poison.detector().merge(news, nowMillis);
                holdBackSuspects();
            }
            case RelayEvent.ProcessSuspended suspended -> poison.detector().forgetAnswers();
            case RelayEvent.NodeDelayed(long extensionMillis) -> patience.extendBy(extensionMillis);
            case RelayEvent.Tick tick -> onTick();
        }
        return actions;
    }

    // Admission.

    private void admit(Arrival arrival) {
        QueueState queue = registry.queue(arrival.queue());
        OptionalLong heldUntilMillis = poison.refusedUntilMillis(queue, arrival, nowMillis);
        if (heldUntilMillis.isPresent()) {
            refuseUnservable(arrival, queue, RefusalReason.SUSPECT_REQUEST, heldUntilMillis.getAsLong());
            return;
        }
        RequestState request =
                new RequestState(arrival, queue, ++lastSequence, returningCallers.check(queue, arrival, nowMillis));
        if (queue.isTooLarge(request)) {
            refuseUnservable(arrival, queue, RefusalReason.TOO_LARGE, nowMillis);
            return;
        }
        budget.recordRequest(arrival.queue().upstream(), nowMillis);
        if (!request.returningCaller) {
            queue.demand.recordNewRequest(nowMillis);
        }
        QueueEstimate estimate = queue.estimate(request, nowMillis);
        Optional<RefusalReason> refusal = AdmissionRule.refusal(request, estimate, nowMillis);
        if (refusal.isPresent()) {
            long retryAfterMillis = refusal.get() == RefusalReason.OVERLOAD
                    ? returnTimes.afterOverloadMillis(request, estimate, estimate.waitMillis(), nowMillis)
                    : returnTimes.withoutTargetMillis(queue, nowMillis);
            refuse(request, refusal.get(), retryAfterMillis, estimate);
            return;
        }
        requests.put(arrival.id(), request);
        queue.waiting.add(request);
        dispatchWaiting(queue);
    }

    // Placement.

    private void dispatchWaiting(QueueState queue) {
        queue.removeWaitingForEvacuated().forEach(request -> fail(request, RefusalReason.EVACUATED));
        RequestState request = queue.waiting.isEmpty() ? null : queue.waiting.first();
        while (request != null) {
            TargetState target = targetChooser.choose(queue, request, poison, nowMillis);
            if (target == null && !TargetChooser.othersMayPass(request, poison, nowMillis)) {
                return;
            }
            RequestState next = queue.waiting.higher(request);
            if (target != null) {
                queue.waiting.remove(request);
                send(request, target);
            }
            request = next;
        }
    }

    private void send(RequestState request, TargetState target) {
        int load = target.load(nowMillis);
        request.target = target;
        request.attempts++;
        request.attemptNumber = ++request.lastAttemptNumber;
        request.started = false;
        request.dispatchedMillis = nowMillis;
        request.triedTargets.add(target.target.id());
        if (target.running.isEmpty()) {
            target.startObservation(nowMillis);
        }
        target.recordSend(request, nowMillis);
        poison.onSend(request, target, nowMillis);
        actions.add(new RelayAction.Send(
                new AttemptId(request.arrival.id(), request.lastAttemptNumber),
                target.target,
                request.attempts,
                load,
                target.loadAgeMillis(nowMillis)));
    }

    // Progress and end of requests.

    private void onStarted(AttemptId attempt, OptionalInt targetRequests) {
        RequestState request = running(attempt).orElse(null);
        if (request == null) {
            return;
        }
        request.target.recordProgress(nowMillis);
        targetRequests.ifPresent(count -> registry.recordReportedLoad(request.target, count, nowMillis));
        if (!request.started) {
            request.started = true;
            request.queue.recordStart(request, nowMillis);
        }
    }

    private void onAnswerUsed(AttemptId attempt) {
        if (running(attempt).isPresent()) {
            RequestState request = requests.get(attempt.exchange());
            request.endBeside(attempt).forEach(other -> actions.add(new RelayAction.CancelAttempt(other)));
            dispatchWaiting(request.queue);
        }
    }

    /** A complete answer ends the attempts that run beside its own. */
    private void onFinished(AttemptId attempt) {
        RequestState request = requests.remove(attempt.exchange());
        if (request == null) {
            return;
        }
        registry.queue(request.arrival.queue()).waiting.remove(request);
        if (!request.runningBeside(attempt).isEmpty()) {
            actions.add(new RelayAction.CancelAttempts(attempt.exchange()));
        }
        request.runningAttempt(attempt).ifPresent(finished -> {
            finished.target.recordProgress(nowMillis);
            finished.queue.recordEnd(finished, nowMillis);
            poison.onFinished(finished, nowMillis);
        });
        request.release();
        dispatchWaiting(request.queue);
    }

    private void onCallerDisconnected(ExchangeId id) {
        RequestState request = requests.remove(id);
        if (request == null) {
            return;
        }
        request.queue.waiting.remove(request);
        if (request.running()) {
            request.release();
            actions.add(new RelayAction.CancelAttempts(id));
        }
        actions.add(new RelayAction.DropExchange(id));
        dispatchWaiting(request.queue);
    }

    // Retries.

    private void onAttemptFailed(AttemptId attempt, AttemptOutcome outcome) {
        RequestState failed = running(attempt).orElse(null);
        if (failed == null) {
            return;
        }
        RequestState request = requests.get(attempt.exchange());
        TargetState target = failed.target;
        request.end(failed);
        switch (outcome) {
            case NOT_SENT -> {
                // The target of an earlier attempt is suspected already, for its silence.
                if (failed == request && !patience.wasOpenedLate(failed, nowMillis)) {
                    suspect(target, "no connection");
                }
                request.attempts--;
                retryUnsent(request);
            }
            case WITHHELD -> {
                request.attempts--;
                retryUnsent(request);
            }
            case NOT_RUN -> retry(request);
            case LOST_BEFORE_ANSWER -> {
                request.mayHaveRun = true;
                poison.onLostBeforeAnswer(request, target, nowMillis);
                holdBackSuspects();
                retry(request);
            }
            case BROKEN -> {
                request.mayHaveRun = true;
                retry(request);
            }
            default -> throw new IllegalStateException("outcome " + outcome);
        }
        dispatchWaiting(request.queue);
    }

    /** Retries a request that no VM has received; each target is tried once. */
    private void retryUnsent(RequestState request) {
        if (request.running()) {
            replaceIfSilent(request);
            return;
        }
        boolean untried =
                request.queue.targets.stream().anyMatch(state -> !request.triedTargets.contains(state.target.id()));
        if (untried && nowMillis < request.arrival.deadlineMillis()) {
            request.queue.waiting.add(request);
        } else {
            fail(request, request.queue.noTargetReason());
        }
    }

    /** Retries a request; where an attempt of it goes on, only if that one is silent. */
    private void retry(RequestState request) {
        if (request.running()) {
            replaceIfSilent(request);
            return;
        }
        if (!requests.containsKey(request.arrival.id())) {
            return;
        }
        OptionalLong heldUntilMillis = poison.heldUntilMillis(request.queue, request.arrival, nowMillis);
        if (request.trial || heldUntilMillis.isPresent()) {
            failSuspect(request, heldUntilMillis.orElse(nowMillis));
            return;
        }
        boolean allowed = !request.mayHaveRun || request.arrival.route().retryable();
        boolean inTime = nowMillis < request.arrival.deadlineMillis();
        boolean attemptsLeft = request.attempts < request.arrival.route().maxAttempts();
        if (allowed && inTime && attemptsLeft && budget.tryRetry(request.queue.id.upstream(), nowMillis)) {
            request.queue.waiting.add(request);
            return;
        }
        fail(request, inTime ? RefusalReason.BROKEN : RefusalReason.TIMEOUT);
    }

    private void fail(RequestState request, RefusalReason reason) {
        if (!request.mayHaveRun) {
            RefusalReason notRun = reason == RefusalReason.BROKEN ? RefusalReason.NOT_RUN : reason;
            long retryAfterMillis = returnTimes.withoutTargetMillis(request.queue, nowMillis);
            refuse(request, notRun, retryAfterMillis, request.queue.estimate(request, nowMillis));
            return;
        }
        requests.remove(request.arrival.id());
        actions.add(new RelayAction.GiveUp(request.arrival.id(), reason));
    }

    private void refuse(RequestState request, RefusalReason reason, long retryAfterMillis, QueueEstimate estimate) {
        requests.remove(request.arrival.id());
        request.queue.recordRefusal(request, reason, nowMillis);
        RefusalDetails details = estimate.refusalDetails(nowMillis - request.arrival.arrivedMillis());
        actions.add(new RelayAction.Refuse(request.arrival.id(), reason, retryAfterMillis, details));
    }

    // Suspect requests.

    /** Ends the requests that other requests have shown to crash VMs, whether they wait or have been sent. */
    private void holdBackSuspects() {
        if (poison.detector().isIdle()) {
            return;
        }
        for (RequestState request : List.copyOf(requests.values())) {
            if (request.running()) {
                withdrawIfSuspect(request);
            } else {
                OptionalLong untilMillis = poison.refusedUntilMillis(request, nowMillis);
                if (untilMillis.isPresent() && request.queue.waiting.remove(request)) {
                    failSuspect(request, untilMillis.getAsLong());
                }
            }
        }
    }

    private void withdrawIfSuspect(RequestState request) {
        if (!poison.isToBeWithdrawn(request, nowMillis)) {
            return;
        }
        request.mayHaveRun = true;
        request.release();
        actions.add(new RelayAction.CancelAttempts(request.arrival.id()));
        failSuspect(request, nowMillis);
    }

    private void failSuspect(RequestState request, long heldUntilMillis) {
        requests.remove(request.arrival.id());
        if (request.mayHaveRun) {
            actions.add(new RelayAction.GiveUp(request.arrival.id(), RefusalReason.SUSPECT_REQUEST));
        } else {
            refuseUnservable(request.arrival, request.queue, RefusalReason.SUSPECT_REQUEST, heldUntilMillis);
        }
    }

    /** Refuses a request without counting it as demand, since more replicas would not serve it. */
    private void refuseUnservable(Arrival arrival, QueueState queue, RefusalReason reason, long heldUntilMillis) {
        RefusalDetails details = new RefusalDetails(
                queue.waiting.size(), -1, queue.freeSlots(nowMillis), 0, nowMillis - arrival.arrivedMillis());
        long retryAfterMillis = Math.max(ReturnTimes.MIN_NO_TARGET_RETRY_MILLIS, heldUntilMillis - nowMillis);
        actions.add(new RelayAction.Refuse(arrival.id(), reason, retryAfterMillis, details));
    }

    // Timeouts and stalls.

    private void onTick() {
        registry.removeUnlistedTargets();
        excuseOwnDelay();
        poison.detector().tick(nowMillis);
        holdBackSuspects();
        for (TargetState state : registry.targets()) {
            if (patience.isStalled(state, nowMillis)) {
                handleStall(state);
            }
        }
        registry.endOverdueRound(nowMillis);
        for (QueueState queue : registry.queues()) {
            expireWaiting(queue);
            dispatchWaiting(queue);
        }
        for (RequestState request : List.copyOf(requests.values())) {
            if (nowMillis >= request.arrival.deadlineMillis()) {
                timeOut(request);
            }
        }
    }

    /** Extends the time for progress by the time for which this node was suspended or too busy to see any. */
    private void excuseOwnDelay() {
        long delayMillis = ownDelay.observe(nowMillis);
        if (delayMillis > 0) {
            registry.targets().forEach(state -> state.excuseDelay(delayMillis, nowMillis));
        }
    }

    private void handleStall(TargetState state) {
        if (state.recordStall(nowMillis)) {
            suspect(state, "no progress for " + (nowMillis - state.lastProgressMillis) + " ms");
        }
        state.lastProgressMillis = nowMillis;
        for (RequestState request : List.copyOf(state.running)) {
            replaceIfSilent(request);
        }
    }

    /** Sends a request whose target is silent to another one as well; its own may still go on, so that attempt is kept. */
    private void replaceIfSilent(RequestState request) {
        // An attempt that has been replaced already has a state of its own.
        boolean replaced = requests.get(request.arrival.id()) != request;
        if (replaced
                || !patience.isSilent(request, nowMillis)
                || !request.arrival.route().retryable()
                || request.attempts >= request.arrival.route().maxAttempts()) {
            return;
        }
        TargetState other = targetChooser.choose(request.queue, request, poison, nowMillis);
        if (other == null || !budget.tryRetry(request.queue.id.upstream(), nowMillis)) {
            return;
        }
        request.earlier.keep(request);
        request.mayHaveRun = true;
        send(request, other);
    }

    private void suspect(TargetState state, String reason) {
        state.suspect(nowMillis);
        actions.add(new RelayAction.SuspectTarget(state.target, reason));
    }

    private void expireWaiting(QueueState queue) {
        for (RequestState request : queue.removeOverdue(nowMillis)) {
            QueueEstimate estimate = queue.estimate(request, nowMillis);
            long retryAfterMillis = returnTimes.afterOverloadMillis(request, estimate, 0, nowMillis);
            refuse(request, RefusalReason.WAITED_OUT, retryAfterMillis, estimate);
        }
    }

    private void timeOut(RequestState request) {
        request.queue.waiting.remove(request);
        if (request.running()) {
            request.mayHaveRun = true;
            request.release();
            actions.add(new RelayAction.CancelAttempts(request.arrival.id()));
        }
        fail(request, RefusalReason.TIMEOUT);
    }

    // Catalogue, targets and peer loads.

    private void changeCatalogue(RelayCatalogue changed) {
        registry.setCatalogue(changed);
        returningCallers.retainRoutes(changed.routeNames());
    }

    private void changeTargets(List<Target> changed) {
        registry.setTargets(changed, nowMillis);
        registry.queues().forEach(this::dispatchWaiting);
    }

    private void changeNodes(List<FleetNode> nodes) {
        poison.detector().setNodes(nodes.stream().map(FleetNode::name).toList());
        registry.setNodes(nodes, nowMillis);
        budget.setNodeCount(nodes.size(), nowMillis);
    }

    private void changeColdVms(Map<VmId, ColdVm> vms) {
        registry.setColdVms(vms, nowMillis);
        registry.queues().forEach(this::dispatchWaiting);
    }

    private void changeEvacuations(Set<FailureDomainId> domains) {
        registry.setEvacuated(domains);
        registry.queues().forEach(this::dispatchWaiting);
    }

    private void updatePeerLoads(Map<TargetId, Integer> running) {
        registry.setPeerLoads(running, nowMillis);
        registry.queues().forEach(this::dispatchWaiting);
    }
}
