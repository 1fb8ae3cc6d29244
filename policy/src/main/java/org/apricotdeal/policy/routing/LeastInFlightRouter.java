package org.apricotdeal.policy.routing;

import java.util.List;

/** Baseline: chooses the target with the fewest requests of this node in flight; ignores load reports and prefixes. */
public final class LeastInFlightRouter extends BaseRouter {
    @Override
    protected TargetState pick(List<TargetState> available, long prefixHash) {
        TargetState best = available.getFirst();
        for (TargetState state : available) {
            if (state.inFlight() < best.inFlight()) {
                best = state;
            }
        }
        return best;
    }
}
