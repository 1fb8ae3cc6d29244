package org.apricotdeal.proofs.relay;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;

/**
 * Replays a load on a dispatcher with one replica, in steps of one millisecond, with actions that are scheduled for
 * later.
 */
final class RelayReplay {
    private static final long TICK_MILLIS = 25;

    final RelayFixture relay = new RelayFixture();
    private final Consumer<List<RelayAction>> actionHandler;
    private final PriorityQueue<Step> scheduledSteps = new PriorityQueue<>(Comparator.comparingLong(Step::atMillis));

    /** A scheduled action. */
    private record Step(long atMillis, Runnable action) {}

    /**
     * Creates a replay.
     *
     * @param slots number of concurrent requests of the replica
     * @param actionHandler receives the actions of the dispatcher
     */
    RelayReplay(int slots, Consumer<List<RelayAction>> actionHandler) {
        this.actionHandler = actionHandler;
        relay.setTargets(RelayFixture.target("v1", slots));
    }

    void step(RelayEvent event) {
        actionHandler.accept(relay.step(event));
    }

    void schedule(long atMillis, Runnable action) {
        scheduledSteps.add(new Step(atMillis, action));
    }

    /** Advances the clock and calls {@code arrivals} in each millisecond. */
    void run(long millis, Runnable arrivals) {
        for (long end = relay.nowMillis + millis; relay.nowMillis < end; relay.nowMillis++) {
            while (!scheduledSteps.isEmpty() && scheduledSteps.peek().atMillis() <= relay.nowMillis) {
                scheduledSteps.poll().action().run();
            }
            arrivals.run();
            if (relay.nowMillis % TICK_MILLIS == 0) {
                step(new RelayEvent.Tick());
            }
        }
    }
}
