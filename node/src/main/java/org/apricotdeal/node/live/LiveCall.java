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
import org.apricotdeal.node.caller.CallBody;
import org.apricotdeal.node.caller.CallWriter;
import org.apricotdeal.node.caller.Failure;
import org.apricotdeal.node.caller.FailureCode;
import org.apricotdeal.node.caller.RequestContext;
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
 * One call to a plain service: waits for its place, then for the claim of its idempotency key where it has one, and is
 * then sent as the call's state machine decides.
 */
final class LiveCall extends LiveRequest {
    private static final int MAX_ATTEMPTS = 3;

    private final LiveServices services;
    private final Claims claims;
    private final RequestContext context;
    private final CallBody body;
    private final ServiceEntry service;
    private final CallWriter writer;
    private final ServiceCallMachine machine;
    private final Map<Integer, ServiceOutcome.Answered> answers = new HashMap<>();
    private VmId granted;
    private boolean started;
    private boolean claimed;
    private boolean claiming;
    private long dispatchByMillis = Long.MAX_VALUE;

    LiveCall(
            LiveDuty duty,
            LiveServices services,
            Claims claims,
            RequestContext context,
            CallBody body,
            ServiceEntry service,
            CallWriter writer) {
        super(duty);
        this.services = services;
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
    void take(LiveEvent event) {
        switch (event) {
            case LiveEvent.Dispatched(TargetId target) -> takeGrant(target);
            case LiveEvent.Refused(var reason, long retryAfterMillis) -> refuse(Refusals.of(reason, retryAfterMillis));
            case LiveEvent.GaveUp(var reason, boolean mayHaveRun) -> refuse(Refusals.of(reason, 0));
            case LiveEvent.Claimed(ClaimAction decision) -> takeClaim(decision);
            case LiveEvent.Outcome(int attempt, ServiceOutcome outcome) -> takeOutcome(attempt, outcome);
            case LiveEvent.CallerGone gone -> callerGone();
            case LiveEvent.Tick tick -> {
                if (started) {
                    step(new CallEvent.Tick());
                }
            }
            case LiveEvent.Forwarded(FailureDomainId failureDomain) -> forward(failureDomain);
            case LiveEvent.ForwardOutcome(ServiceOutcome outcome) -> takeForwardOutcome(outcome);
            case LiveEvent.Preempted preempted -> {}
            case LiveEvent.OfStream ofStream -> {}
        }
    }

    private void takeGrant(TargetId target) {
        Optional<Route> route = services.table().find(target);
        if (route.isEmpty()) {
            services.dispatching().finished(context.id(), FinishOutcome.NOT_STARTED);
            return;
        }
        granted = route.get().vm();
        if (body.idempotencyKey().isEmpty()) {
            start();
            return;
        }
        claiming = true;
        ClaimEvent.Request request = new ClaimEvent.Request(
                context.id(),
                context.upstream(),
                context.caller().id(),
                body.idempotencyKey(),
                body.hash(),
                service.claimRetentionMillis(),
                service.timeoutMillis(),
                context.receivedAtMillis());
        claims.claim(request, decision -> duty().notice(this, new LiveEvent.Claimed(decision)));
    }

    /** Hands the call to a node of another failure domain, once; that node claims the idempotency key. */
    private void forward(FailureDomainId failureDomain) {
        Optional<Route> route = services.forwarding().route(context.upstream(), failureDomain);
        if (route.isEmpty()) {
            services.dispatching().finished(context.id(), FinishOutcome.REFUSED_ELSEWHERE);
            return;
        }
        var unused = services.forwarding()
                .call(services.services(), route.get(), context, body)
                .thenAccept(outcome -> duty().put(this, new LiveEvent.ForwardOutcome(outcome)));
    }

    private void takeForwardOutcome(ServiceOutcome outcome) {
        switch (outcome) {
            case ServiceOutcome.NotSent notSent ->
                services.dispatching().finished(context.id(), FinishOutcome.REFUSED_ELSEWHERE);
            case ServiceOutcome.Answered answered
            when Forwarding.isNotRun(answered) ->
                services.dispatching().finished(context.id(), FinishOutcome.REFUSED_ELSEWHERE);
            case ServiceOutcome.Answered answered -> {
                services.dispatching().finished(context.id(), FinishOutcome.COMPLETED);
                writer.forwarded(answered);
                end();
            }
            case ServiceOutcome.Unknown unknown -> outcomeUnknown();
        }
    }

    private void takeClaim(ClaimAction decision) {
        claiming = false;
        switch (decision) {
            case ClaimAction.Granted granting -> {
                claimed = true;
                dispatchByMillis = granting.dispatchByMillis();
                start();
            }
            case ClaimAction.Refused(var id, var reason, long retryAfterMillis) -> {
                services.dispatching().finished(context.id(), FinishOutcome.FAILED);
                refuse(Refusals.of(reason, retryAfterMillis));
            }
            case ClaimAction.Replay(var id, ClaimAnswer answer) -> {
                services.dispatching().finished(context.id(), FinishOutcome.COMPLETED);
                writer.replayed(answer);
                end();
            }
            case ClaimAction.Store store -> {}
        }
    }

    private void start() {
        if (services.nowMillis() > dispatchByMillis) {
            settle(new ClaimEvent.NotRun(context.id()), FinishOutcome.FAILED);
            refuse(Failure.retryLater(503, FailureCode.CLAIM_UNAVAILABLE, "the claim came too late", 1));
            return;
        }
        started = true;
        step(new CallEvent.Start());
    }

    private Optional<VmId> selectVm(Set<VmId> tried) {
        if (!tried.contains(granted)) {
            return Optional.of(granted);
        }
        for (Route route : services.table().of(context.upstream())) {
            if (!tried.contains(route.vm())) {
                return Optional.of(route.vm());
            }
        }
        return Optional.empty();
    }

    private void step(CallEvent event) {
        for (CallAction action : machine.step(services.nowMillis(), event)) {
            carryOut(action);
        }
    }

    private void carryOut(CallAction action) {
        switch (action) {
            case CallAction.Send(int attempt, VmId vm) -> send(attempt, vm);
            case CallAction.Answer(int attempt) -> answer(answers.get(attempt));
            case CallAction.RefuseNotRun(NotRunReason reason) -> notRun(reason);
            case CallAction.OutcomeUnknown unknown -> outcomeUnknown();
        }
    }

    private void send(int attempt, VmId vm) {
        Optional<Route> route = services.table().find(vm);
        if (route.isEmpty()) {
            duty().notice(this, new LiveEvent.Outcome(attempt, new ServiceOutcome.NotSent("the VM is gone")));
            return;
        }
        ServiceRequest request =
                new ServiceRequest(context.id(), body.method(), body.pathAndQuery(), body.headers(), body.bytes());
        var unused = services.services()
                .call(route.get().address(), request, service.timeoutMillis())
                .thenAccept(outcome -> duty().put(this, new LiveEvent.Outcome(attempt, outcome)));
    }

    private void takeOutcome(int attempt, ServiceOutcome outcome) {
        switch (outcome) {
            case ServiceOutcome.Answered answered -> {
                answers.put(attempt, answered);
                step(new CallEvent.Answered(attempt));
            }
            case ServiceOutcome.NotSent notSent -> step(new CallEvent.NotSent(attempt));
            case ServiceOutcome.Unknown unknown -> step(new CallEvent.Unknown(attempt));
        }
    }

    private void answer(ServiceOutcome.Answered answered) {
        String contentType = answered.headers().getOrDefault("content-type", "");
        ClaimAnswer kept = new ClaimAnswer(answered.status(), contentType, answered.body());
        settle(new ClaimEvent.Completed(context.id(), kept), FinishOutcome.COMPLETED);
        writer.answered(answered);
        end();
    }

    private void notRun(NotRunReason reason) {
        settle(new ClaimEvent.NotRun(context.id()), FinishOutcome.FAILED);
        refuse(
                switch (reason) {
                    case NO_VM ->
                        Failure.retryLater(503, FailureCode.NO_UPSTREAM, "no VM of the service can be reached", 1_000);
                    case DEADLINE -> Failure.notRun(503, FailureCode.NO_CAPACITY_IN_TIME, "the deadline passed first");
                    case CANCELLED -> Failure.notRun(503, FailureCode.NO_CAPACITY_IN_TIME, "the caller left first");
                });
    }

    private void outcomeUnknown() {
        settle(new ClaimEvent.OutcomeUnknown(context.id()), FinishOutcome.FAILED);
        services.kernel().metrics().counter("call.unknown").inc();
        refuse(Failure.unknown(504, FailureCode.UPSTREAM_FAILED, "the service may have run the request"));
    }

    private void settle(ClaimEvent report, FinishOutcome outcome) {
        if (claimed) {
            claims.report(report);
        }
        services.dispatching().finished(context.id(), outcome);
    }

    private void callerGone() {
        if (claiming) {
            claims.report(new ClaimEvent.Abandoned(context.id()));
        }
        if (started) {
            step(new CallEvent.Cancelled());
        }
        if (!hasEnded()) {
            services.dispatching().cancelled(context.id());
            end();
        }
    }

    private void refuse(Failure failure) {
        writer.failed(failure);
        end();
    }
}
