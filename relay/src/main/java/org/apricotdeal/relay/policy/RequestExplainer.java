package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * Says what the dispatcher would do with a request, by the rules that the dispatcher itself applies, and changes nothing: no
 * queue, no count, no estimate, and not the dispatcher's random numbers, of which it has its own.
 */
final class RequestExplainer {
    private static final long SEED = 1;

    private final QueueRegistry registry;
    private final PoisonGuard poison;
    private final ReturningCallers returningCallers;
    private final TargetChooser targetChooser;

    /**
     * Creates an explainer.
     *
     * @param localDomain failure domain of this node
     * @param registry the dispatcher's queues
     * @param poison the dispatcher's guard against prompts that crash VMs
     * @param returningCallers the dispatcher's knowledge of refused callers
     */
    RequestExplainer(
            FailureDomainId localDomain,
            QueueRegistry registry,
            PoisonGuard poison,
            ReturningCallers returningCallers) {
        this.registry = registry;
        this.poison = poison;
        this.returningCallers = returningCallers;
        this.targetChooser = new TargetChooser(localDomain, RandomSource.SPLIT_MIX_64.create(SEED));
    }

    /** Explains a request that would arrive now. */
    RequestExplanation explain(Arrival arrival, long nowMillis) {
        return registry.find(arrival.queue())
                .map(queue -> explain(queue, arrival, nowMillis))
                .orElseGet(RequestExplainer::withoutQueue);
    }

    private static RequestExplanation withoutQueue() {
        return new RequestExplanation(
                RequestExplanation.Verdict.REFUSE,
                Optional.of(RefusalReason.NO_TARGET),
                Optional.empty(),
                false,
                0,
                0,
                0,
                -1,
                0,
                0,
                0,
                List.of());
    }

    private RequestExplanation explain(QueueState queue, Arrival arrival, long nowMillis) {
        boolean returning = returningCallers.isReturning(queue, arrival, nowMillis);
        RequestState request = RequestState.notSent(arrival, queue, returning);
        QueueEstimate estimate = queue.estimate(request, nowMillis);
        Optional<RefusalReason> refusal = refusal(request, estimate, nowMillis);
        Optional<TargetId> target = refusal.isPresent() ? Optional.empty() : target(queue, request, nowMillis);
        RefusalDetails details = estimate.refusalDetails(0);
        return new RequestExplanation(
                verdict(refusal, target),
                refusal,
                target,
                returning,
                details.waiting(),
                details.freeSlots(),
                details.usableSlots(),
                details.predictedWaitMillis(),
                Math.round(AdmissionRule.maxWaitMillis(request)),
                Math.round(queue.startMillis.value()),
                Math.round(request.cost.map(RequestCost::slotMillis).orElse(queue.serviceMillis.value())),
                candidates(queue, request, nowMillis));
    }

    private Optional<RefusalReason> refusal(RequestState request, QueueEstimate estimate, long nowMillis) {
        if (poison.refusedUntilMillis(request.queue, request.arrival, nowMillis).isPresent()) {
            return Optional.of(RefusalReason.SUSPECT_REQUEST);
        }
        return request.queue.isTooLarge(request)
                ? Optional.of(RefusalReason.TOO_LARGE)
                : AdmissionRule.refusal(request, estimate, nowMillis);
    }

    private static RequestExplanation.Verdict verdict(Optional<RefusalReason> refusal, Optional<TargetId> target) {
        if (refusal.isPresent()) {
            return RequestExplanation.Verdict.REFUSE;
        }
        return target.isPresent() ? RequestExplanation.Verdict.SEND : RequestExplanation.Verdict.WAIT;
    }

    /** Returns the target of the request; empty if those that wait before it take all that is free. */
    private Optional<TargetId> target(QueueState queue, RequestState request, long nowMillis) {
        for (RequestState before : queue.waiting.headSet(request)) {
            if (!TargetChooser.othersMayPass(before, poison, nowMillis)) {
                return Optional.empty();
            }
        }
        return Optional.ofNullable(targetChooser.choose(queue, request, poison, nowMillis))
                .map(state -> state.target.id());
    }

    private List<RequestExplanation.Candidate> candidates(QueueState queue, RequestState request, long nowMillis) {
        List<RequestExplanation.Candidate> candidates = new ArrayList<>();
        for (TargetState state : queue.targets) {
            TargetBar bar = state.bar(request, nowMillis);
            boolean held = bar == TargetBar.NONE && !poison.mayReceive(state, request, nowMillis);
            candidates.add(new RequestExplanation.Candidate(
                    state.target,
                    held ? "held" : bar.name().toLowerCase(Locale.ROOT),
                    state.isHome(),
                    state.running.size(),
                    state.load(nowMillis),
                    state.loadAgeMillis(nowMillis),
                    targetChooser.rating(state, request, nowMillis)));
        }
        return candidates;
    }
}
