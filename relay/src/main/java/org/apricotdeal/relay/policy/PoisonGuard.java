package org.apricotdeal.relay.policy;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;

import org.apricotdeal.relay.poison.CrashId;
import org.apricotdeal.relay.poison.PoisonDetector;
import org.apricotdeal.relay.poison.PoisonVerdict;
import org.apricotdeal.relay.poison.ServedRelease;

/** Applies the conclusions of the {@link PoisonDetector} to requests and targets, and feeds it with what became of them. */
final class PoisonGuard {
    /** Duration of an answer that shows that the prompt does not crash the VM; several events. */
    private static final long PROVING_ANSWER_MILLIS = 250;

    /** Number of targets that copies which wait at several nodes may all end at once. */
    private static final int FEW_TARGETS = 4;

    /** Time in which a lost VM is back or replaced. */
    private static final long REPLACEMENT_MILLIS = 20_000;

    /** Time after which a caller may try again whose request could cost the last target. */
    private static final long UNAFFORDABLE_RETRY_MILLIS = 1_000;

    /** Time in which the losses of other requests with the same VM become known, at this node and others. */
    private static final long OTHER_LOSSES_MILLIS = 300;

    private static final PoisonVerdict FREE = new PoisonVerdict.Free();

    private final PoisonDetector detector;

    PoisonGuard(PoisonDetector detector) {
        this.detector = detector;
    }

    PoisonDetector detector() {
        return detector;
    }

    private boolean isSuspect(Arrival arrival) {
        return !detector.isIdle() && detector.isSuspect(arrival.queue().upstream(), arrival.traits());
    }

    PoisonVerdict verdict(TargetState state, Arrival arrival, long nowMillis) {
        return detector.isIdle() ? FREE : detector.verdict(state.served(), arrival.traits(), nowMillis);
    }

    /** Returns whether a target may receive a request; as a trial only if no other target can serve it without one. */
    boolean mayReceive(TargetState target, RequestState request, long nowMillis) {
        return switch (verdict(target, request.arrival, nowMillis)) {
            case PoisonVerdict.Free free -> true;
            case PoisonVerdict.Held held -> false;
            case PoisonVerdict.Unproven unproven -> mayProve(request, unproven, nowMillis);
            case PoisonVerdict.OnTrial trial ->
                hasSpareTarget(request.queue, nowMillis)
                        && request.queue.targets.stream()
                                .noneMatch(state ->
                                        verdict(state, request.arrival, nowMillis) instanceof PoisonVerdict.Free);
        };
    }

    /** Returns whether a copy of a lost request may be sent to find out whether it is to blame. */
    private boolean mayProve(RequestState request, PoisonVerdict.Unproven verdict, long nowMillis) {
        boolean due = request.mayHaveRun
                || (nowMillis >= verdict.untilMillis()
                        && !isOthersTurn(request.queue, verdict.turnMillis(), nowMillis));
        return due && !isTooCostly(request.queue, request.arrival, nowMillis, nowMillis) && !isCopyRunning(request);
    }

    /**
     * Returns whether other nodes go first because a target is new. Copies that waited for it at several nodes would
     * otherwise be sent at once, which may cost all of a few targets.
     */
    private static boolean isOthersTurn(QueueState queue, long turnMillis, long nowMillis) {
        return queue.targets.size() <= FEW_TARGETS
                && queue.targets.stream().anyMatch(state -> nowMillis < state.listedMillis + turnMillis);
    }

    private static boolean isCopyRunning(RequestState request) {
        return request.queue.targets.stream()
                .flatMap(state -> state.running.stream())
                .filter(other -> !other.answering && !other.arrival.id().equals(request.arrival.id()))
                .anyMatch(other -> other.arrival.digest().equals(request.arrival.digest()));
    }

    /**
     * Returns whether a request may crash a target without ending the last one. Where no VM was lost lately, the only target
     * is all that there is, and others need not be awaited.
     */
    private boolean hasSpareTarget(QueueState queue, long nowMillis) {
        long availableCount = queue.targets.stream()
                .filter(state -> state.isAvailable(nowMillis))
                .filter(state -> !detector.isLost(
                        state.target.id().vm(), state.target.id().epoch()))
                .count();
        return availableCount > 1
                || queue.targets.stream()
                        .map(TargetState::served)
                        .distinct()
                        .noneMatch(served -> detector.hasLost(served, nowMillis - REPLACEMENT_MILLIS));
    }

    /**
     * Returns whether a copy of a lost request must not be sent, because it alone was lost with its VM and may end the last
     * one. Where several were lost, each of them is most likely sound.
     *
     * @param lostUntilMillis monotonic time up to which losses count
     */
    private boolean isTooCostly(QueueState queue, Arrival arrival, long lostUntilMillis, long nowMillis) {
        return arrival.digest()
                        .filter(digest -> detector.isSoleSuspect(digest, lostUntilMillis))
                        .isPresent()
                && !hasSpareTarget(queue, nowMillis);
    }

    /** Returns whether some targets of a queue must not receive a request. */
    boolean isRestricted(RequestState request, long nowMillis) {
        return isSuspect(request.arrival)
                && request.queue.targets.stream()
                        .anyMatch(state -> !(verdict(state, request.arrival, nowMillis) instanceof PoisonVerdict.Free));
    }

    /**
     * Returns the earliest time at which a request that no target may receive now may be sent; empty if a target may
     * receive it or none is known.
     */
    OptionalLong heldUntilMillis(QueueState queue, Arrival arrival, long nowMillis) {
        if (!isSuspect(arrival) || queue.targets.isEmpty()) {
            return OptionalLong.empty();
        }
        long earliestMillis = Long.MAX_VALUE;
        Set<ServedRelease> checked = new HashSet<>();
        for (TargetState state : queue.targets) {
            if (!checked.add(state.served())) {
                continue;
            }
            if (!(verdict(state, arrival, nowMillis) instanceof PoisonVerdict.Held held)) {
                return OptionalLong.empty();
            }
            earliestMillis = Math.min(earliestMillis, held.untilMillis());
        }
        return OptionalLong.of(earliestMillis);
    }

    /**
     * Returns the time before which a request that has not been sent is refused: it is held, or it could cost the last
     * target, so that its caller need not wait here. Empty if it is not refused.
     */
    OptionalLong refusedUntilMillis(QueueState queue, Arrival arrival, long nowMillis) {
        OptionalLong heldUntilMillis = heldUntilMillis(queue, arrival, nowMillis);
        boolean unaffordable = heldUntilMillis.isEmpty()
                && isTooCostly(queue, arrival, nowMillis, nowMillis)
                && queue.targets.stream()
                        .noneMatch(state -> verdict(state, arrival, nowMillis) instanceof PoisonVerdict.Free);
        return unaffordable ? OptionalLong.of(nowMillis + UNAFFORDABLE_RETRY_MILLIS) : heldUntilMillis;
    }

    /**
     * Returns the time before which a waiting request is not sent; empty if it may go on waiting. One that was lost waits
     * until other losses with the same VM have become known, which speak for it.
     */
    OptionalLong refusedUntilMillis(RequestState waiting, long nowMillis) {
        if (!waiting.mayHaveRun) {
            return refusedUntilMillis(waiting.queue, waiting.arrival, nowMillis);
        }
        boolean alone = isTooCostly(waiting.queue, waiting.arrival, nowMillis - OTHER_LOSSES_MILLIS, nowMillis);
        return alone ? OptionalLong.of(nowMillis) : heldUntilMillis(waiting.queue, waiting.arrival, nowMillis);
    }

    /** Returns whether a request that was sent and is not being answered must be withdrawn. */
    boolean isToBeWithdrawn(RequestState request, long nowMillis) {
        return !detector.blamed().isEmpty()
                && !request.trial
                && !request.answering
                && verdict(request.target, request.arrival, nowMillis) instanceof PoisonVerdict.Held held
                && held.certain();
    }

    void onSend(RequestState request, TargetState target, long nowMillis) {
        request.answering = false;
        request.answered = false;
        request.trial = verdict(target, request.arrival, nowMillis) instanceof PoisonVerdict.OnTrial;
        if (request.trial) {
            detector.startTrial(target.served(), request.arrival.traits(), nowMillis);
        }
    }

    void onAnswering(RequestState request, long answeringMillis, long nowMillis) {
        request.answering |= answeringMillis >= 0;
        if (answeringMillis >= PROVING_ANSWER_MILLIS) {
            recordAnswer(request, nowMillis);
        }
    }

    /** Handles the end of an answer, which proves as much as its duration, however short it was. */
    void onFinished(RequestState request, long nowMillis) {
        recordAnswer(request, nowMillis);
    }

    private void recordAnswer(RequestState request, long nowMillis) {
        if (request.answered) {
            return;
        }
        request.answered = true;
        TargetId id = request.target.target.id();
        detector.recordSurvival(new CrashId(id.vm(), id.epoch()), request.dispatchedMillis, nowMillis);
        detector.recordAnswer(request.target.served(), request.arrival.traits(), nowMillis);
    }

    void onLostBeforeAnswer(RequestState request, TargetState target, long nowMillis) {
        TargetId id = target.target.id();
        detector.recordCrash(new CrashId(id.vm(), id.epoch()), target.served(), request.arrival.traits(), nowMillis);
    }
}
