package org.apricotdeal.relay.peer;

import java.util.Optional;

import org.apricotdeal.relay.policy.QueueDemand;
import org.apricotdeal.relay.policy.QueueId;

/**
 * Demand for each queue as measured by the other nodes. It answers fleets in which a planner's node serves a small part of
 * the traffic: its own counts of a few requests would say more about chance than about the callers.
 */
public final class FleetDemand extends FleetSums<QueueId, QueueDemand> {
    /**
     * Age of figures from which they are ignored. Figures need up to three heartbeats and as many periods of measurement to
     * spread; older ones come from nodes that report each other's figures back while they disagree on their delegate.
     */
    private static final long MAX_FIGURE_AGE_MILLIS = 5_000;

    @Override
    QueueDemand add(QueueDemand first, QueueDemand second) {
        return first.plus(second);
    }

    @Override
    Optional<QueueDemand> subtract(QueueDemand sum, QueueDemand part) {
        return sum.minus(part);
    }

    @Override
    boolean isCurrent(QueueDemand value, long nowMillis) {
        return nowMillis - value.measuredAtMillis() < MAX_FIGURE_AGE_MILLIS;
    }
}
