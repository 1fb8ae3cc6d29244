package org.apricotdeal.policy.routing;

import java.util.List;

/** Baseline: chooses the available targets in turn. */
public final class RoundRobinRouter extends BaseRouter {
    private int next;

    @Override
    protected TargetState pick(List<TargetState> available, long prefixHash) {
        next = next == Integer.MAX_VALUE ? 0 : next + 1;
        return available.get(next % available.size());
    }
}
