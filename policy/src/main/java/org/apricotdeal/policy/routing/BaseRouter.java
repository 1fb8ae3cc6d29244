package org.apricotdeal.policy.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Narrows the targets down to those that may be chosen: with a free slot, and healthy ones before slow ones. Subclasses
 * pick among these.
 */
public abstract class BaseRouter implements Router {
    private final List<TargetState> open = new ArrayList<>();

    @Override
    public final Optional<TargetState> choose(List<TargetState> targets, long prefixHash) {
        collectOpen(targets, TargetHealth.HEALTHY);
        if (open.isEmpty()) {
            collectOpen(targets, TargetHealth.SLOW);
        }
        if (open.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(pick(open, prefixHash));
    }

    private void collectOpen(List<TargetState> targets, TargetHealth health) {
        open.clear();
        for (TargetState state : targets) {
            if (state.target().health() == health && state.freeSlots() > 0) {
                open.add(state);
            }
        }
    }

    /**
     * Picks one of the targets that have a free slot.
     *
     * @param open targets with a free slot, at least one; valid during the call only
     * @param prefixHash hash of the prompt's prefix; 0 where the request has none
     * @return one of them
     */
    protected abstract TargetState pick(List<TargetState> open, long prefixHash);

    /**
     * Finds the target with the least estimated load.
     *
     * @param open the targets
     * @return the first of those with the least load
     */
    protected static TargetState leastLoaded(List<TargetState> open) {
        TargetState best = open.getFirst();
        for (TargetState state : open) {
            if (state.estimatedLoad() < best.estimatedLoad()) {
                best = state;
            }
        }
        return best;
    }
}
