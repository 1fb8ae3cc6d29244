package org.apricotdeal.policy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Base of routers that choose only among available targets: the healthy targets with a free slot or, if there are none, the
 * slow targets with a free slot.
 */
public abstract class BaseRouter implements Router {
    private final List<TargetState> available = new ArrayList<>();

    @Override
    public final Optional<TargetState> choose(List<TargetState> targets, long prefixHash) {
        collectAvailable(targets, TargetHealth.HEALTHY);
        if (available.isEmpty()) {
            collectAvailable(targets, TargetHealth.SLOW);
        }
        if (available.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(pick(available, prefixHash));
    }

    private void collectAvailable(List<TargetState> targets, TargetHealth health) {
        available.clear();
        for (TargetState state : targets) {
            if (state.target().health() == health && state.freeSlots() > 0) {
                available.add(state);
            }
        }
    }

    /**
     * Picks one of the targets that have a free slot.
     *
     * @param available targets with a free slot, at least one; the list is valid only during the call
     * @param prefixHash hash of the prompt's prefix; 0 if the request has none
     * @return one of the available targets
     */
    protected abstract TargetState pick(List<TargetState> available, long prefixHash);

    /**
     * Finds the target with the least estimated load.
     *
     * @param available targets to compare, at least one
     * @return the first target with the least load
     */
    protected static TargetState leastLoaded(List<TargetState> available) {
        TargetState best = available.getFirst();
        for (TargetState state : available) {
            if (state.estimatedLoad() < best.estimatedLoad()) {
                best = state;
            }
        }
        return best;
    }
}
