package org.apricotdeal.policy.routing;

import java.util.List;
import java.util.Optional;

/** Chooses the target of a request whose turn it is. */
public interface Router {
    /**
     * Chooses a target.
     *
     * @param targets all targets of the request's upstream
     * @param prefixHash hash of the prompt's prefix, see {@link PrefixHash}; 0 where the request has none
     * @return a target with a free slot, or nothing where none has one
     */
    Optional<TargetState> choose(List<TargetState> targets, long prefixHash);

    /**
     * Takes note of a prefix that a target's cache has gained or lost. Reports come late and with gaps: they are hints.
     *
     * @param target the target
     * @param prefixHash the prefix
     * @param stored true where it was stored, false where it was evicted
     */
    default void cacheChanged(TargetId target, long prefixHash, boolean stored) {}
}
