package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Replays a crowd whose refused callers come back once, as told: a calm time, a flood that asks for twice what the replica
 * can serve, and a calm time again.
 */
public final class ReturningCallersTest {
    private static final int SLOTS = 17;
    private static final long SERVICE_MILLIS = 1_300;
    private static final long FIRST_EVENT_MILLIS = 170;
    private static final long EVENT_MILLIS = 50;
    private static final long CALM_MILLIS = 20_000;
    private static final long FLOOD_MILLIS = 40_000;
    private static final long BURST_MILLIS = 500;
    private static final int BURSTS = 20;
    private static final double CALM_PER_SECOND = 5;

    /** Requests a second that the slots can serve. */
    private static final double CAPACITY_PER_SECOND = SLOTS * 1_000.0 / SERVICE_MILLIS;

    /** A flood leaves a caller waiting whenever a slot gets free, so all but a tenth of what is served can be in time. */
    private static final double MIN_IN_TIME_OF_CAPACITY = 0.9;

    /** A short burst refuses no more callers than the slots that get free can serve before these have to be back. */
    private static final double MIN_SERVED_OF_RETURNED = 0.9;

    /** A caller, and what has become of it. */
    private static final class Caller {
        private final long firstMillis;
        private final long patienceMillis;
        private boolean returned;
        private boolean served;
        private boolean inTime;

        Caller(long firstMillis, long patienceMillis) {
            this.firstMillis = firstMillis;
            this.patienceMillis = patienceMillis;
        }
    }

    private final Map<ExchangeId, Caller> asking = new HashMap<>();
    private RelayReplay replay;
    private UniformRandomProvider random;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /**
     * Those who are served in time fill the slots, although as many come back too late as are refused.
     *
     * @param seed seed of arrivals, lengths and patience
     */
    @Test(dataProvider = "seeds")
    public void slotsGoToCallersWhoCanStillBeInTime(long seed) {
        start(seed);
        replay(CALM_MILLIS, CALM_PER_SECOND);
        List<Caller> flood = replay(FLOOD_MILLIS, 2 * CAPACITY_PER_SECOND);
        long inTime = flood.stream().filter(caller -> caller.inTime).count();
        double possible = CAPACITY_PER_SECOND * FLOOD_MILLIS / 1_000;
        assertTrue(
                inTime >= MIN_IN_TIME_OF_CAPACITY * possible,
                inTime + " in time of " + possible + " possible, "
                        + flood.stream().filter(caller -> caller.served).count() + " served");
    }

    /**
     * After a short burst, those who come back find slots.
     *
     * @param seed seed of arrivals, lengths and patience
     */
    @Test(dataProvider = "seeds")
    public void callersWhoComeBackAfterABurstAreServed(long seed) {
        start(seed);
        replay(CALM_MILLIS, CALM_PER_SECOND);
        List<Caller> returned = new ArrayList<>();
        for (int burst = 0; burst < BURSTS; burst++) {
            returned.addAll(replay(BURST_MILLIS, 2 * CAPACITY_PER_SECOND));
            replay(CALM_MILLIS, CALM_PER_SECOND);
        }
        returned.removeIf(caller -> !caller.returned);
        long served = returned.stream().filter(caller -> caller.served).count();
        assertTrue(!returned.isEmpty(), "no one came back");
        assertTrue(served >= MIN_SERVED_OF_RETURNED * returned.size(), served + " of " + returned.size() + " served");
    }

    private void start(long seed) {
        replay = new RelayReplay(SLOTS, this::follow);
        random = RandomSource.SPLIT_MIX_64.create(seed);
        asking.clear();
    }

    private List<Caller> replay(long millis, double perSecond) {
        List<Caller> callers = new ArrayList<>();
        replay.run(millis, () -> {
            if (random.nextDouble() * 1_000 < perSecond) {
                double patience = 0.83 + Math.max(0, random.nextDouble() * 0.5 - 0.33);
                Caller caller = new Caller(replay.relay.nowMillis, Math.round(patience * RelayFixture.TIMEOUT_MILLIS));
                callers.add(caller);
                ask(caller);
            }
        });
        return callers;
    }

    private void ask(Caller caller) {
        Arrival shape = replay.relay.arrival(RetrySafety.STREAM, 2);
        Arrival arrival = new Arrival(
                shape.id(),
                shape.queue(),
                shape.route(),
                shape.customer(),
                shape.priority(),
                replay.relay.nowMillis,
                caller.firstMillis + caller.patienceMillis);
        asking.put(arrival.id(), caller);
        replay.step(new RelayEvent.RequestArrived(arrival));
    }

    private void follow(List<RelayAction> actions) {
        long nowMillis = replay.relay.nowMillis;
        for (RelayAction.Send sent : RelayFixture.of(actions, RelayAction.Send.class)) {
            Caller caller = asking.get(sent.id());
            long beginMillis = nowMillis + FIRST_EVENT_MILLIS;
            caller.served = true;
            caller.inTime = beginMillis - caller.firstMillis <= RelayFixture.OBJECTIVE_MILLIS;
            long endMillis = nowMillis + Math.round(SERVICE_MILLIS * (0.5 + random.nextDouble()));
            replay.later(beginMillis, () -> replay.step(new RelayEvent.AnswerStarted(sent.id())));
            for (long at = beginMillis + EVENT_MILLIS; at < endMillis; at += EVENT_MILLIS) {
                replay.later(at, () -> replay.relay.dispatcher.recordProgress(replay.relay.nowMillis, sent.id()));
            }
            replay.later(endMillis, () -> replay.step(new RelayEvent.RequestFinished(sent.id())));
        }
        for (RelayAction.Refuse refusal : RelayFixture.of(actions, RelayAction.Refuse.class)) {
            Caller caller = asking.get(refusal.id());
            if (!caller.returned) {
                caller.returned = true;
                replay.later(nowMillis + refusal.retryAfterMillis(), () -> ask(caller));
            }
        }
    }
}
