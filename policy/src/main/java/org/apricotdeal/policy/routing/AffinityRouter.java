package org.apricotdeal.policy.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The default router: sends requests with the same prompt prefix to the same target while its load allows, so that the
 * engine's prefix cache is used, and by two random choices otherwise.
 *
 * <p>Three preferences, in order. First, the target whose cache is known to hold the prefix: cache events and own
 * dispatches tell, and since events come late and with gaps they are only hints kept in a bounded table. Second, the
 * prefix's target by rendezvous hashing: every node computes the same one without a message, so that a prefix warms one
 * cache and not one for each node. Third, a second target by the same hashing, so that a popular prefix has two homes.
 * A preference is taken only while its estimated load is at most {@value #LOAD_BOUND} times the mean of the open targets
 * plus one request: beyond that, the time saved in the cache is lost in the batch. Where no preference is taken, the less
 * loaded of two random targets is: the least loaded of all would draw all nodes to the same target between two reports.
 */
public final class AffinityRouter extends BaseRouter {
    private static final double LOAD_BOUND = 1.25;
    private static final int MAX_PREFIXES = 4_096;

    private final UniformRandomProvider random;
    private final Map<Long, TargetId> holders = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, TargetId> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    /**
     * Creates the router.
     *
     * @param random seeded source
     */
    public AffinityRouter(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    protected TargetState pick(List<TargetState> open, long prefixHash) {
        if (prefixHash == 0) {
            return twoChoices(open);
        }
        double bound = LOAD_BOUND * meanLoad(open) + 1;
        TargetState chosen = knownHolder(open, prefixHash, bound);
        if (chosen == null) {
            chosen = rendezvous(open, prefixHash, bound);
        }
        if (chosen == null) {
            chosen = twoChoices(open);
        }
        holders.put(prefixHash, chosen.target().id());
        return chosen;
    }

    @Override
    public void cacheChanged(TargetId target, long prefixHash, boolean stored) {
        if (stored) {
            holders.put(prefixHash, target);
            return;
        }
        holders.remove(prefixHash, target);
    }

    private TargetState knownHolder(List<TargetState> open, long prefixHash, double bound) {
        TargetId holder = holders.get(prefixHash);
        if (holder == null) {
            return null;
        }
        for (TargetState state : open) {
            if (state.target().id().equals(holder)) {
                return state.estimatedLoad() <= bound ? state : null;
            }
        }
        return null;
    }

    private static TargetState rendezvous(List<TargetState> open, long prefixHash, double bound) {
        TargetState first = null;
        TargetState second = null;
        long firstScore = Long.MIN_VALUE;
        long secondScore = Long.MIN_VALUE;
        for (TargetState state : open) {
            long score = PrefixHash.mix(state.hash() + prefixHash);
            if (score > firstScore) {
                second = first;
                secondScore = firstScore;
                first = state;
                firstScore = score;
            } else if (score > secondScore) {
                second = state;
                secondScore = score;
            }
        }
        if (first != null && first.estimatedLoad() <= bound) {
            return first;
        }
        return second != null && second.estimatedLoad() <= bound ? second : null;
    }

    private TargetState twoChoices(List<TargetState> open) {
        TargetState first = open.get(random.nextInt(open.size()));
        TargetState second = open.get(random.nextInt(open.size()));
        return second.estimatedLoad() < first.estimatedLoad() ? second : first;
    }

    private static double meanLoad(List<TargetState> open) {
        double sum = 0;
        for (TargetState state : open) {
            sum += state.estimatedLoad();
        }
        return sum / open.size();
    }
}
