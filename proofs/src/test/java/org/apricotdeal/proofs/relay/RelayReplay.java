package org.apricotdeal.proofs.relay;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;

/** Replays a load on a dispatcher before one replica, millisecond by millisecond, with steps that become due later. */
final class RelayReplay {
    private static final long TICK_MILLIS = 25;

    final RelayFixture relay = new RelayFixture();
    private final Consumer<List<RelayAction>> follower;
    private final PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingLong(Step::atMillis));

    /** What happens later. */
    private record Step(long atMillis, Runnable action) {}

    /**
     * Creates a replay.
     *
     * @param slots requests that the replica works on at once
     * @param follower takes what the dispatcher decides
     */
    RelayReplay(int slots, Consumer<List<RelayAction>> follower) {
        this.follower = follower;
        relay.targets(RelayFixture.target("v1", slots));
    }

    void step(RelayEvent event) {
        follower.accept(relay.step(event));
    }

    void later(long atMillis, Runnable action) {
        steps.add(new Step(atMillis, action));
    }

    /** Lets time pass; arrivals are asked for in each millisecond. */
    void run(long millis, Runnable arrivals) {
        for (long end = relay.nowMillis + millis; relay.nowMillis < end; relay.nowMillis++) {
            while (!steps.isEmpty() && steps.peek().atMillis() <= relay.nowMillis) {
                steps.poll().action().run();
            }
            arrivals.run();
            if (relay.nowMillis % TICK_MILLIS == 0) {
                step(new RelayEvent.Tick());
            }
        }
    }
}
