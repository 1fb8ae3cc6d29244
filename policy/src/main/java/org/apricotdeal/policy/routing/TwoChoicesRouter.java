package org.apricotdeal.policy.routing;

import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;

/** Baseline: chooses the less loaded of two targets drawn at random. */
public final class TwoChoicesRouter extends BaseRouter {
    private final UniformRandomProvider random;

    /**
     * Creates the router.
     *
     * @param random source of random numbers for the choice between two targets
     */
    public TwoChoicesRouter(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    protected TargetState pick(List<TargetState> available, long prefixHash) {
        TargetState first = available.get(random.nextInt(available.size()));
        TargetState second = available.get(random.nextInt(available.size()));
        return second.estimatedLoad() < first.estimatedLoad() ? second : first;
    }
}
