package org.apricotdeal.policy.call;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.duty.Machine;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.Invariants;

/**
 * Decides one call to a plain service.
 *
 * <p>Only one fact matters to what may be said and done: whether an attempt may have left this node. Until then the call
 * may go to another VM and may be refused as not run. From then on a call that is not repeatable is never sent again, and
 * ends with its answer or as unknown. A repeatable call may be sent again within the retry budget; it too ends as unknown
 * rather than as not run once an attempt may have left.
 *
 * <p>A caller who leaves does not stop an attempt that may have left: its answer still has to reach the claims journal.
 */
public final class ServiceCallMachine implements Machine<CallEvent, CallAction> {
    private final CallPolicy policy;
    private final VmSelector vms;
    private final RetryPermit retries;
    private final CallFault fault;
    private final Set<VmId> tried = new HashSet<>();
    private int attempt;
    private long attemptStartedAtMillis;
    private boolean attemptOpen;
    private boolean mayHaveLeft;
    private boolean cancelled;
    private boolean ended;

    /**
     * Creates the machine of one call.
     *
     * @param policy what may be done
     * @param vms chooses the VM of each attempt
     * @param retries the node's retry budget
     */
    public ServiceCallMachine(CallPolicy policy, VmSelector vms, RetryPermit retries) {
        this(policy, vms, retries, CallFault.NONE);
    }

    /**
     * Creates a machine with a deliberate fault, for tests of the checks.
     *
     * @param policy what may be done
     * @param vms chooses the VM of each attempt
     * @param retries the node's retry budget
     * @param fault the fault
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
            case CallEvent.Unknown(int number) -> isCurrent(number) ? unknown(nowMillis) : List.of();
            case CallEvent.Cancelled cancel -> cancelled();
            case CallEvent.Tick tick -> tick(nowMillis);
        };
    }

    /**
     * Tells whether the call is over.
     *
     * @return true once the call has ended
     */
    public boolean isEnded() {
        return ended;
    }

    private boolean isCurrent(int number) {
        return attemptOpen && number == attempt;
    }

    /** Takes the answer of any attempt: all of them carry the same request. */
    private List<CallAction> answered(int number) {
        if (number < 1 || number > attempt) {
            return List.of();
        }
        return end(new CallAction.Answer(number));
    }

    private List<CallAction> notSent(long nowMillis) {
        attemptOpen = false;
        return sendOrRefuse(nowMillis);
    }

    private List<CallAction> unknown(long nowMillis) {
        attemptOpen = false;
        mayHaveLeft = true;
        boolean mayRepeat = policy.repeatable() || fault == CallFault.RETRY_UNKNOWN;
        if (!mayRepeat || cancelled || !retries.tryRetry(nowMillis)) {
            return endUnanswered(NotRunReason.NO_VM);
        }
        return sendOrRefuse(nowMillis);
    }

    private List<CallAction> cancelled() {
        cancelled = true;
        return attemptOpen ? List.of() : endUnanswered(NotRunReason.CANCELLED);
    }

    private List<CallAction> tick(long nowMillis) {
        if (nowMillis >= policy.deadlineMillis()) {
            mayHaveLeft |= attemptOpen;
            return endUnanswered(NotRunReason.DEADLINE);
        }
        boolean attemptIsOver = nowMillis - attemptStartedAtMillis >= policy.attemptTimeoutMillis();
        if (attemptOpen && policy.repeatable() && attemptIsOver) {
            return unknown(nowMillis);
        }
        return List.of();
    }

    private List<CallAction> sendOrRefuse(long nowMillis) {
        if (cancelled) {
            return endUnanswered(NotRunReason.CANCELLED);
        }
        if (nowMillis >= policy.deadlineMillis()) {
            return endUnanswered(NotRunReason.DEADLINE);
        }
        Optional<VmId> vm = attempt < policy.maxAttempts() ? vms.select(Set.copyOf(tried)) : Optional.empty();
        if (vm.isEmpty()) {
            return endUnanswered(NotRunReason.NO_VM);
        }
        return send(nowMillis, vm.get());
    }

    private List<CallAction> send(long nowMillis, VmId vm) {
        Invariants.check(
                !attemptOpen && (policy.repeatable() || !mayHaveLeft || fault == CallFault.RETRY_UNKNOWN),
                "call-sent-once",
                () -> "attempt " + attempt + " of a call that may not be repeated may have left");
        tried.add(vm);
        attempt++;
        attemptOpen = true;
        attemptStartedAtMillis = nowMillis;
        return List.of(new CallAction.Send(attempt, vm));
    }

    private List<CallAction> endUnanswered(NotRunReason reason) {
        if (mayHaveLeft && fault != CallFault.UNKNOWN_AS_NOT_RUN) {
            return end(new CallAction.OutcomeUnknown());
        }
        return end(new CallAction.RefuseNotRun(reason));
    }

    private List<CallAction> end(CallAction action) {
        ended = true;
        return List.of(action);
    }
}
