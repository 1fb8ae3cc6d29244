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
 * allows it, within the route's number of attempts and the shared {@link RepeatBudget}; what may have run and must not be
 * repeated is given up.
 */
public final class RelayDispatcher implements Machine<RelayEvent, RelayAction> {
    /** A replica passes on events each few steps; one without any for so long has lost a member or its head. */
    private static final long STALL_MILLIS = 550;

    /** Shortest and longest time to come back where no target is known: a repair takes about two seconds. */
    private static final long MIN_ABSENT_RETRY_MILLIS = 800;

    private static final long MAX_ABSENT_RETRY_MILLIS = 2_000;

    /** Part of their time left that callers wait at most before they come back. */
    private static final double HONOURED_SHARE = 1.0 / 3;

    /** Part of the objective that a request may wait at least, so that a slow line is not closed altogether. */
    private static final double MIN_WAIT_SHARE = 0.2;

    /** Callers who were refused are back or gone by then: more than a third of what callers bring along. */
    private static final long CALM_MILLIS = 4_000;

    /** Requests that a prompt counts as before the engine has read it; from start times by prompts and answers in progress. */
    private static final double UNREAD_PROMPT_WEIGHT = 3;

    /** A round of heartbeats ends by then, also where one was lost or a node is gone; more than their period. */
    private static final long ROUND_MILLIS = 400;

    /** A target is looked at by about so many nodes for each request that all of them place; small fleets look at all. */
    private static final int LOOKS_OF_ALL = 4;

    /** Two random choices spread load about as well as more do where counts are old. */
    private static final int MIN_LOOKS = 2;

    private static final double PLAIN_SERVICE_MILLIS = 30;
    private static final double PLAIN_START_MILLIS = 30;
    private static final double ENGINE_START_MILLIS = 120;

    private final FailureDomainId ownDomain;
    private final RepeatBudget budget;
    private final UniformRandomProvider random;
    private final Map<ExchangeId, RequestState> requests = new HashMap<>();
    private final Map<LineId, LineState> lines = new HashMap<>();
    private final Map<TargetId, TargetState> targets = new HashMap<>();
    private final Map<String, CallerPatience> patiences = new HashMap<>();
    private RelayCatalogue catalogue;
    private int nodes = 1;
    private long roundSinceMillis;
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
    public RelayDispatcher(FailureDomainId ownDomain, RepeatBudget budget, UniformRandomProvider random) {
        this.ownDomain = ownDomain;
        this.budget = budget;
        this.random = random;
    }

    /**
     * Returns what runs at each target, for heartbeats.
     *
     * @return number of this node's requests by target; targets without any are left out
     */
    public Map<TargetId, Integer> running() {
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
    public int waiting() {
        return lines.values().stream().mapToInt(line -> line.waiting.size()).sum();
    }

    /**
     * Returns what is asked of each line of an engine.
     *
     * @param atMillis time
     * @return the demand by line
     */
    public Map<LineId, LineDemand> demand(long atMillis) {
        Map<LineId, LineDemand> demand = new HashMap<>();
        lines.forEach((id, line) -> {
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
    public void progressed(long atMillis, ExchangeId id) {
        RequestState request = requests.get(id);
        if (request != null && request.running()) {
            request.target.progressed(atMillis);
        }
    }

    @Override
    public List<RelayAction> step(long atMillis, RelayEvent event) {
        nowMillis = atMillis;
        actions = new ArrayList<>();
        switch (event) {
            case RelayEvent.Arrived(Arrival arrival) -> arrive(arrival);
            case RelayEvent.Started(ExchangeId id) -> started(id);
            case RelayEvent.Finished(ExchangeId id) -> finished(id);
            case RelayEvent.AttemptFailed(ExchangeId id, AttemptOutcome outcome) -> failed(id, outcome);
            case RelayEvent.CallerLeft(ExchangeId id) -> callerLeft(id);
            case RelayEvent.CatalogueChanged(RelayCatalogue changed) -> changeCatalogue(changed);
            case RelayEvent.TargetsChanged(List<Target> changed) -> changeTargets(changed);
            case RelayEvent.OthersRun(Map<TargetId, Integer> running) -> takeOthersLoad(running);
            case RelayEvent.NodesCounted(int counted) -> {
                nodes = counted;
                budget.setNodes(counted, nowMillis);
            }
            case RelayEvent.Tick tick -> tick();
        }
        return actions;
    }

    // Admit.

    private void arrive(Arrival arrival) {
        LineState line = line(arrival.line());
        RequestState request = new RequestState(arrival, line, ++lastSequence, noteCaller(line, arrival));
        budget.requested(arrival.line().upstream(), nowMillis);
        if (!request.returned) {
            line.demand.asked(nowMillis);
        }
        LineOutlook outlook = line.outlook(request, nowMillis);
        if (outlook.hasNoTarget()) {
            refuse(request, RefusalReason.NO_TARGET, absentRetryMillis(), outlook);
            return;
        }
        boolean lastSlots = request.returned
                && line.keepsSlotsForNewcomers(
                        outlook, nowMillis, arrival.route().objectiveMillis());
        if (lastSlots || outlook.waitMillis() > mayWaitMillis(request)) {
            refuse(request, RefusalReason.OVERLOAD, returnMillis(request, outlook, outlook.waitMillis()), outlook);
            return;
        }
        requests.put(arrival.id(), request);
        line.waiting.add(request);
        serve(line);
    }

    /**
     * Learns how much time callers bring along while no one is refused, for then no one comes back; returns whether this one
     * must have asked before.
     */
    private boolean noteCaller(LineState line, Arrival arrival) {
        CallerPatience patience = patiences.computeIfAbsent(arrival.route().name(), name -> new CallerPatience());
        long remainingMillis = arrival.endMillis() - arrival.arrivedMillis();
        if (nowMillis - line.refusedMillis > CALM_MILLIS) {
            patience.learn(remainingMillis);
            return false;
        }
        return patience.hasAskedBefore(remainingMillis);
    }

    /** Time that a newcomer can wait and still start within its objective; one who comes back has missed it anyway. */
    private static double mayWaitMillis(RequestState request) {
        long objective = request.arrival.route().objectiveMillis();
        if (request.returned) {
            return objective;
        }
        return Math.max(objective * MIN_WAIT_SHARE, objective - request.line.startMillis.value());
    }

    private long absentRetryMillis() {
        return MIN_ABSENT_RETRY_MILLIS + random.nextLong(MAX_ABSENT_RETRY_MILLIS - MIN_ABSENT_RETRY_MILLIS);
    }

    /** Chooses when a refused caller should come back: when a slot that is taken now is free again, or later. */
    private long returnMillis(RequestState request, LineOutlook outlook, double waitMillis) {
        LineState line = request.line;
        double latestMillis = (request.arrival.endMillis() - nowMillis) * HONOURED_SHARE;
        double earliestMillis = Math.min(latestMillis, waitMillis + line.serviceMillis.value());
        return line.placeReturn(outlook, nowMillis, earliestMillis, latestMillis, random.nextDouble());
    }

    private LineState line(LineId id) {
        return lines.computeIfAbsent(id, this::newLine);
    }

    private LineState newLine(LineId id) {
        UpstreamEntry upstream =
                catalogue == null ? null : catalogue.upstreams().get(id.upstream());
        if (upstream == null || upstream.engine().isEmpty() || id.model().isEmpty()) {
            return new LineState(id, PLAIN_SERVICE_MILLIS, PLAIN_START_MILLIS);
        }
        EngineProfile engine = upstream.engine().get();
        double pace = engine.model(id.model().get()).map(ModelSpec::pace).orElse(1.0);
        double tokenMillis = engine.stepMillis() + engine.slots() * engine.sequenceMillis();
        double serviceMillis = pace
                * (engine.usualAnswerTokens() * tokenMillis + engine.usualPromptTokens() / engine.readTokensPerMilli());
        return new LineState(id, serviceMillis, ENGINE_START_MILLIS);
    }

    // Place.

    private void serve(LineState line) {
        while (!line.waiting.isEmpty()) {
            RequestState request = line.waiting.first();
            TargetState target = choose(line, request);
            if (target == null) {
                return;
            }
            line.waiting.remove(request);
            send(request, target);
        }
    }

    /** Chooses the best of some targets. Where many nodes choose at once, each looks at few, so that they do not all agree. */
    private TargetState choose(LineState line, RequestState request) {
        List<TargetState> open = new ArrayList<>();
        for (TargetState state : line.targets) {
            if (state.freeSlots(nowMillis) > 0 && !request.tried.contains(state.target.id())) {
                open.add(state);
            }
        }
        int looks = Math.max(MIN_LOOKS, (open.size() * LOOKS_OF_ALL + nodes - 1) / nodes);
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
        double away = state.target.failureDomain().equals(ownDomain) ? 0 : 0.5;
        double tie = random.nextDouble() / 4;
        double prompts = state.target.line().model().isPresent() ? UNREAD_PROMPT_WEIGHT * state.unstarted() : 0;
        return (state.load(nowMillis) + prompts + away + tie) / state.target.slots();
    }

    private void send(RequestState request, TargetState target) {
        int load = target.load(nowMillis);
        request.target = target;
        request.attempts++;
        request.started = false;
        request.dispatchedMillis = nowMillis;
        request.tried.add(target.target.id());
        if (target.running.isEmpty()) {
            target.lastProgressMillis = nowMillis;
        }
        target.running.add(request);
        actions.add(new RelayAction.Send(
                request.arrival.id(), target.target, request.attempts, load, target.loadAgeMillis(nowMillis)));
    }

    // Follow.

    private void started(ExchangeId id) {
        RequestState request = requests.get(id);
        if (request == null || !request.running()) {
            return;
        }
        request.target.progressed(nowMillis);
        if (!request.started) {
            request.started = true;
            request.line.startMillis.add(nowMillis - request.dispatchedMillis);
        }
    }

    private void finished(ExchangeId id) {
        RequestState request = requests.remove(id);
        if (request == null) {
            return;
        }
        line(request.arrival.line()).waiting.remove(request);
        if (request.running()) {
            request.target.progressed(nowMillis);
            request.line.serviceMillis.add(nowMillis - request.dispatchedMillis);
            release(request);
        }
        serve(request.line);
    }

    private void callerLeft(ExchangeId id) {
        RequestState request = requests.remove(id);
        if (request == null) {
            return;
        }
        request.line.waiting.remove(request);
        if (request.running()) {
            release(request);
            actions.add(new RelayAction.CutOff(id));
        }
        actions.add(new RelayAction.Forget(id));
        serve(request.line);
    }

    private static void release(RequestState request) {
        request.target.running.remove(request);
        request.target = null;
    }

    // Repeat.

    private void failed(ExchangeId id, AttemptOutcome outcome) {
        RequestState request = requests.get(id);
        if (request == null || !request.running()) {
            return;
        }
        TargetState target = request.target;
        release(request);
        switch (outcome) {
            case NOT_SENT -> {
                doubt(target, "no connection");
                request.attempts--;
                repeatUnsent(request);
            }
            case NOT_RUN -> repeat(request);
            case BROKEN -> {
                request.mayHaveRun = true;
                repeat(request);
            }
            default -> throw new IllegalStateException("outcome " + outcome);
        }
        serve(request.line);
    }

    /** Goes on with a request of which no VM has seen anything; each target is tried once. */
    private void repeatUnsent(RequestState request) {
        boolean untried = request.line.targets.stream().anyMatch(state -> !request.tried.contains(state.target.id()));
        if (untried && nowMillis < request.arrival.endMillis()) {
            request.line.waiting.add(request);
        } else {
            end(request, RefusalReason.NO_TARGET);
        }
    }

    private void repeat(RequestState request) {
        boolean allowed = !request.mayHaveRun || request.arrival.route().repeatable();
        boolean inTime = nowMillis < request.arrival.endMillis();
        boolean left = request.attempts < request.arrival.route().maxAttempts();
        if (allowed && inTime && left && budget.tryRepeat(request.line.id.upstream(), nowMillis)) {
            request.line.waiting.add(request);
            return;
        }
        end(request, inTime ? RefusalReason.BROKEN : RefusalReason.TIMEOUT);
    }

    private void end(RequestState request, RefusalReason reason) {
        if (!request.mayHaveRun) {
            RefusalReason notRun = reason == RefusalReason.BROKEN ? RefusalReason.NOT_RUN : reason;
            refuse(request, notRun, absentRetryMillis(), request.line.outlook(request, nowMillis));
            return;
        }
        requests.remove(request.arrival.id());
        actions.add(new RelayAction.GiveUp(request.arrival.id(), reason));
    }

    private void refuse(RequestState request, RefusalReason reason, long retryAfterMillis, LineOutlook outlook) {
        requests.remove(request.arrival.id());
        LineState line = request.line;
        line.refusedMillis = nowMillis;
        line.demand.refused(nowMillis, request.arrival.priority());
        if (!request.returned && reason != RefusalReason.NO_TARGET) {
            line.newcomerRefusedMillis = nowMillis;
        }
        RefusalGrounds grounds = outlook.grounds(nowMillis - request.arrival.arrivedMillis());
        actions.add(new RelayAction.Refuse(request.arrival.id(), reason, retryAfterMillis, grounds));
    }

    // Watch.

    private void tick() {
        targets.values()
                .removeIf(state ->
                        state.running.isEmpty() && !state.line().targets.contains(state));
        for (TargetState state : List.copyOf(targets.values())) {
            if (!state.running.isEmpty() && nowMillis - state.lastProgressMillis > STALL_MILLIS) {
                stalled(state);
            }
        }
        if (nowMillis - roundSinceMillis >= ROUND_MILLIS) {
            beginRound();
        }
        for (LineState line : lines.values()) {
            expireWaiting(line);
            serve(line);
        }
        for (RequestState request : List.copyOf(requests.values())) {
            if (nowMillis >= request.arrival.endMillis()) {
                timeOut(request);
            }
        }
    }

    private void stalled(TargetState state) {
        boolean news = !state.inDoubt(nowMillis) || state.triedSinceDoubt();
        if (news && state.stalledAgain()) {
            doubt(state, "no progress for " + (nowMillis - state.lastProgressMillis) + " ms");
        }
        state.lastProgressMillis = nowMillis;
        for (RequestState request : List.copyOf(state.running)) {
            if (canMove(request)) {
                actions.add(new RelayAction.CutOff(request.arrival.id()));
                release(request);
                request.mayHaveRun = true;
                request.line.waiting.add(request);
            }
        }
    }

    private boolean canMove(RequestState request) {
        return request.arrival.route().repeatable()
                && request.attempts < request.arrival.route().maxAttempts()
                && request.line.freeSlots(nowMillis) > 0
                && budget.tryRepeat(request.line.id.upstream(), nowMillis);
    }

    private void doubt(TargetState state, String reason) {
        state.doubt(nowMillis);
        actions.add(new RelayAction.Doubt(state.target, reason));
    }

    private void expireWaiting(LineState line) {
        if (line.waiting.isEmpty()) {
            return;
        }
        List<RequestState> late = new ArrayList<>();
        for (RequestState request : line.waiting) {
            long waitedMillis = nowMillis - request.arrival.arrivedMillis();
            if (request.attempts == 0 && waitedMillis > mayWaitMillis(request)) {
                late.add(request);
            }
        }
        for (RequestState request : late) {
            line.waiting.remove(request);
            LineOutlook outlook = line.outlook(request, nowMillis);
            refuse(request, RefusalReason.WAITED_OUT, returnMillis(request, outlook, 0), outlook);
        }
    }

    private void timeOut(RequestState request) {
        request.line.waiting.remove(request);
        if (request.running()) {
            request.mayHaveRun = true;
            release(request);
            actions.add(new RelayAction.CutOff(request.arrival.id()));
        }
        end(request, RefusalReason.TIMEOUT);
    }

    // Catalogue, targets and peers.

    private void changeCatalogue(RelayCatalogue changed) {
        catalogue = changed;
        patiences.keySet().retainAll(changed.routeNames());
    }

    /** A target that is no longer listed gets nothing new; it is kept until what it runs has ended. */
    private void changeTargets(List<Target> changed) {
        lines.values().forEach(line -> line.targets.clear());
        List<Target> ordered = new ArrayList<>(changed);
        ordered.sort(Comparator.comparing((Target target) -> target.id().vm()));
        for (Target target : ordered) {
            LineState line = line(target.line());
            line.targets.add(targets.computeIfAbsent(target.id(), id -> newTarget(target, line)));
        }
        lines.values().forEach(this::serve);
    }

    private TargetState newTarget(Target target, LineState line) {
        TargetState state = new TargetState(target, line);
        state.beginRound(nodes, random.nextDouble(), nowMillis);
        return state;
    }

    private void beginRound() {
        roundSinceMillis = nowMillis;
        targets.values().forEach(state -> state.beginRound(nodes, random.nextDouble(), nowMillis));
    }

    private void takeOthersLoad(Map<TargetId, Integer> running) {
        targets.values().forEach(state -> state.othersRun(running.getOrDefault(state.target.id(), 0), nowMillis));
        beginRound();
        lines.values().forEach(this::serve);
    }
}
