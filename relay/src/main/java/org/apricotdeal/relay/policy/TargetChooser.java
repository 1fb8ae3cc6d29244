package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.id.FailureDomainId;

/**
 * Chooses the target of a request. A request whose cost is known goes where its answer is predicted to begin first,
 * given the unread prompts, the work left and the pace of each target. Any other request goes to the target
 * with the lowest share of occupied slots, by this node's own requests and the average of the other nodes' counts
 * ({@link TargetState#expectedLoad}); prompts that the engine has not read yet weigh more than other requests. Targets of
 * the local failure domain are preferred.
 *
 * <p>Load pattern: many nodes choose at the same time, with old counts of each other's requests. In a large fleet a node
 * compares only its home targets ({@link HomeNodes}) and a few others, so that the nodes do not all choose the same one.
 */
final class TargetChooser {
    /**
     * Number of requests that an unread prompt counts as; fitted to start times by number of prompts and answers in
     * progress.
     */
    private static final double UNREAD_PROMPT_WEIGHT = 3;

    /**
     * Number of targets of other nodes that are compared with the home targets. With outdated load counts, two random
     * choices balance load about as well as more do.
     */
    private static final int FOREIGN_CANDIDATES = 2;

    /** Number of requests by which a home target has to be fuller than a target of other nodes that is preferred. */
    private static final double FOREIGN_PENALTY = 1;

    /** Number of requests that a target in another failure domain counts as. */
    private static final double REMOTE_PENALTY = 0.5;

    /**
     * Share of the service time by which a full target is assumed to delay the start of an answer: slots that other nodes
     * take at the same time are not known yet.
     */
    private static final double CROWD_SHARE = 0.05;

    private final FailureDomainId localDomain;
    private final UniformRandomProvider random;

    /**
     * Creates a chooser.
     *
     * @param localDomain failure domain of this node
     * @param random seeded random source
     */
    TargetChooser(FailureDomainId localDomain, UniformRandomProvider random) {
        this.localDomain = localDomain;
        this.random = random;
    }

    /**
     * Chooses the best of the home targets and of a few targets of other nodes. If none of them has a free slot, any
     * other target that has one is used.
     *
     * @param queue queue of the request
     * @param request request to send; targets that it has tried are left out
     * @param poison decides which targets must not receive the request
     * @param nowMillis monotonic time
     * @return the target, or null if no target has a free slot
     */
    TargetState choose(QueueState queue, RequestState request, PoisonGuard poison, long nowMillis) {
        TargetState best = null;
        double bestScore = Double.MAX_VALUE;
        for (TargetState state : candidates(queue, request, poison, nowMillis)) {
            double score = rating(state, request, nowMillis);
            if (score < bestScore) {
                best = state;
                bestScore = score;
            }
        }
        return best != null ? best : anyUsable(queue, request, poison, nowMillis);
    }

    /** Returns whether a request that cannot be sent waits for a reason that need not concern those behind it. */
    static boolean othersMayPass(RequestState request, PoisonGuard poison, long nowMillis) {
        return poison.isRestricted(request, nowMillis) || request.queue.isHeldByMemory(request, nowMillis);
    }

    /**
     * Returns the figure by which targets are compared; the lowest is chosen.
     *
     * @param state the target
     * @param request the request
     * @param nowMillis monotonic time
     * @return predicted time to the first event in milliseconds where the cost of the request is known; otherwise the
     *     share of occupied slots
     */
    double rating(TargetState state, RequestState request, long nowMillis) {
        return request.cost.isPresent() ? predictedMillis(state, nowMillis) : score(state, nowMillis);
    }

    private List<TargetState> candidates(QueueState queue, RequestState request, PoisonGuard poison, long nowMillis) {
        List<TargetState> candidates = new ArrayList<>();
        for (TargetState state : queue.homeTargets) {
            if (isUsable(state, request, poison, nowMillis)) {
                candidates.add(state);
            }
        }
        if (queue.homeTargets.size() == queue.targets.size()) {
            return candidates;
        }
        for (int i = 0; i < FOREIGN_CANDIDATES; i++) {
            TargetState drawn = queue.targets.get(random.nextInt(queue.targets.size()));
            if (!drawn.isHome() && isUsable(drawn, request, poison, nowMillis)) {
                candidates.add(drawn);
            }
        }
        return candidates;
    }

    private TargetState anyUsable(QueueState queue, RequestState request, PoisonGuard poison, long nowMillis) {
        int count = queue.targets.size();
        int offset = count == 0 ? 0 : random.nextInt(count);
        for (int i = 0; i < count; i++) {
            TargetState state = queue.targets.get((offset + i) % count);
            if (isUsable(state, request, poison, nowMillis)) {
                return state;
            }
        }
        return null;
    }

    private static boolean isUsable(TargetState state, RequestState request, PoisonGuard poison, long nowMillis) {
        return state.bar(request, nowMillis) == TargetBar.NONE
                && !request.triedTargets.contains(state.target.id())
                && poison.mayReceive(state, request, nowMillis);
    }

    /**
     * Returns the predicted time to the first event of a request with a known cost: the prompts that the target has not
     * read yet and the start of an answer, at the target's pace, and the delay by the work that it has left. The
     * penalties are converted like requests of usual cost.
     */
    private double predictedMillis(TargetState state, long nowMillis) {
        QueueState queue = state.queue();
        double usualMillis = queue.serviceMillis.value();
        double crowdMillis = usualMillis
                * CROWD_SHARE
                * (state.workLoad(nowMillis, usualMillis) + penalty(state))
                / state.target.slots();
        return state.pace(nowMillis) * (queue.startMillis.value() + state.unreadMillis(nowMillis)) + crowdMillis;
    }

    /** Returns the number of requests that the place of a target counts as, and a random tie-breaker. */
    private double penalty(TargetState state) {
        double remotePenalty = state.target.failureDomain().equals(localDomain) ? 0 : REMOTE_PENALTY;
        double foreignPenalty = state.isHome() ? 0 : FOREIGN_PENALTY;
        return remotePenalty + foreignPenalty + random.nextDouble() / 4;
    }

    /**
     * Returns the share of occupied slots. A target of other nodes or in another failure domain counts as fuller than
     * it is, and ties are broken at random. An unread prompt counts as several requests, because the first event of a
     * new request waits for it but hardly for answers that are being generated.
     */
    private double score(TargetState state, long nowMillis) {
        double unreadPromptLoad =
                state.target.queue().model().isPresent() ? UNREAD_PROMPT_WEIGHT * state.runningWithoutAnswer() : 0;
        return (state.expectedLoad(nowMillis) + unreadPromptLoad + penalty(state)) / state.target.slots();
    }
}
