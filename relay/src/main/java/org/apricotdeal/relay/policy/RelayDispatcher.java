package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.duty.Machine;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;

/**
 * Decides for every request of a node when and where it is sent, whether it is refused, and whether it is sent again.
 *
 * <p>Requests wait at the node: what an engine has taken cannot be moved. So at most as many are sent to a target as it
 * works on at once, counted over all nodes as far as their heartbeats tell.
 *
 * <p><em>Admit:</em> a request that could not start within its objective, by the number ahead of it and the time that a
 * slot is kept, is refused at once. It certainly did not run, and the caller is told when to come back. A caller who comes
 * back has missed the objective, so it goes behind newcomers of its class, who can still be served in time; in front of
 * them it would make a newcomer late, who comes back in turn. <em>Place:</em> the line's first request goes to the target
 * with the smallest part of its slots taken, where prompts that the engine has not read weigh more and the own failure
 * domain goes first; a node among many looks at some targets only. Between the heartbeats of the other nodes this one
 * takes an equal part of the slots that are free.
 * <em>Watch:</em> a target none of whose requests advances is in doubt: it gets nothing new, and what runs there and may
 * be repeated goes on elsewhere. <em>Repeat:</em> an attempt that failed is made again at another target where the route
 * allows it, within the route's number of attempts and the shared {@link RetryBudget}; what may have run and must not be
 * repeated is given up.
 */
public final class RelayDispatcher implements Machine<RelayEvent, RelayAction> {
    /** A replica passes on events each few steps; one without any for so long has lost a member or its head. */
    private static final long STALL_MILLIS = 550;

    /** Shortest and longest time to come back where no target is known: a repair takes about two seconds. */
    private static final long MIN_NO_TARGET_RETRY_MILLIS = 800;

    private static final long MAX_NO_TARGET_RETRY_MILLIS = 2_000;

    /** Part of their time left that callers wait at most before they come back. */
    private static final double MAX_RETRY_AFTER_SHARE = 1.0 / 3;

    /** Part of the objective that a request may wait at least, so that a slow line is not closed altogether. */
    private static final double MIN_WAIT_SHARE = 0.2;

    /** Callers who were refused are back or gone by then: more than a third of what callers bring along. */
    private static final long RETURN_WINDOW_MILLIS = 4_000;

    /** Requests that a prompt counts as before the engine has read it; from start times by prompts and answers in progress. */
    private static final double UNREAD_PROMPT_WEIGHT = 3;

    /** A round of heartbeats ends by then, also where one was lost or a node is gone; more than their period. */
    private static final long ROUND_MILLIS = 400;

    /** A target is looked at by about so many nodes for each request that all of them place; small fleets look at all. */
    private static final int CANDIDATES_OF_ALL_NODES = 4;

    /** Two random choices spread load about as well as more do where counts are old. */
    private static final int MIN_CANDIDATES = 2;

    private static final double INITIAL_PLAIN_SERVICE_MILLIS = 30;
    private static final double INITIAL_PLAIN_START_MILLIS = 30;
    private static final double INITIAL_ENGINE_START_MILLIS = 120;

    private final FailureDomainId localDomain;
    private final RetryBudget budget;
    private final UniformRandomProvider random;
    private final Map<ExchangeId, RequestState> requests = new HashMap<>();
    private final Map<QueueId, QueueState> queues = new HashMap<>();
    private final Map<TargetId, TargetState> targets = new HashMap<>();
    private final Map<String, CallerTimeoutEstimate> timeoutEstimates = new HashMap<>();
    private RelayCatalogue catalogue;
    private int nodeCount = 1;
    private long roundStartedMillis;
    private long lastSequence;
    private long nowMillis;
    private List<RelayAction> actions = new ArrayList<>();

    /**
     * Creates a dispatcher that knows no targets yet.
     *
     * @param ownDomain the node's failure domain
     * @param budget the node's part of the bound on repeats
     * @param random seeded source
     */
    public RelayDispatcher(FailureDomainId ownDomain, RetryBudget budget, UniformRandomProvider random) {
        this.localDomain = ownDomain;
        this.budget = budget;
        this.random = random;
    }

    /**
     * Returns what runs at each target, for heartbeats.
     *
     * @return number of this node's requests by target; targets without any are left out
     */
    public Map<TargetId, Integer> runningRequests() {
        Map<TargetId, Integer> running = new HashMap<>();
        for (TargetState state : targets.values()) {
            if (!state.running.isEmpty()) {
                running.put(state.target.id(), state.running.size());
            }
        }
        return running;
    }

    /**
     * Returns how many requests wait.
     *
     * @return number of requests over all lines
     */
    public int waitingRequests() {
        return queues.values().stream().mapToInt(line -> line.waiting.size()).sum();
    }

    /**
     * Returns what is asked of each line of an engine.
     *
     * @param atMillis time
     * @return the demand by line
     */
    public Map<QueueId, QueueDemand> demandByQueue(long atMillis) {
        Map<QueueId, QueueDemand> demand = new HashMap<>();
        queues.forEach((id, line) -> {
            if (id.model().isPresent()) {
                demand.put(id, line.readDemand(atMillis));
            }
        });
        return demand;
    }

    /**
     * Notes that bytes of an answer came from a target; called for each piece, so it makes no decisions.
     *
     * @param atMillis time
     * @param id the exchange
     */
    public void recordProgress(long atMillis, ExchangeId id) {
        RequestState request = requests.get(id);
        if (request != null && request.running()) {
            request.target.recordProgress(atMillis);
        }
    }

    @Override
    public List<RelayAction> step(long atMillis, RelayEvent event) {
        nowMillis = atMillis;
        actions = new ArrayList<>();
        switch (event) {
            case RelayEvent.RequestArrived(Arrival arrival) -> admit(arrival);
            case RelayEvent.AnswerStarted(ExchangeId id) -> onStarted(id);
            case RelayEvent.RequestFinished(ExchangeId id) -> onFinished(id);
            case RelayEvent.AttemptFailed(ExchangeId id, AttemptOutcome outcome) -> onAttemptFailed(id, outcome);
            case RelayEvent.CallerDisconnected(ExchangeId id) -> onCallerDisconnected(id);
            case RelayEvent.CatalogueChanged(RelayCatalogue changed) -> changeCatalogue(changed);
            case RelayEvent.TargetsChanged(List<Target> changed) -> changeTargets(changed);
            case RelayEvent.PeerLoadsChanged(Map<TargetId, Integer> running) -> updatePeerLoads(running);
            case RelayEvent.NodeCountChanged(int counted) -> {
                nodeCount = counted;
                budget.setNodeCount(counted, nowMillis);
            }
            case RelayEvent.Tick tick -> onTick();
        }
        return actions;
    }

    // Admit.

    private void admit(Arrival arrival) {
        QueueState line = queue(arrival.queue());
        RequestState request = new RequestState(arrival, line, ++lastSequence, checkReturningCaller(line, arrival));
        budget.recordRequest(arrival.queue().upstream(), nowMillis);
        if (!request.returningCaller) {
            line.demand.newRequests(nowMillis);
        }
        QueueEstimate outlook = line.estimate(request, nowMillis);
        if (outlook.hasNoTarget()) {
            refuse(request, RefusalReason.NO_TARGET, noTargetRetryMillis(), outlook);
            return;
        }
        boolean lastSlots = request.returningCaller
                && line.reservesSlotsForNewCallers(
                        outlook, nowMillis, arrival.route().objectiveMillis());
        if (lastSlots || outlook.waitMillis() > maxWaitMillis(request)) {
            refuse(request, RefusalReason.OVERLOAD, retryAfterMillis(request, outlook, outlook.waitMillis()), outlook);
            return;
        }
        requests.put(arrival.id(), request);
        line.waiting.add(request);
        dispatchWaiting(line);
    }

    /**
     * Learns how much time callers bring along while no one is refused, for then no one comes back; returns whether this one
     * must have asked before.
     */
    private boolean checkReturningCaller(QueueState line, Arrival arrival) {
        CallerTimeoutEstimate patience =
                timeoutEstimates.computeIfAbsent(arrival.route().name(), name -> new CallerTimeoutEstimate());
        long remainingMillis = arrival.deadlineMillis() - arrival.arrivedMillis();
        if (nowMillis - line.lastRefusedMillis > RETURN_WINDOW_MILLIS) {
            patience.addSample(remainingMillis);
            return false;
        }
        return patience.isReturningCaller(remainingMillis);
    }

    /** Time that a newcomer can wait and still start within its objective; one who comes back has missed it anyway. */
    private static double maxWaitMillis(RequestState request) {
        long objective = request.arrival.route().objectiveMillis();
        if (request.returningCaller) {
            return objective;
        }
        return Math.max(objective * MIN_WAIT_SHARE, objective - request.queue.startMillis.value());
    }

    private long noTargetRetryMillis() {
        return MIN_NO_TARGET_RETRY_MILLIS + random.nextLong(MAX_NO_TARGET_RETRY_MILLIS - MIN_NO_TARGET_RETRY_MILLIS);
    }

    /** Chooses when a refused caller should come back: when a slot that is taken now is free again, or later. */
    private long retryAfterMillis(RequestState request, QueueEstimate outlook, double waitMillis) {
        QueueState line = request.queue;
        double latestMillis = (request.arrival.deadlineMillis() - nowMillis) * MAX_RETRY_AFTER_SHARE;
        double earliestMillis = Math.min(latestMillis, waitMillis + line.serviceMillis.value());
        return line.scheduleReturn(outlook, nowMillis, earliestMillis, latestMillis, random.nextDouble());
    }

    private QueueState queue(QueueId id) {
        return queues.computeIfAbsent(id, this::newQueue);
    }

    private QueueState newQueue(QueueId id) {
        UpstreamEntry upstream =
                catalogue == null ? null : catalogue.upstreams().get(id.upstream());
        if (upstream == null || upstream.engine().isEmpty() || id.model().isEmpty()) {
            return new QueueState(id, INITIAL_PLAIN_SERVICE_MILLIS, INITIAL_PLAIN_START_MILLIS);
        }
        EngineProfile engine = upstream.engine().get();
        double pace = engine.model(id.model().get()).map(ModelSpec::timeFactor).orElse(1.0);
        double tokenMillis = engine.baseStepMillis() + engine.slotsPerReplica() * engine.stepMillisPerSequence();
        double serviceMillis = pace
                * (engine.meanAnswerTokens() * tokenMillis
                        + engine.meanPromptTokens() / engine.prefillTokensPerMilli());
        return new QueueState(id, serviceMillis, INITIAL_ENGINE_START_MILLIS);
    }

    // Place.

    private void dispatchWaiting(QueueState line) {
        while (!line.waiting.isEmpty()) {
            RequestState request = line.waiting.first();
            TargetState target = chooseTarget(line, request);
            if (target == null) {
                return;
            }
            line.waiting.remove(request);
            send(request, target);
        }
    }

    /** Chooses the best of some targets. Where many nodes choose at once, each looks at few, so that they do not all agree. */
    private TargetState chooseTarget(QueueState line, RequestState request) {
        List<TargetState> open = new ArrayList<>();
        for (TargetState state : line.targets) {
            if (state.freeSlots(nowMillis) > 0 && !request.triedTargets.contains(state.target.id())) {
                open.add(state);
            }
        }
        int looks = Math.max(MIN_CANDIDATES, (open.size() * CANDIDATES_OF_ALL_NODES + nodeCount - 1) / nodeCount);
        TargetState best = null;
        double bestScore = Double.MAX_VALUE;
        for (int i = 0; i < Math.min(looks, open.size()); i++) {
            if (looks < open.size()) {
                Collections.swap(open, i, i + random.nextInt(open.size() - i));
            }
            double score = score(open.get(i));
            if (score < bestScore) {
                best = open.get(i);
                bestScore = score;
            }
        }
        return best;
    }

    /**
     * Part of the slots taken; another failure domain counts as half a request more, and ties break at random. A prompt that
     * the engine has not read yet counts as several: the first event waits for it, and hardly for answers being written.
     */
    private double score(TargetState state) {
        double away = state.target.failureDomain().equals(localDomain) ? 0 : 0.5;
        double tie = random.nextDouble() / 4;
        double prompts =
                state.target.queue().model().isPresent() ? UNREAD_PROMPT_WEIGHT * state.runningWithoutAnswer() : 0;
        return (state.load(nowMillis) + prompts + away + tie) / state.target.slots();
    }

    private void send(RequestState request, TargetState target) {
        int load = target.load(nowMillis);
        request.target = target;
        request.attempts++;
        request.started = false;
        request.dispatchedMillis = nowMillis;
        request.triedTargets.add(target.target.id());
        if (target.running.isEmpty()) {
            target.lastProgressMillis = nowMillis;
        }
        target.running.add(request);
        actions.add(new RelayAction.Send(
                request.arrival.id(), target.target, request.attempts, load, target.loadAgeMillis(nowMillis)));
    }

    // Follow.

    private void onStarted(ExchangeId id) {
        RequestState request = requests.get(id);
        if (request == null || !request.running()) {
            return;
        }
        request.target.recordProgress(nowMillis);
        if (!request.started) {
            request.started = true;
            request.queue.startMillis.add(nowMillis - request.dispatchedMillis);
        }
    }

    private void onFinished(ExchangeId id) {
        RequestState request = requests.remove(id);
        if (request == null) {
            return;
        }
        queue(request.arrival.queue()).waiting.remove(request);
        if (request.running()) {
            request.target.recordProgress(nowMillis);
            request.queue.serviceMillis.add(nowMillis - request.dispatchedMillis);
            release(request);
        }
        dispatchWaiting(request.queue);
    }

    private void onCallerDisconnected(ExchangeId id) {
        RequestState request = requests.remove(id);
        if (request == null) {
            return;
        }
        request.queue.waiting.remove(request);
        if (request.running()) {
            release(request);
            actions.add(new RelayAction.CancelAttempt(id));
        }
        actions.add(new RelayAction.DropExchange(id));
        dispatchWaiting(request.queue);
    }

    private static void release(RequestState request) {
        request.target.running.remove(request);
        request.target = null;
    }

    // Repeat.

    private void onAttemptFailed(ExchangeId id, AttemptOutcome outcome) {
        RequestState request = requests.get(id);
        if (request == null || !request.running()) {
            return;
        }
        TargetState target = request.target;
        release(request);
        switch (outcome) {
            case NOT_SENT -> {
                suspect(target, "no connection");
                request.attempts--;
                retryUnsent(request);
            }
            case NOT_RUN -> retry(request);
            case BROKEN -> {
                request.mayHaveRun = true;
                retry(request);
            }
            default -> throw new IllegalStateException("outcome " + outcome);
        }
        dispatchWaiting(request.queue);
    }

    /** Goes on with a request of which no VM has seen anything; each target is tried once. */
    private void retryUnsent(RequestState request) {
        boolean untried =
                request.queue.targets.stream().anyMatch(state -> !request.triedTargets.contains(state.target.id()));
        if (untried && nowMillis < request.arrival.deadlineMillis()) {
            request.queue.waiting.add(request);
        } else {
            fail(request, RefusalReason.NO_TARGET);
        }
    }

    private void retry(RequestState request) {
        boolean allowed = !request.mayHaveRun || request.arrival.route().retryable();
        boolean inTime = nowMillis < request.arrival.deadlineMillis();
        boolean left = request.attempts < request.arrival.route().maxAttempts();
        if (allowed && inTime && left && budget.tryRetry(request.queue.id.upstream(), nowMillis)) {
            request.queue.waiting.add(request);
            return;
        }
        fail(request, inTime ? RefusalReason.BROKEN : RefusalReason.TIMEOUT);
    }

    private void fail(RequestState request, RefusalReason reason) {
        if (!request.mayHaveRun) {
            RefusalReason notRun = reason == RefusalReason.BROKEN ? RefusalReason.NOT_RUN : reason;
            refuse(request, notRun, noTargetRetryMillis(), request.queue.estimate(request, nowMillis));
            return;
        }
        requests.remove(request.arrival.id());
        actions.add(new RelayAction.GiveUp(request.arrival.id(), reason));
    }

    private void refuse(RequestState request, RefusalReason reason, long retryAfterMillis, QueueEstimate outlook) {
        requests.remove(request.arrival.id());
        QueueState line = request.queue;
        line.lastRefusedMillis = nowMillis;
        line.demand.refusals(nowMillis, request.arrival.priority());
        if (!request.returningCaller && reason != RefusalReason.NO_TARGET) {
            line.newCallerRefusedMillis = nowMillis;
        }
        RefusalDetails grounds = outlook.refusalDetails(nowMillis - request.arrival.arrivedMillis());
        actions.add(new RelayAction.Refuse(request.arrival.id(), reason, retryAfterMillis, grounds));
    }

    // Watch.

    private void onTick() {
        targets.values()
                .removeIf(state ->
                        state.running.isEmpty() && !state.queue().targets.contains(state));
        for (TargetState state : List.copyOf(targets.values())) {
            if (!state.running.isEmpty() && nowMillis - state.lastProgressMillis > STALL_MILLIS) {
                handleStall(state);
            }
        }
        if (nowMillis - roundStartedMillis >= ROUND_MILLIS) {
            beginRound();
        }
        for (QueueState line : queues.values()) {
            expireWaiting(line);
            dispatchWaiting(line);
        }
        for (RequestState request : List.copyOf(requests.values())) {
            if (nowMillis >= request.arrival.deadlineMillis()) {
                timeOut(request);
            }
        }
    }

    private void handleStall(TargetState state) {
        boolean news = !state.isSuspected(nowMillis) || state.triedSinceSuspected();
        if (news && state.recordStall()) {
            suspect(state, "no progress for " + (nowMillis - state.lastProgressMillis) + " ms");
        }
        state.lastProgressMillis = nowMillis;
        for (RequestState request : List.copyOf(state.running)) {
            if (canMove(request)) {
                actions.add(new RelayAction.CancelAttempt(request.arrival.id()));
                release(request);
                request.mayHaveRun = true;
                request.queue.waiting.add(request);
            }
        }
    }

    private boolean canMove(RequestState request) {
        return request.arrival.route().retryable()
                && request.attempts < request.arrival.route().maxAttempts()
                && request.queue.freeSlots(nowMillis) > 0
                && budget.tryRetry(request.queue.id.upstream(), nowMillis);
    }

    private void suspect(TargetState state, String reason) {
        state.suspect(nowMillis);
        actions.add(new RelayAction.SuspectTarget(state.target, reason));
    }

    private void expireWaiting(QueueState line) {
        if (line.waiting.isEmpty()) {
            return;
        }
        List<RequestState> late = new ArrayList<>();
        for (RequestState request : line.waiting) {
            long waitedMillis = nowMillis - request.arrival.arrivedMillis();
            if (request.attempts == 0 && waitedMillis > maxWaitMillis(request)) {
                late.add(request);
            }
        }
        for (RequestState request : late) {
            line.waiting.remove(request);
            QueueEstimate outlook = line.estimate(request, nowMillis);
            refuse(request, RefusalReason.WAITED_OUT, retryAfterMillis(request, outlook, 0), outlook);
        }
    }

    private void timeOut(RequestState request) {
        request.queue.waiting.remove(request);
        if (request.running()) {
            request.mayHaveRun = true;
            release(request);
            actions.add(new RelayAction.CancelAttempt(request.arrival.id()));
        }
        fail(request, RefusalReason.TIMEOUT);
    }

    // Catalogue, targets and peers.

    private void changeCatalogue(RelayCatalogue changed) {
        catalogue = changed;
        timeoutEstimates.keySet().retainAll(changed.routeNames());
    }

    /** A target that is no longer listed gets nothing new; it is kept until what it runs has ended. */
    private void changeTargets(List<Target> changed) {
        queues.values().forEach(line -> line.targets.clear());
        List<Target> ordered = new ArrayList<>(changed);
        ordered.sort(Comparator.comparing((Target target) -> target.id().vm()));
        for (Target target : ordered) {
            QueueState line = queue(target.queue());
            line.targets.add(targets.computeIfAbsent(target.id(), id -> newTarget(target, line)));
        }
        queues.values().forEach(this::dispatchWaiting);
    }

    private TargetState newTarget(Target target, QueueState line) {
        TargetState state = new TargetState(target, line);
        state.beginRound(nodeCount, random.nextDouble(), nowMillis);
        return state;
    }

    private void beginRound() {
        roundStartedMillis = nowMillis;
        targets.values().forEach(state -> state.beginRound(nodeCount, random.nextDouble(), nowMillis));
    }

    private void updatePeerLoads(Map<TargetId, Integer> running) {
        targets.values().forEach(state -> state.setPeersRunning(running.getOrDefault(state.target.id(), 0), nowMillis));
        beginRound();
        queues.values().forEach(this::dispatchWaiting);
    }
}
