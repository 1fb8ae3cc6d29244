package org.apricotdeal.proofs.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Replays a load that one replica cannot carry: an urgent class with long answers and a tight objective beside a less urgent
 * one with short answers and a wide one, as after the loss of most replicas of a model.
 */
public final class ClassesUnderLoadTest {
    private static final int SLOTS = 17;
    private static final long RUN_MILLIS = 120_000;
    private static final long FIRST_EVENT_MILLIS = 170;

    /** The users' bound: no class is more than five points behind a less urgent one of its service. */
    private static final double MAX_BEHIND = 0.05;

    /** A class of the load. */
    private enum Kind {
        URGENT(1, 400, 1_300),
        LATER(2, 1_000, 400);

        private final int priority;
        private final long objectiveMillis;
        private final long serviceMillis;

        Kind(int priority, long objectiveMillis, long serviceMillis) {
            this.priority = priority;
            this.objectiveMillis = objectiveMillis;
            this.serviceMillis = serviceMillis;
        }
    }

    private final Map<ExchangeId, Arrival> arrivals = new HashMap<>();
    private final Map<ExchangeId, Kind> kinds = new HashMap<>();
    private final Map<Kind, Integer> asked = new HashMap<>();
    private final Map<Kind, Integer> inTime = new HashMap<>();
    private RelayReplay replay;
    private UniformRandomProvider random;

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {{21.0, 21.0, 1L}, {21.0, 21.0, 2L}, {10.0, 30.0, 3L}, {16.0, 42.0, 4L}};
    }

    /**
     * The urgent class is served as well as the other at least.
     *
     * @param urgentPerSecond requests of the urgent class
     * @param laterPerSecond requests of the other class
     * @param seed seed of arrivals and lengths
     */
    @Test(dataProvider = "loads")
    public void urgentClassIsNotBehindALessUrgentOne(double urgentPerSecond, double laterPerSecond, long seed) {
        replay(Map.of(Kind.URGENT, urgentPerSecond, Kind.LATER, laterPerSecond), seed);
        double urgent = served(Kind.URGENT);
        double later = served(Kind.LATER);
        assertTrue(urgent >= later - MAX_BEHIND, "urgent " + urgent + ", later " + later);
    }

    /** Where the urgent class leaves room, the other uses it. */
    @Test
    public void lessUrgentClassIsServedWhereThereIsRoom() {
        replay(Map.of(Kind.URGENT, 5.0, Kind.LATER, 15.0), 5);
        assertTrue(served(Kind.LATER) > 0.95, "later " + served(Kind.LATER));
        assertTrue(served(Kind.URGENT) > 0.95, "urgent " + served(Kind.URGENT));
    }

    private double served(Kind kind) {
        return inTime.getOrDefault(kind, 0) / (double) asked.get(kind);
    }

    private void replay(Map<Kind, Double> perSecond, long seed) {
        replay = new RelayReplay(SLOTS, this::follow);
        random = RandomSource.SPLIT_MIX_64.create(seed);
        asked.clear();
        inTime.clear();
        replay.run(RUN_MILLIS, () -> {
            for (Kind kind : Kind.values()) {
                if (random.nextDouble() * 1_000 < perSecond.get(kind)) {
                    arrive(kind);
                }
            }
        });
    }

    private void arrive(Kind kind) {
        Arrival arrival = replay.relay.arrival(kind.priority, kind.objectiveMillis);
        arrivals.put(arrival.id(), arrival);
        kinds.put(arrival.id(), kind);
        asked.merge(kind, 1, Integer::sum);
        replay.step(new RelayEvent.RequestArrived(arrival));
    }

    /** An answer's length is spread evenly between half and one and a half of its mean; events come all the time. */
    private void follow(List<RelayAction> actions) {
        for (RelayAction.Send sent : RelayFixture.of(actions, RelayAction.Send.class)) {
            Kind kind = kinds.get(sent.id());
            long nowMillis = replay.relay.nowMillis;
            long beginMillis = nowMillis + FIRST_EVENT_MILLIS;
            if (beginMillis - arrivals.get(sent.id()).arrivedMillis() <= kind.objectiveMillis) {
                inTime.merge(kind, 1, Integer::sum);
            }
            long endMillis = nowMillis + Math.round(kind.serviceMillis * (0.5 + random.nextDouble()));
            replay.later(beginMillis, () -> replay.step(new RelayEvent.AnswerStarted(sent.id())));
            replay.later(
                    Math.max(beginMillis, endMillis), () -> replay.step(new RelayEvent.RequestFinished(sent.id())));
        }
    }
}
