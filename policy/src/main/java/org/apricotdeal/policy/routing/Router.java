package org.apricotdeal.policy.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the target of a request that is about to be dispatched. */
public interface Router {
    /**
     * Chooses a target.
     *
     * @param targets all targets of the request's upstream
     * @param prefixHash hash of the prompt's prefix, see {@link PrefixHash}; 0 if the request has none
     * @return a target with a free slot, or empty if no target has one
     */
    Optional<TargetState> choose(List<TargetState> targets, long prefixHash);

    /**
     * Records that a prefix was stored in or evicted from a target's cache. The reports are only hints, since they are
     * delayed and some of them are lost.
     *
     * @param target target that owns the cache
     * @param prefixHash hash of the prefix
     * @param stored true if the prefix was stored, false if it was evicted
     */
    default void cacheChanged(TargetId target, long prefixHash, boolean stored) {}
}
