package org.apricotdeal.policy.routing;

import java.util.List;

/** Baseline: the target with the fewest own requests in progress; reports and prefixes are ignored. */
public final class LeastInFlightRouter extends BaseRouter {
    @Override
    protected TargetState pick(List<TargetState> open, long prefixHash) {
        TargetState best = open.getFirst();
        for (TargetState state : open) {
            if (state.inFlight() < best.inFlight()) {
                best = state;
            }
        }
        return best;
    }
}
