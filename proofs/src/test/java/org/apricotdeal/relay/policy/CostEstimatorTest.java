package org.apricotdeal.relay.policy;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.RequestSize;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.model.RouteEntry;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Answers that differ by a factor of ten, with stated lengths that are right, wrong or missing. */
public final class CostEstimatorTest {
    private static final double TOKEN_MILLIS = 8;
    private static final int ANSWERS = 300;
    private static final QueueId QUEUE = new QueueId(new UpstreamId("chat"), Optional.of(new ModelId("m0")));

    private final UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(5);

    private static CostEstimator estimator() {
        return new CostEstimator(new EngineTimes(0.05, 10, TOKEN_MILLIS, 100));
    }

    private static Arrival arrival(String customer) {
        RouteEntry route =
                new RouteEntry("route", "host", "/", RetrySafety.STREAM, true, 8_000, 400, 300, 1, true, 2, List.of());
        return new Arrival(new ExchangeId(1), QUEUE, route, List.of(), customer, 1, 0, 8_000);
    }

    private static RequestSize size(int hint) {
        return new RequestSize(1_000, 1_000, OptionalInt.of(hint));
    }

    private static double answerMillis(CostEstimator costs, String customer, RequestSize size) {
        return costs.estimate(arrival(customer), size).answerMillis();
    }

    /** Right hints are followed over a factor of ten. */
    @Test
    public void rightHintsAreFollowed() {
        CostEstimator costs = estimator();
        for (int i = 0; i < ANSWERS; i++) {
            int tokens = random.nextBoolean() ? 40 : 400;
            costs.learn(arrival("a"), size(tokens), Math.round(TOKEN_MILLIS * tokens));
        }
        assertEquals(answerMillis(costs, "a", size(40)), 40 * TOKEN_MILLIS, 40 * TOKEN_MILLIS / 4);
        assertEquals(answerMillis(costs, "a", size(400)), 400 * TOKEN_MILLIS, 400 * TOKEN_MILLIS / 4);
    }

    /** Hints that say nothing about the answers leave the mean of the route. */
    @Test
    public void randomHintsAreIgnored() {
        CostEstimator costs = estimator();
        for (int i = 0; i < ANSWERS; i++) {
            int tokens = random.nextBoolean() ? 40 : 400;
            costs.learn(arrival("a"), size(random.nextBoolean() ? 40 : 400), Math.round(TOKEN_MILLIS * tokens));
        }
        double few = answerMillis(costs, "a", size(40));
        double many = answerMillis(costs, "a", size(400));
        assertTrue(many < 2 * few, few + " ms for few tokens, " + many + " ms for many");
        assertEquals((few + many) / 2, 220 * TOKEN_MILLIS, 220 * TOKEN_MILLIS / 2);
    }

    /** A request that is not sent leaves nothing behind, and gets the estimate that it would get if it were sent. */
    @Test
    public void previewKeepsNothing() {
        CostEstimator asked = estimator();
        CostEstimator other = estimator();
        for (int i = 0; i < ANSWERS; i++) {
            RequestSize size = new RequestSize(1_000, 100 + random.nextInt(900), OptionalInt.empty());
            RequestSize others = new RequestSize(1_000, 10 + random.nextInt(50), OptionalInt.empty());
            assertTrue(asked.preview(arrival("b"), others).answerMillis() > 0);
            RequestCost previewed = asked.preview(arrival("a"), size);
            assertEquals(previewed, other.estimate(arrival("a"), size));
            assertEquals(asked.estimate(arrival("a"), size), previewed);
            long answeredMillis = 100 + random.nextLong(3_000);
            asked.learn(arrival("a"), size, answeredMillis);
            other.learn(arrival("a"), size, answeredMillis);
        }
    }

    /** Customers whose requests look alike are told apart by their answers. */
    @Test
    public void customersAreToldApart() {
        CostEstimator costs = estimator();
        for (int i = 0; i < ANSWERS; i++) {
            costs.learn(arrival("brief"), size(100), Math.round(TOKEN_MILLIS * 40));
            costs.learn(arrival("long"), size(100), Math.round(TOKEN_MILLIS * 400));
        }
        double brief = answerMillis(costs, "brief", size(100));
        double lengthy = answerMillis(costs, "long", size(100));
        assertTrue(lengthy > 5 * brief, brief + " ms and " + lengthy + " ms");
    }

    /** A hint beyond the maximum length does not count, and an answer never costs more than that length. */
    @Test
    public void estimateKeepsToTheMaximumLength() {
        RequestSize size = new RequestSize(0, 10, OptionalInt.of(1_000_000));
        assertTrue(answerMillis(estimator(), "a", size) <= 10 * TOKEN_MILLIS);
    }

    /** A target that was slow and receives nothing is taken for an ordinary one after a while. */
    @Test
    public void paceIsLearnedAndForgotten() {
        TargetPace pace = new TargetPace();
        for (int i = 0; i < 40; i++) {
            pace.add(600, 150, i * 100L);
        }
        assertTrue(pace.factor(4_000) > 2, "slow " + pace.factor(4_000));
        assertTrue(pace.factor(34_000) < 1.1, "after 30 s " + pace.factor(34_000));
    }
}
