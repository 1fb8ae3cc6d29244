package org.apricotdeal.relay.poison;

import java.util.List;
import java.util.Set;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.RequestTrait;

/**
 * Traits that crash VMs if a request has all of them. Usually a single one; several as long as they have only been seen
 * together, so that the crashes do not show which of them is the cause.
 *
 * @param served what the crashed VMs served
 * @param traits the traits
 * @param lastCrashMillis monotonic time of the last crash that they explain
 * @param certain false if other traits explain the same crashes equally well
 */
public record BlamedTraits(ServedRelease served, Set<RequestTrait> traits, long lastCrashMillis, boolean certain) {
    /** Copies the set. */
    public BlamedTraits {
        traits = Set.copyOf(traits);
    }

    /**
     * Returns whether a request has all the blamed traits.
     *
     * @param upstream upstream of the request
     * @param request traits of the request
     * @return true if the request may crash VMs of some model or release of the upstream
     */
    boolean concerns(UpstreamId upstream, List<RequestTrait> request) {
        return served.upstream().equals(upstream) && request.containsAll(traits);
    }

    /**
     * Returns whether the same traits are blamed, whatever the number and time of their crashes.
     *
     * @param other other blame
     * @return true if both hold back the same requests
     */
    public boolean hasSameTraits(BlamedTraits other) {
        return served.equals(other.served) && traits.equals(other.traits);
    }
}
