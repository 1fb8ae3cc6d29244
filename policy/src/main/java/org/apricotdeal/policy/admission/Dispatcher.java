package org.apricotdeal.policy.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.catalogue.model.CallerEntry;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.kernel.duty.StateMachine;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.policy.limits.CallerLimits;
import org.apricotdeal.policy.limits.LimitVerdict;
import org.apricotdeal.policy.limits.ShareLedger;
import org.apricotdeal.policy.retry.RetryBudget;
import org.apricotdeal.policy.routing.Router;
import org.apricotdeal.policy.routing.StragglerDetector;
import org.apricotdeal.policy.routing.TargetState;

/**
 * Admits, queues, dispatches, forwards, preempts and refuses the requests of one node.
 *
 * <p>Requests are queued here rather than in the engines, because an engine's queue does not distinguish classes or callers,
 * and a request that an engine has accepted cannot be moved to another replica. Therefore a target gets at most as many
 * requests as it can decode concurrently.
 *
 * <p>A request passes through these steps:
 *
 * <ol>
 *   <li><em>Check:</em> the catalogue and the caller's limits must allow the request. If the node's share of the limits is
 *       used up and other nodes have been asked to lend a part of theirs, the request waits briefly for their answers.
 *   <li><em>Predict:</em> if the predicted wait exceeds the time in which the request must start, the request is forwarded
 *       to a failure domain with free streams, or refused at once. An early refusal is more useful to the caller than a late
 *       one, and it guarantees that the request did not run.
 *   <li><em>Queue:</em> the request waits in the queue of its upstream, class and caller.
 *   <li><em>Dispatch:</em> when a slot is free, the {@link ClassScheduler} chooses the class, the class's
 *       {@link CallerFairness} the caller, and the {@link Router} the target. A request that can no longer start in time is
 *       refused instead if other requests of its class are waiting.
 *   <li><em>Preempt:</em> if an urgent request has waited for a certain share of its first-token target and no slot became
 *       free, the most recently started stream of a preemptible class is paused. It returns to the head of its caller's
 *       queue and keeps its tokens.
 *   <li><em>Settle:</em> when a request ends, its caller is charged for its actual use.
 * </ol>
 *
 * <p>A request whose attempt was interrupted also returns to the head of its queue. If the attempt generated tokens, the
 * retry is free, because each such attempt brings the answer closer to its end. Otherwise the retry is taken from the
 * {@link RetryBudget}, so that a fault that fails every attempt cannot multiply the load.
 *
 * <p>Each decision takes time linear in the number of targets and classes of an upstream and logarithmic in the number of
 * callers, and independent of the number of waiting requests.
 */
public final class Dispatcher implements StateMachine<DispatcherEvent, DispatcherAction> {
    private static final int MAX_ATTEMPTS = 8;
    private static final long MAX_SHARE_WAIT_MILLIS = 60;
    private static final int MAX_AWAITING_SHARE = 64;
    private static final long STRAGGLER_CHECK_PERIOD_MILLIS = 250;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;
    private static final CallerId SHARED_QUEUE_OWNER = new CallerId("everyone");

    private final Router router;
    private final AdmissionOptions options;
    private final CallerLimits limits;
    private final UpstreamRegistry upstreams;
    private final ForwardDomainSelector forwardDomainSelector;
    private final OutputEstimator estimator = new OutputEstimator();
    private final UsageAccounting usageAccounting = new UsageAccounting(estimator);
    private final RetryBudget retryBudget;
    private final Map<RequestId, RequestState> requests = new HashMap<>();
    private final List<RequestState> awaitingShare = new ArrayList<>();
    private Catalogue catalogue = Catalogue.EMPTY;
    private long lastStragglerCheckMillis;
    private List<DispatcherAction> actions = new ArrayList<>();
    private long nowMillis;

    /**
     * Creates a dispatcher without a catalogue and without targets.
     *
     * @param router chooses the target of each request
     * @param ledger the node's ledger of shares of callers' limits
     * @param random source of random numbers for the choice of a failure domain
     * @param options enabled features
     */
    public Dispatcher(Router router, ShareLedger ledger, UniformRandomProvider random, AdmissionOptions options) {
        this.router = router;
        this.options = options;
        this.limits = new CallerLimits(ledger);
        this.upstreams = new UpstreamRegistry(options);
        this.forwardDomainSelector = new ForwardDomainSelector(random);
        this.retryBudget = new RetryBudget(catalogue.policy().retryBudgetShare());
    }

    @Override
    public List<DispatcherAction> step(long atMillis, DispatcherEvent event) {
        nowMillis = atMillis;
        actions = new ArrayList<>();
        switch (event) {
            case DispatcherEvent.Arrived(Arrival arrival) -> arrive(arrival);
            case DispatcherEvent.Progress(RequestId id, int tokens) -> progress(id, tokens);
            case DispatcherEvent.Finished(RequestId id, FinishOutcome outcome) -> finish(id, outcome);
            case DispatcherEvent.Cancelled(RequestId id) -> cancel(id);
            case DispatcherEvent.LoadReported report -> recordLoad(report);
            case DispatcherEvent.CacheReported(var target, long prefixHash, boolean stored) ->
                router.cacheChanged(target, prefixHash, stored);
            case DispatcherEvent.DomainsReported(var loads) -> forwardDomainSelector.updateLoads(loads);
            case DispatcherEvent.CatalogueChanged(Catalogue changed) -> updateCatalogue(changed);
            case DispatcherEvent.CapacityChanged(var targets) -> {
                upstreams.updateTargets(targets);
                dispatchAllWaiting();
            }
            case DispatcherEvent.NodesChanged(var nodes) -> limits.nodesChanged(nowMillis, nodes);
            case DispatcherEvent.ShareReceived(var from, var message) -> {
                addShareMessages(limits.received(nowMillis, from, message));
                recheckAwaitingShare();
            }
            case DispatcherEvent.Tick() -> tick();
        }
        return actions;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests that are queued at all upstreams or await a share of a limit
     */
    public int waiting() {
        int sum = awaitingShare.size();
        for (UpstreamState upstream : upstreams.all()) {
            for (ClassState state : upstream.classes) {
                sum += state.queue.size();
            }
        }
        return sum;
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return number of requests that are waiting, running or forwarded
     */
    public int inProgress() {
        return requests.size();
    }

    /**
     * Returns the number of further requests of a class that could start soon, for reports to other failure domains. This is
     * the number of slots that are free or can be freed for the class, less its running and waiting requests.
     *
     * @param upstreamId upstream to report on
     * @param classId class to report on
     * @return number of requests, 0 if the class has no capacity left
     */
    public int openStreams(UpstreamId upstreamId, ClassId classId) {
        UpstreamState upstream = upstreams.find(upstreamId);
        ClassState state = upstream == null ? null : upstreams.classOf(upstream, classId);
        return state == null ? 0 : WaitPredictor.openSlots(upstream, state);
    }

    private void updateCatalogue(Catalogue newCatalogue) {
        catalogue = newCatalogue;
        retryBudget.setShare(newCatalogue.policy().retryBudgetShare());
        upstreams.updateCatalogue(newCatalogue);
        limits.callersChanged(nowMillis, newCatalogue.all(CallerEntry.class));
        dispatchAllWaiting();
    }

    // Admission.

    private void arrive(Arrival arrival) {
        Optional<ClassEntry> classEntry = catalogue.find("class " + arrival.classId(), ClassEntry.class);
        Optional<CallerEntry> caller = catalogue.find("caller " + arrival.caller(), CallerEntry.class);
        UpstreamState upstream = upstreams.find(arrival.upstream());
        if (classEntry.isEmpty() || caller.isEmpty() || upstream == null || !allows(caller.get(), arrival)) {
            actions.add(new DispatcherAction.Refuse(arrival.id(), RefusalReason.NOT_ALLOWED, 0));
            return;
        }
        RequestState request = register(arrival, classEntry.get(), caller.get(), upstream);
        if (arrival.hops() > 0) {
            enqueueForwardOrRefuse(request);
            return;
        }
        List<ShareLedger.Outgoing> outgoing = new ArrayList<>();
        LimitVerdict verdict = limits.checkArrival(nowMillis, arrival.caller(), request.expectedTokens, outgoing);
        addShareMessages(outgoing);
        applyLimitVerdict(request, verdict);
    }

    private static boolean allows(CallerEntry caller, Arrival arrival) {
        return caller.classes().contains(arrival.classId())
                && caller.upstreams().contains(arrival.upstream());
    }

    private RequestState register(Arrival arrival, ClassEntry entry, CallerEntry caller, UpstreamState upstream) {
        long deadlineAfterMillis = arrival.deadlineMillis() > 0 ? arrival.deadlineMillis() : entry.deadlineMillis();
        RequestState request = new RequestState(
                arrival, entry, nowMillis, nowMillis + deadlineAfterMillis, estimator.expectedTokens(arrival));
        request.upstream = upstream;
        request.classState = upstreams.classOf(upstream, arrival.classId());
        CallerId queueOwner = options.callerFairness() ? arrival.caller() : SHARED_QUEUE_OWNER;
        request.callerQueue = request.classState.queue.queueOf(queueOwner, caller.weight());
        RequestState previous = requests.put(arrival.id(), request);
        Invariants.check(previous == null, "request-id-unique", () -> "request " + arrival.id());
        return request;
    }

    private void applyLimitVerdict(RequestState request, LimitVerdict verdict) {
        if (verdict instanceof LimitVerdict.Exceeded(long retryAfterMillis)) {
            boolean sharePending = limits.isAwaitingGrant(nowMillis, request.arrival.caller());
            boolean mayAwaitShare = nowMillis - request.arrivedMillis < MAX_SHARE_WAIT_MILLIS
                    && (request.phase == RequestState.Phase.AWAITING_SHARE
                            || awaitingShare.size() < MAX_AWAITING_SHARE);
            if (sharePending && mayAwaitShare) {
                awaitShare(request);
                return;
            }
            refuse(request, RefusalReason.LIMIT, retryAfterMillis);
            return;
        }
        limits.accept(request.arrival.caller(), request.expectedTokens);
        request.countsAgainstLimits = true;
        enqueueForwardOrRefuse(request);
    }

    private void awaitShare(RequestState request) {
        request.phase = RequestState.Phase.AWAITING_SHARE;
        awaitingShare.add(request);
    }

    private void recheckAwaitingShare() {
        if (awaitingShare.isEmpty()) {
            return;
        }
        List<RequestState> pending = List.copyOf(awaitingShare);
        awaitingShare.clear();
        for (RequestState request : pending) {
            if (request.phase == RequestState.Phase.AWAITING_SHARE) {
                applyLimitVerdict(request, limits.check(nowMillis, request.arrival.caller()));
            }
        }
    }

    private void enqueueForwardOrRefuse(RequestState request) {
        UpstreamState upstream = request.upstream;
        double waitMillis = WaitPredictor.predictMillis(
                upstream, request.classState, request.callerQueue, upstreams.isSmallFirst());
        double budgetMillis = Math.max(0, request.latestStartMillis() - nowMillis);
        boolean startsLate = options.earlyRefusal() ? waitMillis > budgetMillis : upstream.plannedSlots() == 0;
        if (startsLate && tryForward(request)) {
            return;
        }
        if (upstream.plannedSlots() == 0) {
            refuse(request, RefusalReason.NO_CAPACITY, MAX_RETRY_AFTER_MILLIS);
        } else if (startsLate) {
            refuse(request, RefusalReason.PREDICTED_LATE, (long) (waitMillis - budgetMillis));
        } else if (isQueueFull(request)) {
            refuse(request, RefusalReason.QUEUE_FULL, (long) waitMillis);
        } else {
            enqueue(request);
        }
    }

    /** Divides the class's queue capacity between the waiting callers, so that one caller cannot fill the queue. */
    private boolean isQueueFull(RequestState request) {
        ClassQueue queue = request.classState.queue;
        int activeCallers = queue.activeCallers() + (request.callerQueue.waiting.isEmpty() ? 1 : 0);
        int maxPerCaller = Math.max(1, request.classState.entry.maxQueued() / Math.max(1, activeCallers));
        return request.callerQueue.waiting.size() >= maxPerCaller;
    }

    private boolean tryForward(RequestState request) {
        if (request.arrival.hops() > 0) {
            return false;
        }
        Optional<FailureDomainId> domain =
                forwardDomainSelector.select(nowMillis, request.upstream.id, request.arrival.classId());
        if (domain.isEmpty()) {
            return false;
        }
        request.phase = RequestState.Phase.FORWARDED;
        actions.add(new DispatcherAction.Forward(request.arrival.id(), domain.get()));
        return true;
    }

    private void enqueue(RequestState request) {
        retryBudget.firstAttemptStarted();
        request.phase = RequestState.Phase.QUEUED;
        request.classState.queue.addLast(request.callerQueue, request);
        dispatchWaiting(request.upstream);
    }

    // Dispatch.

    private void dispatchAllWaiting() {
        for (UpstreamState upstream : upstreams.all()) {
            dispatchWaiting(upstream);
        }
    }

    private void dispatchWaiting(UpstreamState upstream) {
        int slots = upstream.slots();
        int free = upstream.freeSlots();
        while (free > 0) {
            ClassState classState = ClassScheduler.next(upstream.classes, slots);
            if (classState == null) {
                return;
            }
            RequestState request = classState.queue.next().waiting.peekFirst();
            if (isExpired(request)) {
                classState.queue.remove(request.callerQueue, request);
                end(request, RefusalReason.EXPIRED);
                continue;
            }
            Optional<TargetState> target = router.choose(upstream.targets, request.arrival.prefixHash());
            if (target.isEmpty()) {
                return;
            }
            checkFloors(upstream, classState, slots);
            dispatch(request, target.get());
            free--;
        }
    }

    private boolean isExpired(RequestState request) {
        if (nowMillis >= request.deadlineMillis) {
            return true;
        }
        if (!options.earlyRefusal() || request.attempts > 0) {
            return false;
        }
        boolean othersWaiting = request.classState.queue.size() > 1;
        return othersWaiting && nowMillis > request.latestStartMillis();
    }

    private static void checkFloors(UpstreamState upstream, ClassState served, int slots) {
        if (served.isBelowFloor(slots)) {
            return;
        }
        for (ClassState state : upstream.classes) {
            Invariants.check(
                    !state.isBelowFloor(slots),
                    "class-floor-kept",
                    () -> "upstream " + upstream.id + ": class " + state.entry.id() + " waits below its floor while "
                            + served.entry.id() + " is served above its own");
        }
    }

    private void dispatch(RequestState request, TargetState target) {
        request.classState.queue.removeForDispatch(nowMillis, request.callerQueue, request);
        request.phase = RequestState.Phase.RUNNING;
        request.target = target;
        request.attempts++;
        request.dispatchedMillis = nowMillis;
        request.lastProgressMillis = nowMillis;
        request.tokensAtDispatch = request.tokens;
        request.classState.running.add(request);
        target.dispatched(nowMillis);
        Invariants.check(
                target.inFlight() <= target.target().maxStreams(),
                "dispatch-within-capacity",
                () -> "target " + target.target().id() + ": " + target.inFlight() + " in flight");
        actions.add(new DispatcherAction.Dispatch(
                request.arrival.id(), target.target().id(), request.attempts));
    }

    // Preemption.

    private void preemptForOverdue(UpstreamState upstream) {
        if (!options.preemption() || !upstream.hasWaiting()) {
            return;
        }
        for (ClassState waiting : List.copyOf(upstream.classes)) {
            while (waiting.hasWaiting() && upstream.freeSlots() == 0 && Preemption.isOverdue(waiting, nowMillis)) {
                if (!preemptFor(upstream, waiting)) {
                    break;
                }
                dispatchWaiting(upstream);
            }
        }
    }

    private boolean preemptFor(UpstreamState upstream, ClassState waiting) {
        RequestState victim = Preemption.victim(upstream, waiting);
        if (victim == null) {
            return false;
        }
        actions.add(new DispatcherAction.Preempt(
                victim.arrival.id(), victim.target.target().id()));
        victim.preemptions++;
        victim.mayHaveRun = true;
        usageAccounting.released(nowMillis, victim);
        requeue(victim);
        return true;
    }

    // Progress and end of attempts.

    private void progress(RequestId id, int tokens) {
        RequestState request = requests.get(id);
        if (request == null || tokens <= request.tokens) {
            return;
        }
        if (request.phase == RequestState.Phase.FORWARDED) {
            request.tokens = tokens;
        } else if (request.phase == RequestState.Phase.RUNNING) {
            usageAccounting.progressed(nowMillis, request, tokens);
        }
    }

    private void finish(RequestId id, FinishOutcome outcome) {
        RequestState request = requests.get(id);
        if (request == null) {
            return;
        }
        if (request.phase == RequestState.Phase.FORWARDED) {
            finishForwarded(request, outcome);
            return;
        }
        if (request.phase != RequestState.Phase.RUNNING) {
            return;
        }
        usageAccounting.released(nowMillis, request);
        switch (outcome) {
            case COMPLETED -> {
                usageAccounting.completed(nowMillis, request);
                remove(request);
            }
            case FAILED, REFUSED_ELSEWHERE -> remove(request);
            case BROKEN -> {
                request.target.attemptFailed(nowMillis);
                request.mayHaveRun = true;
                retry(request, request.arrival.resumable());
            }
            case NOT_STARTED -> {
                request.target.attemptFailed(nowMillis);
                retry(request, true);
            }
            default -> throw new IllegalStateException("outcome " + outcome);
        }
        dispatchWaiting(request.upstream);
    }

    private void finishForwarded(RequestState request, FinishOutcome outcome) {
        if (outcome == FinishOutcome.REFUSED_ELSEWHERE || outcome == FinishOutcome.NOT_STARTED) {
            refuse(request, RefusalReason.PREDICTED_LATE, MIN_RETRY_AFTER_MILLIS);
            return;
        }
        if (outcome == FinishOutcome.BROKEN) {
            resumeLocally(request);
            return;
        }
        remove(request);
    }

    /** Resumes a request in this failure domain after its forwarding was interrupted; it may have run there. */
    private void resumeLocally(RequestState request) {
        request.mayHaveRun = true;
        request.attempts++;
        retry(request, request.arrival.resumable());
        dispatchWaiting(request.upstream);
    }

    private void retry(RequestState request, boolean repeatable) {
        boolean madeProgress = request.tokens > request.tokensAtDispatch;
        boolean withinLimits = nowMillis < request.deadlineMillis && request.attempts < MAX_ATTEMPTS;
        if (repeatable && withinLimits && (madeProgress || retryBudget.tryRetry())) {
            requeue(request);
            return;
        }
        end(request, withinLimits ? RefusalReason.ATTEMPTS_SPENT : RefusalReason.EXPIRED);
    }

    private void requeue(RequestState request) {
        request.phase = RequestState.Phase.QUEUED;
        request.target = null;
        request.classState.queue.addFirst(request.callerQueue, request);
    }

    private void cancel(RequestId id) {
        RequestState request = requests.get(id);
        if (request == null) {
            return;
        }
        boolean wasRunning = request.phase == RequestState.Phase.RUNNING;
        switch (request.phase) {
            case QUEUED -> request.classState.queue.remove(request.callerQueue, request);
            case AWAITING_SHARE -> awaitingShare.remove(request);
            case RUNNING -> usageAccounting.released(nowMillis, request);
            default -> {}
        }
        remove(request);
        if (wasRunning) {
            dispatchWaiting(request.upstream);
        }
    }

    // Timers and load reports.

    private void tick() {
        addShareMessages(limits.tick(nowMillis));
        recheckAwaitingShare();
        boolean stragglerCheckDue = nowMillis - lastStragglerCheckMillis >= STRAGGLER_CHECK_PERIOD_MILLIS;
        for (UpstreamState upstream : upstreams.all()) {
            upstream.halfOpenDueTargets(nowMillis);
            if (stragglerCheckDue && options.stragglers()) {
                checkStragglers(upstream);
            }
            dispatchWaiting(upstream);
            preemptForOverdue(upstream);
            expireOrForwardHeads(upstream);
        }
        if (stragglerCheckDue) {
            lastStragglerCheckMillis = nowMillis;
        }
    }

    private void checkStragglers(UpstreamState upstream) {
        for (TargetState changed : StragglerDetector.updateSpeeds(
                upstream.targets, catalogue.policy().stragglerRatio())) {
            Message message = changed.speed() < 1 ? Message.STRAGGLER_FOUND : Message.STRAGGLER_RECOVERED;
            String text = message.format(changed.target().id(), Math.round(changed.tokenIntervalMillis()));
            actions.add(new DispatcherAction.RecordEvent(message, text));
        }
    }

    /** Expires requests at the heads of the queues, or forwards them if a different failure domain can start them sooner. */
    private void expireOrForwardHeads(UpstreamState upstream) {
        for (ClassState state : upstream.classes) {
            for (CallerQueue queue : state.queue.activeQueues()) {
                RequestState head = queue.waiting.peekFirst();
                while (head != null && expireOrForward(head)) {
                    head = queue.waiting.peekFirst();
                }
            }
        }
    }

    private boolean expireOrForward(RequestState head) {
        if (isExpired(head)) {
            head.classState.queue.remove(head.callerQueue, head);
            end(head, RefusalReason.EXPIRED);
            return true;
        }
        long halfwayMillis = (head.arrivedMillis + head.latestStartMillis()) / 2;
        if (head.attempts > 0 || nowMillis < halfwayMillis || !tryForward(head)) {
            return false;
        }
        head.classState.queue.remove(head.callerQueue, head);
        return true;
    }

    private void recordLoad(DispatcherEvent.LoadReported report) {
        TargetState target = upstreams.target(report.target());
        if (target != null) {
            target.loadReported(report.running(), report.waiting(), nowMillis - report.ageMillis());
        }
    }

    private void addShareMessages(List<ShareLedger.Outgoing> outgoing) {
        for (ShareLedger.Outgoing message : outgoing) {
            actions.add(new DispatcherAction.SendShare(message.to(), message.message()));
        }
    }

    // End of requests.

    /** Ends a request that is not served further: refuses it if it was never dispatched, and gives it up otherwise. */
    private void end(RequestState request, RefusalReason reason) {
        if (request.attempts == 0) {
            refuse(request, reason, MIN_RETRY_AFTER_MILLIS);
            return;
        }
        remove(request);
        actions.add(new DispatcherAction.GiveUp(request.arrival.id(), reason, request.mayHaveRun));
    }

    private void refuse(RequestState request, RefusalReason reason, long retryAfterMillis) {
        Invariants.check(request.attempts == 0, "refused-never-dispatched", () -> "request " + request.arrival.id());
        remove(request);
        long retryMillis = Math.clamp(retryAfterMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
        actions.add(new DispatcherAction.Refuse(request.arrival.id(), reason, retryMillis));
    }

    private void remove(RequestState request) {
        request.phase = RequestState.Phase.ENDED;
        requests.remove(request.arrival.id());
        if (request.countsAgainstLimits) {
            limits.settle(request.arrival.caller(), request.expectedTokens, request.tokens);
        }
    }
}
