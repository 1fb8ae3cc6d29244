package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.relay.model.CallerLimits;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.RequestSize;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Replays loads in which requests that look alike cost ten times as much as others, VMs run at uneven pace, and callers'
 * estimates are wrong. The same load is replayed with the stated sizes, and without them, which is the choice by counts.
 */
public final class RequestCostTest {
    private static final int TARGETS = 8;
    private static final int SLOTS = 8;
    private static final double FIRST_EVENT_MILLIS = 110;
    private static final double READ_TOKENS_PER_MILLI = 20;
    private static final double TOKEN_MILLIS = 8;
    private static final int MAX_ANSWER_TOKENS = 800;
    private static final String LARGE_PROMPT = "prompt";
    private static final int LARGE_PROMPT_TOKENS = 4_000;
    private static final long RUN_MILLIS = 180_000;
    private static final int TICK_MILLIS = 25;

    /** Share of requests that a customer may lose to the gain of others; within the variation of a replay. */
    private static final double MAX_LOSS = 0.01;

    /** A load: requests per second, factors of the slow targets, and the variation of the callers' estimates. */
    private record Load(double perSecond, double slowness, double hintDeviation) {}

    /** Requests of a customer: how many began, how many of them in time, and the sum of their times. */
    private static final class Outcome {
        private int requests;
        private int inTime;
        private final List<Long> firstEventMillis = new ArrayList<>();

        double inTimeShare() {
            return inTime / (double) requests;
        }

        double meanMillis() {
            return firstEventMillis.stream()
                    .mapToLong(Long::longValue)
                    .average()
                    .orElse(0);
        }
    }

    private record Step(long atMillis, long order, Runnable action) {}

    private final PriorityQueue<Step> steps = new PriorityQueue<>((a, b) -> a.atMillis() != b.atMillis()
            ? Long.compare(a.atMillis(), b.atMillis())
            : Long.compare(a.order(), b.order()));
    private final Map<TargetId, double[]> readUntilMillis = new HashMap<>();
    private final Map<ExchangeId, Arrival> arrivals = new HashMap<>();
    private final Map<ExchangeId, Integer> answerTokens = new HashMap<>();
    private Map<String, Outcome> outcomes;
    private RelayFixture relay;
    private double slowness;
    private long lastOrder;

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {"uneven cost", new Load(40, 1, 0.5)},
            {"uneven pace", new Load(34, 3, 0.5)},
            {"wrong hints", new Load(34, 3, 2.5)},
            {"overload", new Load(60, 3, 1)},
        };
    }

    /**
     * With known costs more callers see the first event in time, and neither kind of customer pays for it.
     *
     * @param name name of the load
     * @param load the load
     */
    @Test(dataProvider = "loads")
    public void knownCostServesCallersAtLeastAsWell(String name, Load load) {
        int inTime = 0;
        int inTimeByCount = 0;
        double millis = 0;
        double millisByCount = 0;
        for (long seed : new long[] {1, 2, 3}) {
            Map<String, Outcome> byCount = replay(load, seed, false);
            Map<String, Outcome> byCost = replay(load, seed, true);
            for (String customer : List.of("brief", "long", LARGE_PROMPT)) {
                Outcome before = byCount.get(customer);
                Outcome after = byCost.get(customer);
                inTime += after.inTime;
                inTimeByCount += before.inTime;
                millis += after.meanMillis();
                millisByCount += before.meanMillis();
                assertTrue(
                        after.inTimeShare() >= before.inTimeShare() - MAX_LOSS,
                        name + ", seed " + seed + ", customer " + customer + ": " + before.inTimeShare() + " to "
                                + after.inTimeShare());
            }
        }
        assertTrue(inTime >= inTimeByCount, name + ": " + inTimeByCount + " to " + inTime);
        assertTrue(millis <= millisByCount, name + ": " + millisByCount + " to " + millis);
    }

    private Map<String, Outcome> replay(Load load, long seed, boolean sizesStated) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        ZigguratSampler.NormalizedGaussian gaussian = ZigguratSampler.NormalizedGaussian.of(random);
        slowness = load.slowness();
        steps.clear();
        readUntilMillis.clear();
        outcomes = new HashMap<>(Map.of("brief", new Outcome(), "long", new Outcome(), LARGE_PROMPT, new Outcome()));
        relay = new RelayFixture(100, seed);
        relay.step(new RelayEvent.CatalogueChanged(catalogue()));
        relay.setTargets(targets());
        for (long end = relay.nowMillis + RUN_MILLIS; relay.nowMillis < end; relay.nowMillis++) {
            while (!steps.isEmpty() && steps.peek().atMillis() <= relay.nowMillis) {
                steps.poll().action().run();
            }
            if (random.nextDouble() * 1_000 < load.perSecond()) {
                boolean brief = random.nextDouble() < 0.8;
                double tokens = (brief ? 40 : 400) * Math.exp(0.3 * gaussian.sample());
                double hint = tokens * Math.exp(load.hintDeviation() * gaussian.sample());
                int promptTokens = random.nextDouble() < 0.2 ? LARGE_PROMPT_TOKENS : 400;
                arrive(brief ? "brief" : "long", promptTokens, tokens, hint, sizesStated);
            }
            if (relay.nowMillis % TICK_MILLIS == 0) {
                step(new RelayEvent.Tick());
            }
        }
        return outcomes;
    }

    private void arrive(String customer, int promptTokens, double tokens, double hint, boolean sizeStated) {
        Arrival plain = relay.arrival(1, RelayFixture.OBJECTIVE_MILLIS);
        Arrival unsized = new Arrival(
                plain.id(),
                plain.queue(),
                plain.route(),
                plain.sharedParts(),
                customer,
                plain.priority(),
                plain.arrivedMillis(),
                plain.deadlineMillis());
        RequestSize size = new RequestSize(
                promptTokens, MAX_ANSWER_TOKENS, OptionalInt.of((int) Math.min(10_000, Math.max(1, hint))));
        arrivals.put(plain.id(), unsized.withSize(size));
        answerTokens.put(plain.id(), (int) Math.min(MAX_ANSWER_TOKENS, Math.max(1, tokens)));
        groups(arrivals.get(plain.id())).forEach(group -> group.requests++);
        step(new RelayEvent.RequestArrived(sizeStated ? unsized.withSize(size) : unsized));
    }

    private void step(RelayEvent event) {
        for (RelayAction.Send sent : RelayFixture.actionsOfType(relay.step(event), RelayAction.Send.class)) {
            Arrival arrival = arrivals.get(sent.id());
            double pace = pace(sent.target().id());
            double[] readUntil = readUntilMillis.computeIfAbsent(sent.target().id(), id -> new double[1]);
            int promptTokens = arrival.size().orElseThrow().promptTokens();
            readUntil[0] =
                    Math.max((double) relay.nowMillis, readUntil[0]) + pace * promptTokens / READ_TOKENS_PER_MILLI;
            long beginMillis = Math.round(readUntil[0] + pace * FIRST_EVENT_MILLIS);
            long endMillis = beginMillis + Math.round(pace * TOKEN_MILLIS * answerTokens.get(sent.id()));
            long tookMillis = beginMillis - arrival.arrivedMillis();
            groups(arrival).forEach(group -> {
                group.firstEventMillis.add(tookMillis);
                group.inTime += tookMillis <= arrival.route().objectiveMillis() ? 1 : 0;
            });
            schedule(beginMillis, () -> step(new RelayEvent.AnswerStarted(sent.attempt())));
            for (long at = relay.nowMillis; at < endMillis; at += 100) {
                long progressMillis = at;
                schedule(at, () -> relay.dispatcher.recordProgress(progressMillis, sent.attempt()));
            }
            schedule(endMillis, () -> step(new RelayEvent.RequestFinished(sent.attempt())));
        }
    }

    private List<Outcome> groups(Arrival arrival) {
        Outcome ofCustomer = outcomes.get(arrival.customer());
        boolean large = arrival.size().orElseThrow().promptTokens() == LARGE_PROMPT_TOKENS;
        return large ? List.of(ofCustomer, outcomes.get(LARGE_PROMPT)) : List.of(ofCustomer);
    }

    private void schedule(long atMillis, Runnable action) {
        steps.add(new Step(atMillis, ++lastOrder, action));
    }

    /** A quarter of the targets are slow. */
    private double pace(TargetId target) {
        return target.vm().value().endsWith("0") || target.vm().value().endsWith("4") ? slowness : 1;
    }

    private static Target[] targets() {
        Target[] targets = new Target[TARGETS];
        Arrays.setAll(targets, i -> RelayFixture.target("v" + i, SLOTS));
        return targets;
    }

    static RelayCatalogue catalogue() {
        EngineProfile engine = new EngineProfile(
                SLOTS,
                1,
                TOKEN_MILLIS,
                0,
                0,
                READ_TOKENS_PER_MILLI,
                1_100,
                112,
                0,
                5,
                7,
                300,
                2.5,
                List.of(),
                OptionalLong.empty());
        UpstreamEntry upstream = new UpstreamEntry(RelayFixture.QUEUE.upstream(), "/health", 100, Optional.of(engine));
        return new RelayCatalogue(
                1,
                List.of(),
                Map.of(upstream.id(), upstream),
                Optional.empty(),
                new CallerLimits(16_384, 100_000, 3_000, 15_000));
    }
}
