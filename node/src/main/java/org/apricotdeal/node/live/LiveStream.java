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
import org.apricotdeal.node.caller.CompletionBody;
import org.apricotdeal.node.caller.CompletionWriter;
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
 * One completion in progress. It connects the dispatcher, which grants slots on replicas, with the stream's state machine,
 * which decides when to open, probe, cancel and resume an attempt. Each grant is used for one attempt. If the machine asks
 * for a replica and there is no unused grant, the end of the attempt is reported to the dispatcher, which grants another
 * slot or gives up.
 */
final class LiveStream extends LiveRequest {
    private static final long PROBE_TIMEOUT_MILLIS = 500;
    private static final int MAX_ATTEMPTS = 6;
    private static final long REPLICA_EXCLUSION_MILLIS = 5_000;
    private static final int MAX_BUFFERED_TOKENS = 64;

    /** Lets the failed target be removed from the route table before the stream is dispatched again. */
    private static final long RETRY_DELAY_MILLIS = 50;

    private static final int TOKENS_PER_PROGRESS_REPORT = 8;

    private final LiveDependencies dependencies;
    private final RequestContext context;
    private final CompletionBody body;
    private final CompletionWriter writer;
    private final TokenStreamMachine machine;
    private final Map<Integer, StreamHandle> attempts = new HashMap<>();
    private Route grantedRoute;
    private volatile Route currentRoute;
    private boolean started;
    private boolean paused;
    private volatile boolean lastAttemptNotStarted;
    private long reportAttemptAtMillis = Long.MAX_VALUE;
    private Failure refusal;

    LiveStream(
            LiveDuty duty,
            LiveDependencies dependencies,
            RequestContext context,
            CompletionBody body,
            CompletionWriter writer) {
        super(duty);
        this.dependencies = dependencies;
        this.context = context;
        this.body = body;
        this.writer = writer;
        NodeSettings.Timing timing = dependencies.settings().timing();
        StreamPolicy policy = new StreamPolicy(
                timing.firstTokenTimeoutMillis(),
                timing.progressTimeoutMillis(),
                PROBE_TIMEOUT_MILLIS,
                context.deadlineAtMillis(),
                MAX_ATTEMPTS,
                REPLICA_EXCLUSION_MILLIS,
                MAX_BUFFERED_TOKENS);
        this.machine = new TokenStreamMachine(policy, RetryPermit.UNLIMITED);
    }

    @Override
    void handle(LiveEvent event) {
        switch (event) {
            case LiveEvent.Dispatched(TargetId target) -> handleDispatched(target);
            case LiveEvent.Refused(var reason, long retryAfterMillis) -> giveUp(Failures.of(reason, retryAfterMillis));
            case LiveEvent.GaveUp(var reason, boolean mayHaveRun) ->
                giveUp(
                        mayHaveRun
                                ? Failure.unknown(502, FailureCode.STREAM_FAILED, "the stream broke off")
                                : Failures.of(reason, 0));
            case LiveEvent.Preempted preempted -> step(new StreamEvent.Preempt());
            case LiveEvent.StreamUpdate(StreamEvent streamEvent) -> step(streamEvent);
            case LiveEvent.CallerGone gone -> handleCallerGone();
            case LiveEvent.Tick tick -> tick();
            case LiveEvent.Forwarded(FailureDomainId failureDomain) -> handleForwarded(failureDomain);
            case LiveEvent.AttemptEnded ended -> {}
            case LiveEvent.ForwardEnded ended -> {}
            case LiveEvent.ClaimDecided decided -> {}
        }
    }

    private void tick() {
        if (dependencies.nowMillis() >= reportAttemptAtMillis) {
            reportAttemptAtMillis = Long.MAX_VALUE;
            dependencies.dispatchService().attemptEnded(context.id(), attemptOutcome());
        }
        if (started) {
            step(new StreamEvent.Tick());
        }
    }

    private void handleDispatched(TargetId target) {
        Optional<Route> route = dependencies.routeTable().find(target);
        if (route.isEmpty()) {
            dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.NOT_STARTED);
            return;
        }
        useRoute(route.get());
    }

    /** Lets a node of a different failure domain serve the stream, as if that node were a replica. */
    private void handleForwarded(FailureDomainId failureDomain) {
        Optional<Route> route = dependencies.forwarding().chooseRoute(context.upstream(), failureDomain);
        if (route.isEmpty()) {
            dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.REFUSED_ELSEWHERE);
            return;
        }
        useRoute(route.get());
    }

    private void useRoute(Route route) {
        grantedRoute = route;
        if (!started) {
            started = true;
            step(new StreamEvent.Start());
        } else if (paused) {
            paused = false;
            step(new StreamEvent.Resume());
        } else {
            chooseGrantedRoute();
        }
    }

    private void giveUp(Failure failure) {
        refusal = failure;
        if (started) {
            step(new StreamEvent.NoReplica());
        }
        if (!hasEnded()) {
            writer.fail(failure);
            end();
        }
    }

    private void handleCallerGone() {
        dependencies.dispatchService().cancel(context.id());
        if (started) {
            step(new StreamEvent.Cancelled());
        }
        if (!hasEnded()) {
            end();
        }
    }

    private void step(StreamEvent event) {
        for (StreamAction action : machine.step(dependencies.nowMillis(), event)) {
            execute(action);
        }
    }

    private void execute(StreamAction action) {
        switch (action) {
            case StreamAction.ChooseReplica(ReplicaId preferred, Set<ReplicaId> excluded) -> chooseReplica(excluded);
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

    private void chooseReplica(Set<ReplicaId> excluded) {
        if (currentRoute != null && excluded.contains(currentRoute.replica())) {
            publishTargetFailed();
        }
        if (grantedRoute != null) {
            chooseGrantedRoute();
        } else {
            reportAttemptAtMillis = dependencies.nowMillis() + RETRY_DELAY_MILLIS;
        }
    }

    private FinishOutcome attemptOutcome() {
        if (!lastAttemptNotStarted) {
            return FinishOutcome.BROKEN;
        }
        return Forwarding.isForward(currentRoute) ? FinishOutcome.REFUSED_ELSEWHERE : FinishOutcome.NOT_STARTED;
    }

    private void chooseGrantedRoute() {
        currentRoute = grantedRoute;
        grantedRoute = null;
        step(new StreamEvent.ReplicaChosen(currentRoute.replica()));
    }

    private void publishTargetFailed() {
        TargetId target = currentRoute.target().id();
        dependencies.kernel().publish(new NodeEvent.TargetFailed(target, dependencies.nowMillis()));
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
                dependencies.engineClient().stream(
                        currentRoute.address(), request, new Listener(attempt, generated.size())));
    }

    private void probe(int attempt, ReplicaId replica) {
        if (Forwarding.isForward(currentRoute)) {
            step(new StreamEvent.Probed(attempt, false));
            return;
        }
        var unused = dependencies
                .engineClient()
                .state(currentRoute.address(), PROBE_TIMEOUT_MILLIS)
                .thenAccept(result -> duty().put(this, probeResult(attempt, replica, result)));
    }

    private static LiveEvent probeResult(int attempt, ReplicaId replica, Result<EngineState, String> result) {
        boolean serving = result instanceof Result.Ok<EngineState, String>(EngineState state)
                && state.phase() == EnginePhase.JOINED
                && replica.equals(state.replica());
        return new LiveEvent.StreamUpdate(new StreamEvent.Probed(attempt, serving));
    }

    private void deliver(int offset, String text) {
        writer.writeToken(offset, text);
        if (offset == 0) {
            dependencies
                    .kernel()
                    .metrics()
                    .histogram("stream.first-token-ms." + context.workClass().id())
                    .update(dependencies.nowMillis() - context.receivedAtMillis());
        }
        if ((offset + 1) % TOKENS_PER_PROGRESS_REPORT == 0) {
            dependencies.dispatchService().reportProgress(context.id(), offset + 1);
        }
    }

    private void finish(String reason) {
        dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.COMPLETED);
        dependencies.kernel().metrics().counter("stream.finished").inc();
        writer.finish(reason);
        end();
    }

    private void fail(StreamEnd reason) {
        if (refusal == null && reason != StreamEnd.CANCELLED) {
            dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.FAILED);
        }
        dependencies.kernel().metrics().counter("stream.failed").inc();
        writer.fail(failure(reason));
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

    /** Passes the events of one attempt to the duty. */
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
            duty().put(LiveStream.this, new LiveEvent.StreamUpdate(new StreamEvent.Token(attempt, offset, text)));
        }

        @Override
        public void finished(String finishReason) {
            StreamEvent.Finished event = new StreamEvent.Finished(attempt, finishReason, tokens);
            duty().put(LiveStream.this, new LiveEvent.StreamUpdate(event));
        }

        @Override
        public void failed(StreamFailure failure) {
            lastAttemptNotStarted = failure instanceof StreamFailure.NotStarted && tokens == 0;
            duty().put(LiveStream.this, new LiveEvent.StreamUpdate(new StreamEvent.Failed(attempt, failure)));
        }
    }
}
