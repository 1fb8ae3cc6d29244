package org.apricotdeal.relay.peer;

import java.util.Optional;

import org.apricotdeal.relay.policy.TargetId;

/** Number of requests that the other nodes run at each target. */
public final class FleetLoads extends FleetSums<TargetId, Integer> {
    @Override
    Integer add(Integer first, Integer second) {
        return first + second;
    }

    @Override
    Optional<Integer> subtract(Integer sum, Integer part) {
        return sum > part ? Optional.of(sum - part) : Optional.empty();
    }

    @Override
    boolean isCurrent(Integer value, long nowMillis) {
        return true;
    }
}
