package org.apricotdeal.policy.routing;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;

/** Baseline: the less loaded of two targets drawn at random. */
public final class TwoChoicesRouter extends BaseRouter {
    private final UniformRandomProvider random;

    /**
     * Creates the router.
     *
     * @param random seeded source
     */
    public TwoChoicesRouter(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    protected TargetState pick(List<TargetState> open, long prefixHash) {
        TargetState first = open.get(random.nextInt(open.size()));
        TargetState second = open.get(random.nextInt(open.size()));
        return second.estimatedLoad() < first.estimatedLoad() ? second : first;
    }
}
