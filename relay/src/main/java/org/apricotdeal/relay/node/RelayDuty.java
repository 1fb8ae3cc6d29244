package org.apricotdeal.relay.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.health.LocalHealth;
import org.apricotdeal.relay.model.RouteEntry;
import org.apricotdeal.relay.model.WeightedUpstream;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.AttemptId;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.QueueDemand;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.policy.RefusalDetails;
import org.apricotdeal.relay.policy.RefusalReason;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayDispatcher;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.RequestExplanation;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;
import org.apricotdeal.relay.port.ExchangeHeaders;

/** Duty that owns the dispatcher: passes events of exchanges to it and executes the actions that it returns. */
final class RelayDuty implements UpstreamAttempt.Listener, AutoCloseable {
    private static final int RING_SLOTS = 4_096;
    private static final long TICK_MILLIS = 25;

    /** Interval of demand updates; plans change over seconds. */
    private static final long DEMAND_PERIOD_MILLIS = 500;

    /** Time after its deadline at which a request that has no answer is failed; several ticks. */
    private static final long OVERDUE_MILLIS = 200;

    /** Short, because other nodes can serve the request. */
    private static final long STOP_RETRY_MILLIS = 50;

    private static final ExchangeId NO_EXCHANGE = new ExchangeId(-1);

    private final Duty<RelayEvent> duty;
    private final RelayDispatcher dispatcher;
    private final UpstreamRequest.Factory requests;
    private final ExchangeHeaders headerNames;
    private final Predicate<FailureDomainId> evacuated;
    private final Clock clock;
    private final UniformRandomProvider random;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final Map<ExchangeId, Exchange> exchanges = new ConcurrentHashMap<>();
    private final AtomicInteger unwrittenResponses = new AtomicInteger();
    private final CallerResources callerResources;
    private final AnswerLog answers;
    private volatile Map<TargetId, Integer> running = Map.of();
    private volatile Map<QueueId, QueueDemand> demand = Map.of();
    private volatile int waiting;
    private volatile boolean ending;
    private final PendingQuestions questions = new PendingQuestions();
    private long demandUpdatedMillis;
    private volatile SuspicionListener suspicionListener = (vms, faultyAddress, reason) -> {};
    private volatile Function<String, OptionalInt> loadReader = header -> OptionalInt.empty();
    private volatile HandOver handOver;
    private volatile Consumer<TargetId> leavingListener = target -> {};
    private final CrashNewsFeed crashNews;
    private volatile NodeDelayFeed nodeDelays;

    /** Receives VMs that may have failed. */
    interface SuspicionListener {
        /**
         * Called when a target has failed or makes no progress.
         *
         * @param vms members of the target
         * @param faultyAddress address of the member that caused it, if the target named one
         * @param reason reason for the suspicion, for the log
         */
        void suspect(List<VmId> vms, Optional<String> faultyAddress, String reason);
    }

    RelayDuty(
            RelayDispatcher dispatcher,
            UpstreamRequest.Factory requests,
            ExchangeHeaders headerNames,
            Predicate<FailureDomainId> evacuated,
            Clock clock,
            UniformRandomProvider random,
            DecisionLog log,
            MetricRegistry metrics,
            ResourceLimits limits) {
        this.callerResources = new CallerResources(limits, clock, log, metrics);
        this.answers = new AnswerLog(log, metrics);
        this.dispatcher = dispatcher;
        this.requests = requests;
        this.headerNames = headerNames;
        this.evacuated = evacuated;
        this.clock = clock;
        this.random = random;
        this.log = log;
        this.metrics = metrics;
        this.crashNews = new CrashNewsFeed(log, metrics, clock);
        this.nodeDelays = new NodeDelayFeed(new LocalHealth(), clock);
        metrics.register("requests.in.progress", (Gauge<Integer>) exchanges::size);
        metrics.register("requests.waiting", (Gauge<Integer>) () -> waiting);
        this.duty = new Duty<>("dispatch", RING_SLOTS, TICK_MILLIS, this::step, this::tick);
    }

    /** Returns what callers hold of the node's memory and connections. */
    CallerResources callerResources() {
        return callerResources;
    }

    /** Returns the log of the answers that the node gives itself or cuts. */
    AnswerLog answers() {
        return answers;
    }

    /** Sets the listener for VMs that may have failed. */
    void onSuspectedVms(SuspicionListener listener) {
        suspicionListener = listener;
    }

    /** Sets the listener for targets whose VM has said in a response that it leaves. */
    void onLeavingVms(Consumer<TargetId> listener) {
        leavingListener = listener;
    }

    /** Sets what hands requests over to other nodes; without it, none is handed over. */
    void handOverBy(HandOver newHandOver) {
        handOver = newHandOver;
    }

    /** Sets the judge of this node's delay; without it, the node takes itself for punctual. */
    void judgeDelayBy(LocalHealth health) {
        nodeDelays = new NodeDelayFeed(health, clock);
    }

    /** Sets the parser of the header in which a VM reports the number of requests at it. */
    void readLoadsWith(Function<String, OptionalInt> reader) {
        loadReader = reader;
    }

    /** Returns the feed of crashes and trials that this node knows of. */
    CrashNewsFeed crashNews() {
        return crashNews;
    }

    /** Queues an event that must not be dropped; blocks the calling thread while the ring is full. */
    void put(RelayEvent event) {
        duty.put(event);
    }

    /** Returns the number of requests in progress at each target. */
    Map<TargetId, Integer> running() {
        return running;
    }

    /** Returns the number of requests that waited in all queues at the last tick. */
    int waiting() {
        return waiting;
    }

    /** Returns the demand of each queue of an engine. */
    Map<QueueId, QueueDemand> demand() {
        return demand;
    }

    /** Returns the number of requests whose response has not been written to the caller's connection completely. */
    int inProgress() {
        return unwrittenResponses.get();
    }

    /** Counts a response that will be written to a caller's connection. */
    void responseExpected() {
        unwrittenResponses.incrementAndGet();
    }

    /** Counts a response that has been written, or whose connection has been closed. */
    void responseWritten() {
        unwrittenResponses.decrementAndGet();
    }

    UpstreamId chooseUpstream(RouteEntry route) {
        return WeightedUpstream.choose(route.upstreams(), random::nextDouble);
    }

    void submit(Exchange exchange) {
        exchanges.put(exchange.arrival().id(), exchange);
        metrics.meter("requests." + exchange.arrival().route().name()).mark();
        if (handOver != null && handOver.beginIfIsolated(exchange, this)) {
            return;
        }
        if (!duty.offer(new RelayEvent.RequestArrived(exchange.arrival()))) {
            exchanges.remove(exchange.arrival().id());
            metrics.counter("refused.ring.full").inc();
            exchange.refuse(RefusalReason.OVERLOAD, exchange.arrival().route().objectiveMillis());
        }
    }

    void callerDisconnected(Exchange exchange) {
        duty.put(new RelayEvent.CallerDisconnected(exchange.arrival().id()));
    }

    @Override
    public void started(UpstreamAttempt attempt) {
        duty.put(new RelayEvent.AnswerStarted(attempt.id(), loadReader.apply(attempt.loadHeader())));
    }

    @Override
    public void used(UpstreamAttempt attempt) {
        metrics.counter("attempts.used.of.several").inc();
        duty.put(new RelayEvent.AnswerUsed(attempt.id()));
    }

    @Override
    public void paused(UpstreamAttempt attempt, long pauseMillis) {
        VmId vm = attempt.target().id().vm();
        metrics.counter("vms.paused").inc();
        log.state("vm_paused").with("vm", vm).with("pauseMillis", pauseMillis).write();
        duty.put(new RelayEvent.VmPaused(vm, clock.monotonicMillis() + pauseMillis));
    }

    @Override
    public void leaving(UpstreamAttempt attempt) {
        leavingListener.accept(attempt.target().id());
    }

    @Override
    public void completed(UpstreamAttempt attempt, int status) {
        Exchange exchange = attempt.exchange();
        long tookMillis = clock.monotonicMillis() - exchange.arrival().arrivedMillis();
        long beganMillis = exchange.streamStartMillis() < 0
                ? tookMillis
                : exchange.streamStartMillis() - exchange.arrival().arrivedMillis();
        metrics.histogram("answer.millis." + exchange.arrival().route().name()).update(tookMillis);
        metrics.counter("answered." + status).inc();
        log.request("answered")
                .with("request", exchange.requestId())
                .with("status", status)
                .with("target", attempt.target().id())
                .with("attempt", attempt.id().number())
                .with("beganMillis", beganMillis)
                .with("tookMillis", tookMillis)
                .write();
        duty.put(new RelayEvent.RequestFinished(attempt.id()));
    }

    @Override
    public void failed(UpstreamAttempt attempt, AttemptOutcome outcome, String reason, Optional<String> faultyAddress) {
        Exchange exchange = attempt.exchange();
        metrics.counter("attempts.failed." + outcome).inc();
        log.request("attempt_failed")
                .with("request", exchange.requestId())
                .with("target", attempt.target().id())
                .with("attempt", attempt.id().number())
                .with("outcome", outcome)
                .with("reason", reason)
                .with("faultyVm", faultyAddress.orElse("-"))
                .with("answeringMillis", attempt.answeringMillis())
                .with("traits", exchange.arrival().traits())
                .write();
        if (outcome == AttemptOutcome.NOT_RUN) {
            suspicionListener.suspect(attempt.target().members(), faultyAddress, "answered " + reason);
        }
        duty.put(new RelayEvent.AttemptFailed(attempt.id(), outcome));
    }

    /**
     * Asks what would become of a request now; the answer comes with the next tick.
     *
     * @param arrival the request, which is not sent
     * @return the decision and what it is based on; fails if the duty has stopped
     */
    CompletableFuture<RequestExplanation> explain(Arrival arrival) {
        return questions.ask(arrival);
    }

    private void step(RelayEvent event) {
        Exchange exchange = event instanceof RelayEvent.CallerDisconnected(ExchangeId id) ? exchanges.get(id) : null;
        execute(dispatcher.step(clock.monotonicMillis(), event));
        crashNews.update(dispatcher.crashNews(), dispatcher::blamedTraits);
        if (exchange != null) {
            // The dispatcher does not know a request that has been handed over.
            cancelAttempts(exchange.arrival().id(), attempt -> true);
            dropExchange(exchange.arrival().id());
            metrics.counter("callers.left").inc();
            log.request("caller_left").with("request", exchange.requestId()).write();
        }
        if (event instanceof RelayEvent.RequestFinished(AttemptId attempt)) {
            exchanges.remove(attempt.exchange());
        }
    }

    private void tick() {
        for (Exchange exchange : exchanges.values()) {
            for (UpstreamAttempt attempt : exchange.runningAttempts()) {
                dispatcher.recordProgress(attempt.progressMillis(), attempt.id());
                dispatcher.recordAnswering(clock.monotonicMillis(), attempt.id(), attempt.answeringMillis());
            }
        }
        for (RelayEvent change : nodeDelays.changes()) {
            execute(dispatcher.step(clock.monotonicMillis(), change));
        }
        try {
            execute(dispatcher.step(clock.monotonicMillis(), new RelayEvent.Tick()));
        } finally {
            failOverdue();
            if (ending) {
                failRemaining();
            }
        }
        running = dispatcher.runningRequests();
        waiting = dispatcher.waitingRequests();
        questions.answerAll(arrival -> dispatcher.explain(clock.monotonicMillis(), arrival));
        crashNews.update(dispatcher.crashNews(), dispatcher::blamedTraits);
        long nowMillis = clock.monotonicMillis();
        if (nowMillis - demandUpdatedMillis >= DEMAND_PERIOD_MILLIS) {
            demandUpdatedMillis = nowMillis;
            demand = dispatcher.demandByQueue(nowMillis);
        }
    }

    /** Executes actions one by one: what one of them throws must not cost the later ones, which answer other callers. */
    private void execute(List<RelayAction> actions) {
        Deque<RelayAction> pending = new ArrayDeque<>(actions);
        while (!pending.isEmpty()) {
            RelayAction action = pending.remove();
            Exchange exchange = exchanges.get(exchangeOf(action));
            try {
                execute(action);
            } catch (RuntimeException e) {
                logFailure(action.getClass().getSimpleName(), exchange, e);
                pending.addAll(recover(action, exchange));
            }
        }
    }

    private static ExchangeId exchangeOf(RelayAction action) {
        return switch (action) {
            case RelayAction.Send send -> send.id();
            case RelayAction.Refuse refusal -> refusal.id();
            case RelayAction.GiveUp(ExchangeId id, RefusalReason reason) -> id;
            case RelayAction.CancelAttempts(ExchangeId id) -> id;
            case RelayAction.CancelAttempt(AttemptId attempt) -> attempt.exchange();
            case RelayAction.DropExchange(ExchangeId id) -> id;
            case RelayAction.SuspectTarget suspicion -> NO_EXCHANGE;
        };
    }

    private void execute(RelayAction action) {
        switch (action) {
            case RelayAction.Send send -> send(send);
            case RelayAction.Refuse refusal -> refuse(refusal);
            case RelayAction.GiveUp(ExchangeId id, RefusalReason reason) -> giveUp(id, reason);
            case RelayAction.CancelAttempts(ExchangeId id) -> cancelAttempts(id, attempt -> true);
            case RelayAction.CancelAttempt(AttemptId dropped) ->
                cancelAttempts(dropped.exchange(), attempt -> attempt.id().equals(dropped));
            case RelayAction.DropExchange(ExchangeId id) -> dropExchange(id);
            case RelayAction.SuspectTarget(Target target, String reason) -> suspectTarget(target, reason);
        }
    }

    /** Makes up for a failed action, so that its caller gets an answer; returns the actions that follow. */
    private List<RelayAction> recover(RelayAction action, Exchange exchange) {
        return switch (action) {
            case RelayAction.Send send -> recoverSend(send, exchange);
            case RelayAction.Refuse _, RelayAction.GiveUp _, RelayAction.DropExchange _ -> {
                closeUnanswered(exchange);
                yield List.of();
            }
            case RelayAction.CancelAttempts _, RelayAction.CancelAttempt _, RelayAction.SuspectTarget _ -> List.of();
        };
    }

    private List<RelayAction> recoverSend(RelayAction.Send send, Exchange exchange) {
        try {
            boolean created = exchange != null
                    && exchange.attempt() != null
                    && exchange.attempt().id().equals(send.attempt());
            AttemptOutcome outcome = created ? exchange.attempt().cancelFailedSend() : AttemptOutcome.NOT_SENT;
            return dispatcher.step(clock.monotonicMillis(), new RelayEvent.AttemptFailed(send.attempt(), outcome));
        } catch (RuntimeException e) {
            logFailure("recover", exchange, e);
            closeUnanswered(exchange);
            return List.of();
        }
    }

    /** Closes the connection of a caller to whom an answer could not be written. */
    private void closeUnanswered(Exchange exchange) {
        if (exchange == null) {
            return;
        }
        exchanges.remove(exchange.arrival().id());
        try {
            exchange.abortForFailure();
        } catch (RuntimeException e) {
            logFailure("close", exchange, e);
        }
    }

    private void logFailure(String what, Exchange exchange, RuntimeException failure) {
        log.state("action_failed")
                .with("action", what)
                .with("request", exchange == null ? "-" : exchange.requestId())
                .with("failure", failure)
                .write();
    }

    /**
     * Fails the requests that are still here after their deadline. The dispatcher ends all others at their deadline; these
     * it has lost, because an exception ended one of its steps.
     */
    private void failOverdue() {
        long nowMillis = clock.monotonicMillis();
        for (Exchange exchange : exchanges.values()) {
            if (exchange.isCompleted() || nowMillis < exchange.arrival().deadlineMillis() + OVERDUE_MILLIS) {
                continue;
            }
            metrics.counter("requests.overdue").inc();
            end(exchange, new RelayAction.GiveUp(exchange.arrival().id(), RefusalReason.TIMEOUT));
        }
    }

    private void failRemaining() {
        for (Exchange exchange : exchanges.values()) {
            if (!exchange.isCompleted()) {
                metrics.counter("requests.ended.by.stop").inc();
                end(exchange, endByStop(exchange));
            }
        }
    }

    private RelayAction endByStop(Exchange exchange) {
        Arrival arrival = exchange.arrival();
        if (exchange.attempt() != null) {
            return new RelayAction.GiveUp(arrival.id(), RefusalReason.STOPPING);
        }
        long waitedMillis = clock.monotonicMillis() - arrival.arrivedMillis();
        RefusalDetails details = new RefusalDetails(0, -1, 0, 0, waitedMillis);
        return new RelayAction.Refuse(arrival.id(), RefusalReason.STOPPING, STOP_RETRY_MILLIS, details);
    }

    /** Ends a request whatever the dispatcher thinks of it. */
    private void end(Exchange exchange, RelayAction lastAction) {
        ExchangeId id = exchange.arrival().id();
        execute(List.of(new RelayAction.CancelAttempts(id), lastAction));
        execute(dispatcher.step(clock.monotonicMillis(), new RelayEvent.CallerDisconnected(id)));
    }

    private void send(RelayAction.Send send) {
        Exchange exchange = exchanges.get(send.id());
        if (exchange == null) {
            return;
        }
        UpstreamAttempt attempt =
                new UpstreamAttempt(exchange, send, headerNames, evacuated, clock, this, callerResources);
        exchange.addAttempt(attempt);
        long nowMillis = clock.monotonicMillis();
        log.request("sent")
                .with("request", exchange.requestId())
                .with("target", send.target().id())
                .with("attempt", send.attempt().number())
                .with("waitedMillis", nowMillis - exchange.arrival().arrivedMillis())
                .with("remainingMillis", exchange.arrival().deadlineMillis() - nowMillis)
                .with("load", send.load())
                .with("loadAgeMillis", send.loadAgeMillis())
                .write();
        attempt.send(requests);
    }

    private void refuse(RelayAction.Refuse refusal) {
        Exchange exchange = exchanges.get(refusal.id());
        if (exchange == null || handOver == null || !handOver.begin(exchange, refusal, this)) {
            endUnsent(refusal);
        }
    }

    /** Ends a request that no other node has answered. */
    void endHandedOver(RelayAction.Refuse refusal, boolean notRun) {
        if (notRun) {
            endUnsent(refusal);
        } else {
            giveUp(refusal.id(), RefusalReason.BROKEN);
        }
    }

    private void endUnsent(RelayAction.Refuse refusal) {
        Exchange exchange = exchanges.remove(refusal.id());
        if (exchange == null) {
            return;
        }
        metrics.counter("refused." + refusal.reason()).inc();
        RefusalDetails details = refusal.details();
        log.request("refused")
                .with("request", exchange.requestId())
                .with("route", exchange.arrival().route().name())
                .with("line", exchange.arrival().queue())
                .with("reason", refusal.reason())
                .with("digest", BlameLog.digest(exchange.arrival(), refusal.reason()))
                .with("waiting", details.waiting())
                .with("predictedWaitMillis", details.predictedWaitMillis())
                .with("freeSlots", details.freeSlots())
                .with("usableSlots", details.usableSlots())
                .with("waitedMillis", details.waitedMillis())
                .with("remainingMillis", exchange.arrival().deadlineMillis() - clock.monotonicMillis())
                .with("retryAfterMillis", refusal.retryAfterMillis())
                .write();
        exchange.refuse(refusal.reason(), refusal.retryAfterMillis());
    }

    private void giveUp(ExchangeId id, RefusalReason reason) {
        Exchange exchange = exchanges.remove(id);
        if (exchange == null) {
            return;
        }
        metrics.counter("given.up." + reason).inc();
        log.request("given_up")
                .with("request", exchange.requestId())
                .with("reason", reason)
                .with("digest", BlameLog.digest(exchange.arrival(), reason))
                .with("begun", exchange.hasStarted())
                .write();
        exchange.fail(reason);
    }

    private void cancelAttempts(ExchangeId id, Predicate<UpstreamAttempt> choice) {
        Exchange exchange = exchanges.get(id);
        if (exchange != null) {
            exchange.runningAttempts().stream().filter(choice).forEach(UpstreamAttempt::cancel);
        }
    }

    private void dropExchange(ExchangeId id) {
        Exchange exchange = exchanges.remove(id);
        if (exchange != null) {
            exchange.abortForDisconnect();
        }
    }

    private void suspectTarget(Target target, String reason) {
        metrics.counter("targets.doubted").inc();
        log.state("target_in_doubt")
                .with("target", target.id())
                .with("line", target.queue())
                .with("reason", reason)
                .write();
        suspicionListener.suspect(target.members(), Optional.empty(), reason);
    }

    /**
     * Ends the requests that are still here, before the process ends: with a refusal if they were not sent, else with an
     * error response, or by closing the connection if a part of the response has been written.
     */
    void endRemaining() {
        ending = true;
    }

    /**
     * Waits until all responses have been written: those of slow callers take longer than the requests.
     *
     * @param untilMillis end of the wait
     * @return false if responses remain
     */
    boolean awaitIdle(long untilMillis) {
        while (inProgress() > 0 && clock.monotonicMillis() < untilMillis) {
            try {
                TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return inProgress() == 0;
    }

    @Override
    public void close() {
        duty.close();
    }
}
