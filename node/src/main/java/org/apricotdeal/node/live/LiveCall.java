package org.apricotdeal.node.live;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.engine.ServiceOutcome;
import org.apricotdeal.engine.ServiceRequest;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.node.caller.Failure;
import org.apricotdeal.node.caller.FailureCode;
import org.apricotdeal.node.caller.RequestContext;
import org.apricotdeal.node.caller.ServiceCall;
import org.apricotdeal.node.caller.ServiceCallWriter;
import org.apricotdeal.node.claims.Claims;
import org.apricotdeal.node.fleet.Route;
import org.apricotdeal.policy.admission.FinishOutcome;
import org.apricotdeal.policy.call.CallAction;
import org.apricotdeal.policy.call.CallEvent;
import org.apricotdeal.policy.call.CallPolicy;
import org.apricotdeal.policy.call.NotRunReason;
import org.apricotdeal.policy.call.RetryPermit;
import org.apricotdeal.policy.call.ServiceCallMachine;
import org.apricotdeal.policy.claims.ClaimAction;
import org.apricotdeal.policy.claims.ClaimAnswer;
import org.apricotdeal.policy.claims.ClaimEvent;
import org.apricotdeal.policy.routing.TargetId;

/**
 * One call to a plain service. It waits until it is dispatched and, if it has an idempotency key, until the key is claimed;
 * it is then sent as the call's state machine decides.
 */
final class LiveCall extends LiveRequest {
    private static final int MAX_ATTEMPTS = 3;

    private final LiveDependencies dependencies;
    private final Claims claims;
    private final RequestContext context;
    private final ServiceCall body;
    private final ServiceEntry service;
    private final ServiceCallWriter writer;
    private final ServiceCallMachine machine;
    private final Map<Integer, ServiceOutcome.Answered> answers = new HashMap<>();
    private VmId grantedVm;
    private boolean started;
    private boolean claimed;
    private boolean claimPending;
    private long dispatchByMillis = Long.MAX_VALUE;

    LiveCall(
            LiveDuty duty,
            LiveDependencies dependencies,
            Claims claims,
            RequestContext context,
            ServiceCall body,
            ServiceEntry service,
            ServiceCallWriter writer) {
        super(duty);
        this.dependencies = dependencies;
        this.claims = claims;
        this.context = context;
        this.body = body;
        this.service = service;
        this.writer = writer;
        boolean repeatable = CallPolicy.isRepeatable(body.method(), body.path(), service);
        CallPolicy policy = new CallPolicy(
                repeatable,
                Math.min(context.deadlineAtMillis(), context.receivedAtMillis() + service.timeoutMillis()),
                service.timeoutMillis(),
                MAX_ATTEMPTS);
        this.machine = new ServiceCallMachine(policy, this::selectVm, RetryPermit.UNLIMITED);
    }

    @Override
    void handle(LiveEvent event) {
        switch (event) {
            case LiveEvent.Dispatched(TargetId target) -> handleDispatched(target);
            case LiveEvent.Refused(var reason, long retryAfterMillis) -> refuse(Failures.of(reason, retryAfterMillis));
            case LiveEvent.GaveUp(var reason, boolean mayHaveRun) -> refuse(Failures.of(reason, 0));
            case LiveEvent.ClaimDecided(ClaimAction decision) -> handleClaimDecision(decision);
            case LiveEvent.AttemptEnded(int attempt, ServiceOutcome outcome) -> handleAttemptOutcome(attempt, outcome);
            case LiveEvent.CallerGone gone -> handleCallerGone();
            case LiveEvent.Tick tick -> {
                if (started) {
                    step(new CallEvent.Tick());
                }
            }
            case LiveEvent.Forwarded(FailureDomainId failureDomain) -> forward(failureDomain);
            case LiveEvent.ForwardEnded(ServiceOutcome outcome) -> handleForwardOutcome(outcome);
            case LiveEvent.Preempted preempted -> {}
            case LiveEvent.StreamUpdate update -> {}
        }
    }

    private void handleDispatched(TargetId target) {
        Optional<Route> route = dependencies.routeTable().find(target);
        if (route.isEmpty()) {
            dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.NOT_STARTED);
            return;
        }
        grantedVm = route.get().vm();
        if (body.idempotencyKey().isEmpty()) {
            start();
            return;
        }
        claimPending = true;
        ClaimEvent.Request request = new ClaimEvent.Request(
                context.id(),
                context.upstream(),
                context.caller().id(),
                body.idempotencyKey(),
                body.hash(),
                service.claimRetentionMillis(),
                service.timeoutMillis(),
                context.receivedAtMillis());
        claims.claim(request, decision -> duty().postNotice(this, new LiveEvent.ClaimDecided(decision)));
    }

    /** Forwards the call once to a node of a different failure domain; that node claims the idempotency key. */
    private void forward(FailureDomainId failureDomain) {
        Optional<Route> route = dependencies.forwarding().chooseRoute(context.upstream(), failureDomain);
        if (route.isEmpty()) {
            dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.REFUSED_ELSEWHERE);
            return;
        }
        var unused = dependencies
                .forwarding()
                .call(dependencies.serviceClient(), route.get(), context, body)
                .thenAccept(outcome -> duty().put(this, new LiveEvent.ForwardEnded(outcome)));
    }

    private void handleForwardOutcome(ServiceOutcome outcome) {
        switch (outcome) {
            case ServiceOutcome.NotSent notSent ->
                dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.REFUSED_ELSEWHERE);
            case ServiceOutcome.Answered answered
            when Forwarding.isNotRun(answered) ->
                dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.REFUSED_ELSEWHERE);
            case ServiceOutcome.Answered answered -> {
                dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.COMPLETED);
                writer.writeForwardedAnswer(answered);
                end();
            }
            case ServiceOutcome.Unknown unknown -> failOutcomeUnknown();
        }
    }

    private void handleClaimDecision(ClaimAction decision) {
        claimPending = false;
        switch (decision) {
            case ClaimAction.Granted grant -> {
                claimed = true;
                dispatchByMillis = grant.dispatchByMillis();
                start();
            }
            case ClaimAction.Refused(var id, var reason, long retryAfterMillis) -> {
                dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.FAILED);
                refuse(Failures.of(reason, retryAfterMillis));
            }
            case ClaimAction.Replay(var id, ClaimAnswer answer) -> {
                dependencies.dispatchService().attemptEnded(context.id(), FinishOutcome.COMPLETED);
                writer.writeReplayedAnswer(answer);
                end();
            }
            case ClaimAction.Store store -> {}
        }
    }

    private void start() {
        if (dependencies.nowMillis() > dispatchByMillis) {
            reportEnd(new ClaimEvent.NotRun(context.id()), FinishOutcome.FAILED);
            refuse(Failure.retryLater(503, FailureCode.CLAIM_UNAVAILABLE, "the claim came too late", 1));
            return;
        }
        started = true;
        step(new CallEvent.Start());
    }

    private Optional<VmId> selectVm(Set<VmId> tried) {
        if (!tried.contains(grantedVm)) {
            return Optional.of(grantedVm);
        }
        for (Route route : dependencies.routeTable().routesTo(context.upstream())) {
            if (!tried.contains(route.vm())) {
                return Optional.of(route.vm());
            }
        }
        return Optional.empty();
    }

    private void step(CallEvent event) {
        for (CallAction action : machine.step(dependencies.nowMillis(), event)) {
            execute(action);
        }
    }

    private void execute(CallAction action) {
        switch (action) {
            case CallAction.Send(int attempt, VmId vm) -> send(attempt, vm);
            case CallAction.Answer(int attempt) -> sendAnswer(answers.get(attempt));
            case CallAction.RefuseNotRun(NotRunReason reason) -> refuseNotRun(reason);
            case CallAction.OutcomeUnknown unknown -> failOutcomeUnknown();
        }
    }

    private void send(int attempt, VmId vm) {
        Optional<Route> route = dependencies.routeTable().find(vm);
        if (route.isEmpty()) {
            duty().postNotice(this, new LiveEvent.AttemptEnded(attempt, new ServiceOutcome.NotSent("the VM is gone")));
            return;
        }
        ServiceRequest request =
                new ServiceRequest(context.id(), body.method(), body.pathAndQuery(), body.headers(), body.body());
        var unused = dependencies
                .serviceClient()
                .call(route.get().address(), request, service.timeoutMillis())
                .thenAccept(outcome -> duty().put(this, new LiveEvent.AttemptEnded(attempt, outcome)));
    }

    private void handleAttemptOutcome(int attempt, ServiceOutcome outcome) {
        switch (outcome) {
            case ServiceOutcome.Answered answered -> {
                answers.put(attempt, answered);
                step(new CallEvent.Answered(attempt));
            }
            case ServiceOutcome.NotSent notSent -> step(new CallEvent.NotSent(attempt));
            case ServiceOutcome.Unknown unknown -> step(new CallEvent.Unknown(attempt));
        }
    }

    private void sendAnswer(ServiceOutcome.Answered answered) {
        String contentType = answered.headers().getOrDefault("content-type", "");
        ClaimAnswer storedAnswer = new ClaimAnswer(answered.status(), contentType, answered.body());
        reportEnd(new ClaimEvent.Completed(context.id(), storedAnswer), FinishOutcome.COMPLETED);
        writer.writeAnswer(answered);
        end();
    }

    private void refuseNotRun(NotRunReason reason) {
        reportEnd(new ClaimEvent.NotRun(context.id()), FinishOutcome.FAILED);
        refuse(
                switch (reason) {
                    case NO_VM ->
                        Failure.retryLater(503, FailureCode.NO_UPSTREAM, "no VM of the service can be reached", 1_000);
                    case DEADLINE -> Failure.notRun(503, FailureCode.NO_CAPACITY_IN_TIME, "the deadline passed first");
                    case CANCELLED -> Failure.notRun(503, FailureCode.NO_CAPACITY_IN_TIME, "the caller left first");
                });
    }

    private void failOutcomeUnknown() {
        reportEnd(new ClaimEvent.OutcomeUnknown(context.id()), FinishOutcome.FAILED);
        dependencies.kernel().metrics().counter("call.unknown").inc();
        refuse(Failure.unknown(504, FailureCode.UPSTREAM_FAILED, "the service may have run the request"));
    }

    private void reportEnd(ClaimEvent claimEvent, FinishOutcome outcome) {
        if (claimed) {
            claims.report(claimEvent);
        }
        dependencies.dispatchService().attemptEnded(context.id(), outcome);
    }

    private void handleCallerGone() {
        if (claimPending) {
            claims.report(new ClaimEvent.Abandoned(context.id()));
        }
        if (started) {
            step(new CallEvent.Cancelled());
        }
        if (!hasEnded()) {
            dependencies.dispatchService().cancel(context.id());
            end();
        }
    }

    private void refuse(Failure failure) {
        writer.fail(failure);
        end();
    }
}
