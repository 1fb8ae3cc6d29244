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
import org.apricotdeal.kernel.duty.Machine;
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
 * Decides for every request of one node when and where it is served, whether it is refused, and which stream makes room.
 *
 * <p>Requests wait here and not in the engines: an engine's queue knows neither classes nor callers, and what it has taken
 * cannot be moved to another replica. So at most as many requests are dispatched to a target as it decodes at a time.
 *
 * <p>A request goes through these steps. <em>Check:</em> the catalogue allows it, and the caller's limits do; where the
 * node's share of the limits is used up but other nodes have been asked for a part of theirs, the request waits for a
 * moment. <em>Predict:</em> where the wait ahead of it is longer than the time in which it has to start, it is forwarded
 * to a failure domain with free streams, or refused at once: a refusal now is worth more to the caller than one later,
 * and the request certainly did not run. <em>Wait:</em> in the queue of its upstream, class and caller.
 * <em>Serve:</em> whenever a slot is free, the {@link ClassScheduler} picks the class, the class's {@link CallerFairness}
 * the caller, and the {@link Router} the target. A request that can no longer start in time is refused instead, as long as
 * others wait that can. <em>Make room:</em> where an urgent request has waited for a good part of its time and no slot
 * turned over, the stream of a preemptible class that began last is paused; it goes back to the head of its caller's queue
 * with the tokens so far. <em>Settle:</em> when a request ends, its caller is charged for what it really used.
 *
 * <p>An attempt that broke off goes back to the head of its queue as well. Where it had generated tokens this is free,
 * since each such attempt brings the answer closer to its end; where it had not, it costs a part of the
 * {@link RetryBudget}, so that a fault that fails every attempt cannot multiply the load.
 *
 * <p>Each decision takes time linear in the number of an upstream's targets and classes and logarithmic in the number of
 * callers; nothing depends on the number of requests that wait.
 */
public final class Dispatcher implements Machine<DispatcherEvent, DispatcherAction> {
    private static final int MAX_ATTEMPTS = 8;
    private static final long SHARE_WAIT_MILLIS = 60;
    private static final int MAX_AWAITING_SHARE = 64;
    private static final long COMPARE_PERIOD_MILLIS = 250;
    private static final long MIN_RETRY_AFTER_MILLIS = 100;
    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;
    private static final CallerId EVERYONE = new CallerId("everyone");

    private final Router router;
    private final AdmissionOptions options;
    private final CallerLimits limits;
    private final UpstreamBoard board;
    private final SpillChooser spill;
    private final OutputEstimator estimator = new OutputEstimator();
    private final Settlement settlement = new Settlement(estimator);
    private final RetryBudget retryBudget;
    private final Map<RequestId, RequestState> requests = new HashMap<>();
    private final List<RequestState> awaitingShare = new ArrayList<>();
    private Catalogue catalogue = Catalogue.EMPTY;
    private long comparedMillis;
    private List<DispatcherAction> actions = new ArrayList<>();
    private long nowMillis;

    /**
     * Creates a dispatcher that knows no catalogue and no targets yet.
     *
     * @param router chooses targets
     * @param ledger the node's ledger of shares of callers' limits
     * @param random seeded source
     * @param options parts switched on
     */
    public Dispatcher(Router router, ShareLedger ledger, UniformRandomProvider random, AdmissionOptions options) {
        this.router = router;
        this.options = options;
        this.limits = new CallerLimits(ledger);
        this.board = new UpstreamBoard(options);
        this.spill = new SpillChooser(random);
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
            case DispatcherEvent.LoadReported report -> takeLoad(report);
            case DispatcherEvent.CacheReported(var target, long prefixHash, boolean stored) ->
                router.cacheChanged(target, prefixHash, stored);
            case DispatcherEvent.DomainsReported(var loads) -> spill.reported(loads);
            case DispatcherEvent.CatalogueChanged(Catalogue changed) -> changeCatalogue(changed);
            case DispatcherEvent.CapacityChanged(var targets) -> {
                board.capacityChanged(targets);
                serveAll();
            }
            case DispatcherEvent.NodesChanged(var nodes) -> limits.nodesChanged(nowMillis, nodes);
            case DispatcherEvent.ShareReceived(var from, var message) -> {
                send(limits.received(nowMillis, from, message));
                admitAwaitingShare();
            }
            case DispatcherEvent.Tick() -> tick();
        }
        return actions;
    }

    /**
     * Returns how many requests wait.
     *
     * @return number of requests over all upstreams
     */
    public int waiting() {
        int sum = awaitingShare.size();
        for (UpstreamState upstream : board.all()) {
            for (ClassState state : upstream.classes) {
                sum += state.queue.size();
            }
        }
        return sum;
    }

    /**
     * Returns how many requests the dispatcher knows of.
     *
     * @return number of requests that wait, run or were forwarded
     */
    public int inProgress() {
        return requests.size();
    }

    /**
     * Returns how many further requests of a class could start soon, for reports to other failure domains: the class's
     * part of the slots, free or to be made free for it, less what it runs and what waits.
     *
     * @param upstreamId the upstream
     * @param classId the class
     * @return number of requests, 0 where the class has no room
     */
    public int openStreams(UpstreamId upstreamId, ClassId classId) {
        UpstreamState upstream = board.find(upstreamId);
        ClassState state = upstream == null ? null : board.classOf(upstream, classId);
        return state == null ? 0 : WaitPredictor.openSlots(upstream, state);
    }

    private void changeCatalogue(Catalogue changed) {
        catalogue = changed;
        retryBudget.setShare(changed.policy().retryBudgetShare());
        board.catalogueChanged(changed);
        limits.callersChanged(nowMillis, changed.all(CallerEntry.class));
        serveAll();
    }

    // Check and predict.

    private void arrive(Arrival arrival) {
        Optional<ClassEntry> classEntry = catalogue.find("class " + arrival.classId(), ClassEntry.class);
        Optional<CallerEntry> caller = catalogue.find("caller " + arrival.caller(), CallerEntry.class);
        UpstreamState upstream = board.find(arrival.upstream());
        if (classEntry.isEmpty() || caller.isEmpty() || upstream == null || !allows(caller.get(), arrival)) {
            actions.add(new DispatcherAction.Refuse(arrival.id(), RefusalReason.NOT_ALLOWED, 0));
            return;
        }
        RequestState request = accept(arrival, classEntry.get(), caller.get(), upstream);
        if (arrival.hops() > 0) {
            predict(request);
            return;
        }
        List<ShareLedger.Outgoing> outgoing = new ArrayList<>();
        LimitVerdict verdict = limits.ask(nowMillis, arrival.caller(), request.expectedTokens, outgoing);
        send(outgoing);
        decideLimit(request, verdict);
    }

    private static boolean allows(CallerEntry caller, Arrival arrival) {
        return caller.classes().contains(arrival.classId())
                && caller.upstreams().contains(arrival.upstream());
    }

    private RequestState accept(Arrival arrival, ClassEntry entry, CallerEntry caller, UpstreamState upstream) {
        long limitMillis = arrival.deadlineMillis() > 0 ? arrival.deadlineMillis() : entry.deadlineMillis();
        RequestState request =
                new RequestState(arrival, entry, nowMillis, nowMillis + limitMillis, estimator.expectedTokens(arrival));
        request.upstream = upstream;
        request.classState = board.classOf(upstream, arrival.classId());
        CallerId queueOwner = options.callerFairness() ? arrival.caller() : EVERYONE;
        request.callerQueue = request.classState.queue.queueOf(queueOwner, caller.weight());
        RequestState known = requests.put(arrival.id(), request);
        Invariants.check(known == null, "request-id-unique", () -> "request " + arrival.id());
        return request;
    }

    private void decideLimit(RequestState request, LimitVerdict verdict) {
        if (verdict instanceof LimitVerdict.Exceeded(long retryAfterMillis)) {
            boolean mayCome = limits.isAsking(nowMillis, request.arrival.caller());
            boolean mayWait = nowMillis - request.arrivedMillis < SHARE_WAIT_MILLIS
                    && (request.phase == RequestState.Phase.AWAITING_SHARE
                            || awaitingShare.size() < MAX_AWAITING_SHARE);
            if (mayCome && mayWait) {
                awaitShare(request);
                return;
            }
            refuse(request, RefusalReason.LIMIT, retryAfterMillis);
            return;
        }
        limits.accept(request.arrival.caller(), request.expectedTokens);
        request.countsAgainstLimits = true;
        predict(request);
    }

    private void awaitShare(RequestState request) {
        request.phase = RequestState.Phase.AWAITING_SHARE;
        awaitingShare.add(request);
    }

    private void admitAwaitingShare() {
        if (awaitingShare.isEmpty()) {
            return;
        }
        List<RequestState> before = List.copyOf(awaitingShare);
        awaitingShare.clear();
        for (RequestState request : before) {
            if (request.phase == RequestState.Phase.AWAITING_SHARE) {
                decideLimit(request, limits.check(nowMillis, request.arrival.caller()));
            }
        }
    }

    private void predict(RequestState request) {
        UpstreamState upstream = request.upstream;
        double waitMillis =
                WaitPredictor.predictMillis(upstream, request.classState, request.callerQueue, board.isSmallFirst());
        double budgetMillis = Math.max(0, request.latestStartMillis() - nowMillis);
        boolean late = options.earlyRefusal() ? waitMillis > budgetMillis : upstream.plannedSlots() == 0;
        if (late && forward(request)) {
            return;
        }
        if (upstream.plannedSlots() == 0) {
            refuse(request, RefusalReason.NO_CAPACITY, MAX_RETRY_AFTER_MILLIS);
        } else if (late) {
            refuse(request, RefusalReason.PREDICTED_LATE, (long) (waitMillis - budgetMillis));
        } else if (isQueueFull(request)) {
            refuse(request, RefusalReason.QUEUE_FULL, (long) waitMillis);
        } else {
            enqueue(request);
        }
    }

    /** A class's places in the queue are divided between the callers that wait, so that one cannot fill them all. */
    private boolean isQueueFull(RequestState request) {
        ClassQueue queue = request.classState.queue;
        int active = queue.activeCallers() + (request.callerQueue.waiting.isEmpty() ? 1 : 0);
        int places = Math.max(1, request.classState.entry.maxQueued() / Math.max(1, active));
        return request.callerQueue.waiting.size() >= places;
    }

    private boolean forward(RequestState request) {
        if (request.arrival.hops() > 0) {
            return false;
        }
        Optional<FailureDomainId> domain = spill.choose(nowMillis, request.upstream.id, request.arrival.classId());
        if (domain.isEmpty()) {
            return false;
        }
        request.phase = RequestState.Phase.FORWARDED;
        actions.add(new DispatcherAction.Forward(request.arrival.id(), domain.get()));
        return true;
    }

    private void enqueue(RequestState request) {
        retryBudget.attempted();
        request.phase = RequestState.Phase.QUEUED;
        request.classState.queue.addLast(request.callerQueue, request);
        serve(request.upstream);
    }

    // Serve.

    private void serveAll() {
        for (UpstreamState upstream : board.all()) {
            serve(upstream);
        }
    }

    private void serve(UpstreamState upstream) {
        int slots = upstream.slots();
        int free = upstream.freeSlots();
        while (free > 0) {
            ClassState next = ClassScheduler.next(upstream.classes, slots);
            if (next == null) {
                return;
            }
            RequestState request = next.queue.next().waiting.peekFirst();
            if (isExpired(request)) {
                next.queue.remove(request.callerQueue, request);
                end(request, RefusalReason.EXPIRED);
                continue;
            }
            Optional<TargetState> target = router.choose(upstream.targets, request.arrival.prefixHash());
            if (target.isEmpty()) {
                return;
            }
            checkFloors(upstream, next, slots);
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
        boolean othersWait = request.classState.queue.size() > 1;
        return othersWait && nowMillis > request.latestStartMillis();
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
        request.classState.queue.serve(nowMillis, request.callerQueue, request);
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

    // Make room.

    private void makeRoom(UpstreamState upstream) {
        if (!options.preemption() || !upstream.hasWaiting()) {
            return;
        }
        for (ClassState waiting : List.copyOf(upstream.classes)) {
            while (waiting.waits() && upstream.freeSlots() == 0 && Preemption.isOverdue(waiting, nowMillis)) {
                if (!preemptFor(upstream, waiting)) {
                    break;
                }
                serve(upstream);
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
        settlement.released(nowMillis, victim);
        requeue(victim);
        return true;
    }

    // Settle.

    private void progress(RequestId id, int tokens) {
        RequestState request = requests.get(id);
        if (request == null || tokens <= request.tokens) {
            return;
        }
        if (request.phase == RequestState.Phase.FORWARDED) {
            request.tokens = tokens;
        } else if (request.phase == RequestState.Phase.RUNNING) {
            settlement.progressed(nowMillis, request, tokens);
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
        settlement.released(nowMillis, request);
        switch (outcome) {
            case COMPLETED -> {
                settlement.completed(nowMillis, request);
                forget(request);
            }
            case FAILED, REFUSED_ELSEWHERE -> forget(request);
            case BROKEN -> {
                request.target.failed(nowMillis);
                request.mayHaveRun = true;
                retry(request, request.arrival.resumable());
            }
            case NOT_STARTED -> {
                request.target.failed(nowMillis);
                retry(request, true);
            }
            default -> throw new IllegalStateException("outcome " + outcome);
        }
        serve(request.upstream);
    }

    private void finishForwarded(RequestState request, FinishOutcome outcome) {
        if (outcome == FinishOutcome.REFUSED_ELSEWHERE || outcome == FinishOutcome.NOT_STARTED) {
            refuse(request, RefusalReason.PREDICTED_LATE, MIN_RETRY_AFTER_MILLIS);
            return;
        }
        if (outcome == FinishOutcome.BROKEN) {
            takeBack(request);
            return;
        }
        forget(request);
    }

    /** Goes on with a request in the own failure domain whose forwarding broke off; it may have run there. */
    private void takeBack(RequestState request) {
        request.mayHaveRun = true;
        request.attempts++;
        retry(request, request.arrival.resumable());
        serve(request.upstream);
    }

    private void retry(RequestState request, boolean repeatable) {
        boolean advanced = request.tokens > request.tokensAtDispatch;
        boolean inTime = nowMillis < request.deadlineMillis && request.attempts < MAX_ATTEMPTS;
        if (repeatable && inTime && (advanced || retryBudget.tryRetry())) {
            requeue(request);
            return;
        }
        end(request, inTime ? RefusalReason.ATTEMPTS_SPENT : RefusalReason.EXPIRED);
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
        boolean ran = request.phase == RequestState.Phase.RUNNING;
        switch (request.phase) {
            case QUEUED -> request.classState.queue.remove(request.callerQueue, request);
            case AWAITING_SHARE -> awaitingShare.remove(request);
            case RUNNING -> settlement.released(nowMillis, request);
            default -> {}
        }
        forget(request);
        if (ran) {
            serve(request.upstream);
        }
    }

    // Time and reports.

    private void tick() {
        send(limits.tick(nowMillis));
        admitAwaitingShare();
        boolean compare = nowMillis - comparedMillis >= COMPARE_PERIOD_MILLIS;
        for (UpstreamState upstream : board.all()) {
            upstream.reopenTargets(nowMillis);
            if (compare && options.stragglers()) {
                compareTargets(upstream);
            }
            serve(upstream);
            makeRoom(upstream);
            leaveHeads(upstream);
        }
        if (compare) {
            comparedMillis = nowMillis;
        }
    }

    private void compareTargets(UpstreamState upstream) {
        for (TargetState changed :
                StragglerDetector.compare(upstream.targets, catalogue.policy().stragglerRatio())) {
            Message message = changed.speed() < 1 ? Message.STRAGGLER_FOUND : Message.STRAGGLER_RECOVERED;
            String text = message.format(changed.target().id(), Math.round(changed.tokenIntervalMillis()));
            actions.add(new DispatcherAction.Note(message, text));
        }
    }

    /** Takes requests off the heads of the queues that have expired, or that another failure domain can start sooner. */
    private void leaveHeads(UpstreamState upstream) {
        for (ClassState state : upstream.classes) {
            for (CallerQueue queue : state.queue.active()) {
                RequestState head = queue.waiting.peekFirst();
                while (head != null && leaves(head)) {
                    head = queue.waiting.peekFirst();
                }
            }
        }
    }

    private boolean leaves(RequestState head) {
        if (isExpired(head)) {
            head.classState.queue.remove(head.callerQueue, head);
            end(head, RefusalReason.EXPIRED);
            return true;
        }
        long halfMillis = (head.arrivedMillis + head.latestStartMillis()) / 2;
        if (head.attempts > 0 || nowMillis < halfMillis || !forward(head)) {
            return false;
        }
        head.classState.queue.remove(head.callerQueue, head);
        return true;
    }

    private void takeLoad(DispatcherEvent.LoadReported report) {
        TargetState target = board.target(report.target());
        if (target != null) {
            target.reported(report.running(), report.waiting(), nowMillis - report.ageMillis());
        }
    }

    private void send(List<ShareLedger.Outgoing> outgoing) {
        for (ShareLedger.Outgoing message : outgoing) {
            actions.add(new DispatcherAction.SendShare(message.to(), message.message()));
        }
    }

    // End.

    /** Ends a request that is not served any further: refused where it never ran, given up otherwise. */
    private void end(RequestState request, RefusalReason reason) {
        if (request.attempts == 0) {
            refuse(request, reason, MIN_RETRY_AFTER_MILLIS);
            return;
        }
        forget(request);
        actions.add(new DispatcherAction.GiveUp(request.arrival.id(), reason, request.mayHaveRun));
    }

    private void refuse(RequestState request, RefusalReason reason, long retryAfterMillis) {
        Invariants.check(request.attempts == 0, "refused-never-dispatched", () -> "request " + request.arrival.id());
        forget(request);
        long retryMillis = Math.clamp(retryAfterMillis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
        actions.add(new DispatcherAction.Refuse(request.arrival.id(), reason, retryMillis));
    }

    private void forget(RequestState request) {
        request.phase = RequestState.Phase.ENDED;
        requests.remove(request.arrival.id());
        if (request.countsAgainstLimits) {
            limits.settle(request.arrival.caller(), request.expectedTokens, request.tokens);
        }
    }
}
