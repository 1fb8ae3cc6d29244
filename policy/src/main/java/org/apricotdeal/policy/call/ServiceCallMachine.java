package org.apricotdeal.policy.call;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.duty.StateMachine;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.Invariants;

/**
 * State machine of one call to a plain service. It decides when the call is sent, repeated, answered or refused.
 *
 * <p>Its decisions depend on whether an attempt may have been sent from this node. Until then the call may be sent to a
 * different VM, and may be refused as not run. Afterwards a call that is not repeatable is never sent again, and ends with
 * its answer or with an unknown outcome. A repeatable call may be sent again within the retry budget; if it ends without an
 * answer, its outcome is also reported as unknown and not as not run.
 *
 * <p>If the caller disconnects, an attempt that may have been sent continues, because its answer must still be written to
 * the claims journal.
 */
public final class ServiceCallMachine implements StateMachine<CallEvent, CallAction> {
    private final CallPolicy policy;
    private final VmSelector vms;
    private final RetryPermit retries;
    private final CallFault fault;
    private final Set<VmId> tried = new HashSet<>();
    private int attempt;
    private long attemptStartedMillis;
    private boolean attemptInFlight;
    private boolean mayHaveBeenSent;
    private boolean cancelled;
    private boolean ended;

    /**
     * Creates the machine of one call.
     *
     * @param policy limits on the attempts of the call
     * @param vms chooses the VM of each attempt
     * @param retries the node's retry budget
     */
    public ServiceCallMachine(CallPolicy policy, VmSelector vms, RetryPermit retries) {
        this(policy, vms, retries, CallFault.NONE);
    }

    /**
     * Creates a machine with a deliberate fault, for tests of the checks.
     *
     * @param policy limits on the attempts of the call
     * @param vms chooses the VM of each attempt
     * @param retries the node's retry budget
     * @param fault fault to simulate
     */
    public ServiceCallMachine(CallPolicy policy, VmSelector vms, RetryPermit retries, CallFault fault) {
        this.policy = policy;
        this.vms = vms;
        this.retries = retries;
        this.fault = fault;
    }

    @Override
    public List<CallAction> step(long nowMillis, CallEvent event) {
        if (ended) {
            return List.of();
        }
        return switch (event) {
            case CallEvent.Start start -> sendOrRefuse(nowMillis);
            case CallEvent.Answered(int number) -> answered(number);
            case CallEvent.NotSent(int number) -> isCurrent(number) ? notSent(nowMillis) : List.of();
            case CallEvent.Unknown(int number) -> isCurrent(number) ? outcomeUnknown(nowMillis) : List.of();
            case CallEvent.Cancelled cancel -> cancelled();
            case CallEvent.Tick tick -> tick(nowMillis);
        };
    }

    /**
     * Returns whether the call has ended.
     *
     * @return true after an action that ends the call was returned
     */
    public boolean isEnded() {
        return ended;
    }

    private boolean isCurrent(int number) {
        return attemptInFlight && number == attempt;
    }

    /** Accepts the answer of any attempt, because all attempts send the same request. */
    private List<CallAction> answered(int number) {
        if (number < 1 || number > attempt) {
            return List.of();
        }
        return end(new CallAction.Answer(number));
    }

    private List<CallAction> notSent(long nowMillis) {
        attemptInFlight = false;
        return sendOrRefuse(nowMillis);
    }

    private List<CallAction> outcomeUnknown(long nowMillis) {
        attemptInFlight = false;
        mayHaveBeenSent = true;
        boolean mayRepeat = policy.repeatable() || fault == CallFault.RETRY_UNKNOWN;
        if (!mayRepeat || cancelled || !retries.tryRetry(nowMillis)) {
            return endWithoutAnswer(NotRunReason.NO_VM);
        }
        return sendOrRefuse(nowMillis);
    }

    private List<CallAction> cancelled() {
        cancelled = true;
        return attemptInFlight ? List.of() : endWithoutAnswer(NotRunReason.CANCELLED);
    }

    private List<CallAction> tick(long nowMillis) {
        if (nowMillis >= policy.deadlineMillis()) {
            mayHaveBeenSent |= attemptInFlight;
            return endWithoutAnswer(NotRunReason.DEADLINE);
        }
        boolean attemptTimedOut = nowMillis - attemptStartedMillis >= policy.attemptTimeoutMillis();
        if (attemptInFlight && policy.repeatable() && attemptTimedOut) {
            return outcomeUnknown(nowMillis);
        }
        return List.of();
    }

    private List<CallAction> sendOrRefuse(long nowMillis) {
        if (cancelled) {
            return endWithoutAnswer(NotRunReason.CANCELLED);
        }
        if (nowMillis >= policy.deadlineMillis()) {
            return endWithoutAnswer(NotRunReason.DEADLINE);
        }
        Optional<VmId> vm = attempt < policy.maxAttempts() ? vms.select(Set.copyOf(tried)) : Optional.empty();
        if (vm.isEmpty()) {
            return endWithoutAnswer(NotRunReason.NO_VM);
        }
        return send(nowMillis, vm.get());
    }

    private List<CallAction> send(long nowMillis, VmId vm) {
        Invariants.check(
                !attemptInFlight && (policy.repeatable() || !mayHaveBeenSent || fault == CallFault.RETRY_UNKNOWN),
                "call-sent-once",
                () -> "attempt " + attempt + " of a call that may not be repeated may have left");
        tried.add(vm);
        attempt++;
        attemptInFlight = true;
        attemptStartedMillis = nowMillis;
        return List.of(new CallAction.Send(attempt, vm));
    }

    private List<CallAction> endWithoutAnswer(NotRunReason reason) {
        if (mayHaveBeenSent && fault != CallFault.UNKNOWN_AS_NOT_RUN) {
            return end(new CallAction.OutcomeUnknown());
        }
        return end(new CallAction.RefuseNotRun(reason));
    }

    private List<CallAction> end(CallAction action) {
        ended = true;
        return List.of(action);
    }
}
