package org.apricotdeal.relay.poison;

import java.util.Set;

import org.apricotdeal.relay.model.RequestTrait;

/**
 * Blamed traits, and for how long a node holds back requests that have them.
 *
 * @param blame the blamed traits, and what the crashed VMs served
 * @param trialCount number of trials at any node so far
 * @param heldUntilMillis monotonic time from which this node may send a trial
 */
public record HeldTraits(BlamedTraits blame, int trialCount, long heldUntilMillis) {
    /**
     * Returns the blamed traits.
     *
     * @return traits that a request has all of if it is held back
     */
    public Set<RequestTrait> traits() {
        return blame.traits();
    }
}
