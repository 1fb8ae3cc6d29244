package org.apricotdeal.policy.routing;

import java.util.List;

/** Baseline: each target in turn. */
public final class RoundRobinRouter extends BaseRouter {
    private int next;

    @Override
    protected TargetState pick(List<TargetState> open, long prefixHash) {
        next = next == Integer.MAX_VALUE ? 0 : next + 1;
        return open.get(next % open.size());
    }
}
