package org.apricotdeal.policy.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * The default router: sends requests with the same prompt prefix to the same target to make use of the engine's prefix
 * cache, unless that target is overloaded; then it chooses the less loaded of two random targets.
 *
 * <p>The preferred targets are, in this order:
 *
 * <ol>
 *   <li>The target whose cache is known to hold the prefix, from cache events and from this node's own dispatches. Since
 *       cache events are delayed and some are lost, they are only hints, kept in a bounded table.
 *   <li>The target with the highest score by rendezvous hashing. All nodes compute the same target without exchanging
 *       messages, so a prefix is cached at one target and not at a different one for each node.
 *   <li>The target with the second-highest score, so that a popular prefix can be cached at two targets.
 * </ol>
 *
 * <p>A preferred target is chosen only if its estimated load is at most {@value #MAX_LOAD_RATIO} times the mean load of the
 * available targets plus one request. Beyond that, the slower batch costs more time than the cache saves. Otherwise the less
 * loaded of two random targets is chosen, because choosing the least loaded of all targets would make all nodes choose the
 * same target between two load reports.
 */
public final class AffinityRouter extends BaseRouter {
    private static final double MAX_LOAD_RATIO = 1.25;
    private static final int MAX_PREFIXES = 4_096;

    private final UniformRandomProvider random;
    private final Map<Long, TargetId> prefixHolders = new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, TargetId> eldest) {
            return size() > MAX_PREFIXES;
        }
    };

    /**
     * Creates the router.
     *
     * @param random source of random numbers for the choice between two targets
     */
    public AffinityRouter(UniformRandomProvider random) {
        this.random = random;
    }

    @Override
    protected TargetState pick(List<TargetState> available, long prefixHash) {
        if (prefixHash == 0) {
            return lessLoadedOfTwo(available);
        }
        double maxLoad = MAX_LOAD_RATIO * meanLoad(available) + 1;
        TargetState chosen = cachedHolder(available, prefixHash, maxLoad);
        if (chosen == null) {
            chosen = rendezvous(available, prefixHash, maxLoad);
        }
        if (chosen == null) {
            chosen = lessLoadedOfTwo(available);
        }
        prefixHolders.put(prefixHash, chosen.target().id());
        return chosen;
    }

    @Override
    public void cacheChanged(TargetId target, long prefixHash, boolean stored) {
        if (stored) {
            prefixHolders.put(prefixHash, target);
            return;
        }
        prefixHolders.remove(prefixHash, target);
    }

    private TargetState cachedHolder(List<TargetState> available, long prefixHash, double maxLoad) {
        TargetId holder = prefixHolders.get(prefixHash);
        if (holder == null) {
            return null;
        }
        for (TargetState state : available) {
            if (state.target().id().equals(holder)) {
                return state.estimatedLoad() <= maxLoad ? state : null;
            }
        }
        return null;
    }

    private static TargetState rendezvous(List<TargetState> available, long prefixHash, double maxLoad) {
        TargetState first = null;
        TargetState second = null;
        long firstScore = Long.MIN_VALUE;
        long secondScore = Long.MIN_VALUE;
        for (TargetState state : available) {
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
        if (first != null && first.estimatedLoad() <= maxLoad) {
            return first;
        }
        return second != null && second.estimatedLoad() <= maxLoad ? second : null;
    }

    private TargetState lessLoadedOfTwo(List<TargetState> available) {
        TargetState first = available.get(random.nextInt(available.size()));
        TargetState second = available.get(random.nextInt(available.size()));
        return second.estimatedLoad() < first.estimatedLoad() ? second : first;
    }

    private static double meanLoad(List<TargetState> available) {
        double sum = 0;
        for (TargetState state : available) {
            sum += state.estimatedLoad();
        }
        return sum / available.size();
    }
}
