package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.health.LocalHealth;
import org.apricotdeal.relay.policy.RelayEvent;

/** Tells the dispatcher that this node was suspended, and by how much it is late. */
final class NodeDelayFeed {
    private final LocalHealth health;
    private final Clock clock;
    private final SuspensionDetector suspensions;
    private long extensionMillis;

    NodeDelayFeed(LocalHealth health, Clock clock) {
        this.health = health;
        this.clock = clock;
        this.suspensions = new SuspensionDetector(clock);
    }

    /** Returns what has changed since the last call. */
    List<RelayEvent> changes() {
        List<RelayEvent> events = new ArrayList<>();
        if (suspensions.wasSuspended()) {
            events.add(new RelayEvent.ProcessSuspended());
        }
        long newExtensionMillis = health.extend(0, clock.monotonicMillis());
        if (newExtensionMillis != extensionMillis) {
            extensionMillis = newExtensionMillis;
            events.add(new RelayEvent.NodeDelayed(extensionMillis));
        }
        return events;
    }
}
