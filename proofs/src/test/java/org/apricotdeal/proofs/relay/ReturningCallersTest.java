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
 * Replays callers that return once after a refusal, at the time they were told: a calm period, an overload of twice
 * the capacity of the replica, and another calm period.
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

    /** Requests per second that the slots can serve. */
    private static final double CAPACITY_PER_SECOND = SLOTS * 1_000.0 / SERVICE_MILLIS;

    /**
     * During an overload a caller is waiting whenever a slot becomes free, so at least nine tenths of the capacity
     * can serve callers in time.
     */
    private static final double MIN_IN_TIME_OF_CAPACITY = 0.9;

    /** A short burst refuses no more callers than the slots can serve before the callers have to return. */
    private static final double MIN_SERVED_OF_RETURNED = 0.9;

    /** A caller and its result. */
    private static final class Caller {
        private final long firstMillis;
        private final long timeoutMillis;
        private boolean returned;
        private boolean served;
        private boolean inTime;

        Caller(long firstMillis, long timeoutMillis) {
            this.firstMillis = firstMillis;
            this.timeoutMillis = timeoutMillis;
        }
    }

    private final Map<ExchangeId, Caller> callersByExchange = new HashMap<>();
    private RelayReplay replay;
    private UniformRandomProvider random;

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /**
     * Callers served in time occupy the slots, although as many callers return too late as are refused.
     *
     * @param seed seed for arrivals, answer lengths and time limits of callers
     */
    @Test(dataProvider = "seeds")
    public void overloadedSlotsServeCallersInTime(long seed) {
        reset(seed);
        replay(CALM_MILLIS, CALM_PER_SECOND);
        List<Caller> flood = replay(FLOOD_MILLIS, 2 * CAPACITY_PER_SECOND);
        long inTime = flood.stream().filter(caller -> caller.inTime).count();
        double possible = CAPACITY_PER_SECOND * FLOOD_MILLIS / 1_000;
        assertTrue(
                inTime >= MIN_IN_TIME_OF_CAPACITY * possible,
                inTime + " served in time, out of " + possible + " possible; "
                        + flood.stream().filter(caller -> caller.served).count() + " served");
    }

    /**
     * Callers that return after a short burst find free slots.
     *
     * @param seed seed for arrivals, answer lengths and time limits of callers
     */
    @Test(dataProvider = "seeds")
    public void callersReturningAfterABurstAreServed(long seed) {
        reset(seed);
        replay(CALM_MILLIS, CALM_PER_SECOND);
        List<Caller> returned = new ArrayList<>();
        for (int burst = 0; burst < BURSTS; burst++) {
            returned.addAll(replay(BURST_MILLIS, 2 * CAPACITY_PER_SECOND));
            replay(CALM_MILLIS, CALM_PER_SECOND);
        }
        returned.removeIf(caller -> !caller.returned);
        long served = returned.stream().filter(caller -> caller.served).count();
        assertTrue(!returned.isEmpty(), "no caller returned");
        assertTrue(served >= MIN_SERVED_OF_RETURNED * returned.size(), served + " of " + returned.size() + " served");
    }

    private void reset(long seed) {
        replay = new RelayReplay(SLOTS, this::handleActions);
        random = RandomSource.SPLIT_MIX_64.create(seed);
        callersByExchange.clear();
    }

    private List<Caller> replay(long millis, double perSecond) {
        List<Caller> callers = new ArrayList<>();
        replay.run(millis, () -> {
            if (random.nextDouble() * 1_000 < perSecond) {
                double timeoutShare = 0.83 + Math.max(0, random.nextDouble() * 0.5 - 0.33);
                Caller caller =
                        new Caller(replay.relay.nowMillis, Math.round(timeoutShare * RelayFixture.TIMEOUT_MILLIS));
                callers.add(caller);
                sendRequest(caller);
            }
        });
        return callers;
    }

    private void sendRequest(Caller caller) {
        Arrival template = replay.relay.arrival(RetrySafety.STREAM, 2);
        Arrival arrival = new Arrival(
                template.id(),
                template.queue(),
                template.route(),
                template.sharedParts(),
                template.customer(),
                template.priority(),
                replay.relay.nowMillis,
                caller.firstMillis + caller.timeoutMillis);
        callersByExchange.put(arrival.id(), caller);
        replay.step(new RelayEvent.RequestArrived(arrival));
    }

    private void handleActions(List<RelayAction> actions) {
        long nowMillis = replay.relay.nowMillis;
        for (RelayAction.Send sent : RelayFixture.actionsOfType(actions, RelayAction.Send.class)) {
            Caller caller = callersByExchange.get(sent.id());
            long beginMillis = nowMillis + FIRST_EVENT_MILLIS;
            caller.served = true;
            caller.inTime = beginMillis - caller.firstMillis <= RelayFixture.OBJECTIVE_MILLIS;
            long endMillis = nowMillis + Math.round(SERVICE_MILLIS * (0.5 + random.nextDouble()));
            replay.schedule(beginMillis, () -> replay.step(new RelayEvent.AnswerStarted(sent.attempt())));
            for (long at = beginMillis + EVENT_MILLIS; at < endMillis; at += EVENT_MILLIS) {
                replay.schedule(
                        at, () -> replay.relay.dispatcher.recordProgress(replay.relay.nowMillis, sent.attempt()));
            }
            replay.schedule(endMillis, () -> replay.step(new RelayEvent.RequestFinished(sent.attempt())));
        }
        for (RelayAction.Refuse refusal : RelayFixture.actionsOfType(actions, RelayAction.Refuse.class)) {
            Caller caller = callersByExchange.get(refusal.id());
            if (!caller.returned) {
                caller.returned = true;
                replay.schedule(nowMillis + refusal.retryAfterMillis(), () -> sendRequest(caller));
            }
        }
    }
}
