package org.apricotdeal.node.live;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.engine.CompletionRequest;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.engine.StreamHandle;
import org.apricotdeal.engine.TokenListener;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.node.caller.AnswerWriter;
import org.apricotdeal.node.caller.CompletionBody;
import org.apricotdeal.node.caller.Failure;
import org.apricotdeal.node.caller.FailureCode;
import org.apricotdeal.node.caller.RequestContext;
import org.apricotdeal.node.fleet.Route;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.settings.NodeSettings;
import org.apricotdeal.policy.admission.FinishOutcome;
import org.apricotdeal.policy.call.RetryPermit;
import org.apricotdeal.policy.routing.TargetId;
import org.apricotdeal.policy.stream.StreamAction;
import org.apricotdeal.policy.stream.StreamEnd;
import org.apricotdeal.policy.stream.StreamEvent;
import org.apricotdeal.policy.stream.StreamPolicy;
import org.apricotdeal.policy.stream.TokenStreamMachine;

/**
 * One completion in progress: joins the dispatcher, which grants places on replicas, with the stream's state machine, which
 * decides when to open, probe, abandon and resume. Each grant is used for one attempt; when the machine asks for a replica
 * and no grant is left, the end of the attempt is reported to the dispatcher, which grants another place or gives up.
 */
final class LiveStream extends LiveRequest {
    private static final long PROBE_MILLIS = 500;
    private static final int MAX_ATTEMPTS = 6;
    private static final long EXCLUDE_MILLIS = 5_000;
    private static final int MAX_BUFFERED_TOKENS = 64;

    /** Time for the failed target to leave the table of targets before the stream is dispatched anew. */
    private static final long RETRY_DELAY_MILLIS = 50;

    private static final int PROGRESS_TOKENS = 8;

    private final LiveServices services;
    private final RequestContext context;
    private final CompletionBody body;
    private final AnswerWriter writer;
    private final TokenStreamMachine machine;
    private final Map<Integer, StreamHandle> attempts = new HashMap<>();
    private Route granted;
    private volatile Route current;
    private boolean started;
    private boolean paused;
    private volatile boolean lastNotStarted;
    private long awaitsGrantFromMillis = Long.MAX_VALUE;
    private Failure refusal;

    LiveStream(LiveDuty duty, LiveServices services, RequestContext context, CompletionBody body, AnswerWriter writer) {
        super(duty);
        this.services = services;
        this.context = context;
        this.body = body;
        this.writer = writer;
        NodeSettings.Timing timing = services.settings().timing();
        StreamPolicy policy = new StreamPolicy(
                timing.firstTokenTimeoutMillis(),
                timing.progressTimeoutMillis(),
                PROBE_MILLIS,
                context.deadlineAtMillis(),
                MAX_ATTEMPTS,
                EXCLUDE_MILLIS,
                MAX_BUFFERED_TOKENS);
        this.machine = new TokenStreamMachine(policy, RetryPermit.UNLIMITED);
    }

    @Override
    void take(LiveEvent event) {
        switch (event) {
            case LiveEvent.Dispatched(TargetId target) -> takeGrant(target);
            case LiveEvent.Refused(var reason, long retryAfterMillis) -> giveUp(Refusals.of(reason, retryAfterMillis));
            case LiveEvent.GaveUp(var reason, boolean mayHaveRun) ->
                giveUp(
                        mayHaveRun
                                ? Failure.unknown(502, FailureCode.STREAM_FAILED, "the stream broke off")
                                : Refusals.of(reason, 0));
            case LiveEvent.Preempted preempted -> step(new StreamEvent.Preempt());
            case LiveEvent.OfStream(StreamEvent of) -> step(of);
            case LiveEvent.CallerGone gone -> callerGone();
            case LiveEvent.Tick tick -> tick();
            case LiveEvent.Forwarded(FailureDomainId failureDomain) -> takeForward(failureDomain);
            case LiveEvent.Outcome outcome -> {}
            case LiveEvent.ForwardOutcome outcome -> {}
            case LiveEvent.Claimed claimed -> {}
        }
    }

    private void tick() {
        if (services.nowMillis() >= awaitsGrantFromMillis) {
            awaitsGrantFromMillis = Long.MAX_VALUE;
            services.dispatching().finished(context.id(), attemptOutcome());
        }
        if (started) {
            step(new StreamEvent.Tick());
        }
    }

    private void takeGrant(TargetId target) {
        Optional<Route> route = services.table().find(target);
        if (route.isEmpty()) {
            services.dispatching().finished(context.id(), FinishOutcome.NOT_STARTED);
            return;
        }
        useGrant(route.get());
    }

    /** Another failure domain serves the stream by way of one of its nodes, as if that node were a replica. */
    private void takeForward(FailureDomainId failureDomain) {
        Optional<Route> route = services.forwarding().route(context.upstream(), failureDomain);
        if (route.isEmpty()) {
            services.dispatching().finished(context.id(), FinishOutcome.REFUSED_ELSEWHERE);
            return;
        }
        useGrant(route.get());
    }

    private void useGrant(Route route) {
        granted = route;
        if (!started) {
            started = true;
            step(new StreamEvent.Start());
        } else if (paused) {
            paused = false;
            step(new StreamEvent.Resume());
        } else {
            chooseGranted();
        }
    }

    private void giveUp(Failure failure) {
        refusal = failure;
        if (started) {
            step(new StreamEvent.NoReplica());
        }
        if (!hasEnded()) {
            writer.failed(failure);
            end();
        }
    }

    private void callerGone() {
        services.dispatching().cancelled(context.id());
        if (started) {
            step(new StreamEvent.Cancelled());
        }
        if (!hasEnded()) {
            end();
        }
    }

    private void step(StreamEvent event) {
        for (StreamAction action : machine.step(services.nowMillis(), event)) {
            carryOut(action);
        }
    }

    private void carryOut(StreamAction action) {
        switch (action) {
            case StreamAction.ChooseReplica(ReplicaId preferred, Set<ReplicaId> excluded) -> choose(excluded);
            case StreamAction.Open(int attempt, ReplicaId replica, List<String> generated) -> open(attempt, generated);
            case StreamAction.CancelAttempt(int attempt) ->
                Optional.ofNullable(attempts.remove(attempt)).ifPresent(StreamHandle::cancel);
            case StreamAction.Probe(int attempt, ReplicaId replica) -> probe(attempt, replica);
            case StreamAction.Deliver(int offset, String text) -> deliver(offset, text);
            case StreamAction.Paused(int delivered) -> paused = true;
            case StreamAction.Finish(String reason, int delivered) -> finish(reason);
            case StreamAction.Fail(StreamEnd reason, int delivered) -> fail(reason);
        }
    }

    private void choose(Set<ReplicaId> excluded) {
        if (current != null && excluded.contains(current.replica())) {
            noteTargetFailed();
        }
        if (granted != null) {
            chooseGranted();
        } else {
            awaitsGrantFromMillis = services.nowMillis() + RETRY_DELAY_MILLIS;
        }
    }

    private FinishOutcome attemptOutcome() {
        if (!lastNotStarted) {
            return FinishOutcome.BROKEN;
        }
        return Forwarding.isForward(current) ? FinishOutcome.REFUSED_ELSEWHERE : FinishOutcome.NOT_STARTED;
    }

    private void chooseGranted() {
        current = granted;
        granted = null;
        step(new StreamEvent.ReplicaChosen(current.replica()));
    }

    private void noteTargetFailed() {
        TargetId target = current.target().id();
        services.kernel().publish(new NodeEvent.TargetFailed(target, services.nowMillis()));
    }

    private void open(int attempt, List<String> generated) {
        RequestId id = new RequestId(context.id() + "." + attempt);
        CompletionRequest request = new CompletionRequest(
                id,
                context.upstream(),
                body.prompt(),
                body.maxTokens(),
                context.workClass().priority(),
                generated);
        attempts.put(
                attempt,
                services.engines().stream(current.address(), request, new Listener(attempt, generated.size())));
    }

    private void probe(int attempt, ReplicaId replica) {
        if (Forwarding.isForward(current)) {
            step(new StreamEvent.Probed(attempt, false));
            return;
        }
        var unused = services.engines().state(current.address(), PROBE_MILLIS).thenAccept(result -> duty().put(
                        this, probed(attempt, replica, result)));
    }

    private static LiveEvent probed(int attempt, ReplicaId replica, Result<EngineState, String> result) {
        boolean serves = result instanceof Result.Ok<EngineState, String>(EngineState state)
                && state.phase() == EnginePhase.JOINED
                && replica.equals(state.replica());
        return new LiveEvent.OfStream(new StreamEvent.Probed(attempt, serves));
    }

    private void deliver(int offset, String text) {
        writer.token(offset, text);
        if (offset == 0) {
            services.kernel()
                    .metrics()
                    .histogram("stream.first-token-ms." + context.workClass().id())
                    .update(services.nowMillis() - context.receivedAtMillis());
        }
        if ((offset + 1) % PROGRESS_TOKENS == 0) {
            services.dispatching().progress(context.id(), offset + 1);
        }
    }

    private void finish(String reason) {
        services.dispatching().finished(context.id(), FinishOutcome.COMPLETED);
        services.kernel().metrics().counter("stream.finished").inc();
        writer.finished(reason);
        end();
    }

    private void fail(StreamEnd reason) {
        if (refusal == null && reason != StreamEnd.CANCELLED) {
            services.dispatching().finished(context.id(), FinishOutcome.FAILED);
        }
        services.kernel().metrics().counter("stream.failed").inc();
        writer.failed(failure(reason));
        end();
    }

    private Failure failure(StreamEnd reason) {
        return switch (reason) {
            case NOT_RUN ->
                refusal != null ? refusal : Failure.notRun(503, FailureCode.NO_UPSTREAM, "no replica could be reached");
            case DEADLINE -> Failure.unknown(504, FailureCode.UPSTREAM_TIMEOUT, "the deadline has passed");
            case NO_REPLICA, ATTEMPTS_USED_UP, CANCELLED ->
                Failure.unknown(502, FailureCode.STREAM_FAILED, "the stream broke off and could not be resumed");
        };
    }

    /** Hands the events of one attempt to the duty. */
    private final class Listener implements TokenListener {
        private final int attempt;
        private int tokens;

        Listener(int attempt, int resumedTokens) {
            this.attempt = attempt;
            this.tokens = resumedTokens;
        }

        @Override
        public void token(int offset, String text) {
            tokens = Math.max(tokens, offset + 1);
            duty().put(LiveStream.this, new LiveEvent.OfStream(new StreamEvent.Token(attempt, offset, text)));
        }

        @Override
        public void finished(String finishReason) {
            StreamEvent.Finished event = new StreamEvent.Finished(attempt, finishReason, tokens);
            duty().put(LiveStream.this, new LiveEvent.OfStream(event));
        }

        @Override
        public void failed(StreamFailure failure) {
            lastNotStarted = failure instanceof StreamFailure.NotStarted && tokens == 0;
            duty().put(LiveStream.this, new LiveEvent.OfStream(new StreamEvent.Failed(attempt, failure)));
        }
    }
}
