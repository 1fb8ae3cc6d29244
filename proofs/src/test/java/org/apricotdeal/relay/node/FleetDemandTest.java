package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.relay.model.CallerLimits;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.peer.FleetDemand;
import org.apricotdeal.relay.policy.ModelDemand;
import org.apricotdeal.relay.policy.QueueDemand;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.wire.gen.TRelayHeartbeat;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * The traffic of two models is spread over thirty nodes in three failure domains, so that the planner of each counts a few
 * requests of the large model. All planners must divide their VMs by what all nodes count.
 */
public final class FleetDemandTest {
    private static final UpstreamId UPSTREAM = new UpstreamId("chat");
    private static final QueueId LARGE = queue("m0");
    private static final QueueId SMALL = queue("m1");
    private static final EngineProfile ENGINE = new EngineProfile(
            14,
            5,
            7.8,
            0.13,
            0.01,
            45.9,
            979,
            154,
            200,
            5,
            7,
            500,
            2.5,
            List.of(
                    new ModelSpec(new ModelId("m0"), 8, 0.5, 1, 16_000, 1_600),
                    new ModelSpec(new ModelId("m1"), 2, 0.5, 0.6, 12_000, 1_100)),
            OptionalLong.empty());
    private static final int DOMAINS = 3;
    private static final int NODES_PER_DOMAIN = 10;
    private static final double WINDOW_SECONDS = 15;

    /** Callers' requests in the window, per node and model; with four times the VMs per slot the large model needs half. */
    private static final double LARGE_PER_NODE = 24;

    private static final double SMALL_PER_NODE = 96;
    private static final double EXPECTED_SHARE = 0.5;
    private static final int SEEDS = 20;

    @Test
    public void plannersOfAllDomainsDivideByDemandOfAllNodes() {
        ModelId large = new ModelId("m0");
        double ownSpread = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
            List<Double> shares = new ArrayList<>();
            List<Double> ownShares = new ArrayList<>();
            for (Map<QueueId, QueueDemand> sum : exchange(random, ownShares)) {
                shares.add(ModelDemand.of(UPSTREAM, ENGINE, sum).shares().get(large));
                assertEquals(sum.get(LARGE).measuredAtMillis(), 0);
            }
            shares.forEach(share -> assertEquals(share, EXPECTED_SHARE, 0.05, shares.toString()));
            assertEquals(spread(shares), 0, 1e-9, shares.toString());
            ownSpread += spread(ownShares) / SEEDS;
        }
        assertTrue(ownSpread > 0.04, "a node's own counts are as good: " + ownSpread);
    }

    private static double spread(List<Double> shares) {
        return shares.stream().mapToDouble(share -> share).max().orElseThrow()
                - shares.stream().mapToDouble(share -> share).min().orElseThrow();
    }

    /** Returns the sum that a node of each failure domain, not its delegate, knows after three heartbeats. */
    private static List<Map<QueueId, QueueDemand>> exchange(UniformRandomProvider random, List<Double> ownShares) {
        List<List<Map<QueueId, QueueDemand>>> nodes = new ArrayList<>();
        List<FleetDemand> delegates = new ArrayList<>();
        for (int domain = 0; domain < DOMAINS; domain++) {
            nodes.add(new ArrayList<>());
            delegates.add(new FleetDemand());
            for (int node = 0; node < NODES_PER_DOMAIN; node++) {
                Map<QueueId, QueueDemand> own =
                        Map.of(LARGE, counted(random, LARGE_PER_NODE), SMALL, counted(random, SMALL_PER_NODE));
                nodes.get(domain).add(own);
                ownShares.add(ModelDemand.of(UPSTREAM, ENGINE, own).shares().get(new ModelId("m0")));
                if (node > 0) {
                    delegates.get(domain).recordNode("n" + node, sent(own), 0);
                }
            }
        }
        for (int from = 0; from < DOMAINS; from++) {
            for (int to = 0; to < DOMAINS; to++) {
                if (from != to) {
                    Map<QueueId, QueueDemand> sum =
                            delegates.get(from).sumOfOwnDomain(nodes.get(from).getFirst(), 0);
                    delegates.get(to).recordDomain(new FailureDomainId("d" + from), sent(sum), 0);
                }
            }
        }
        List<Map<QueueId, QueueDemand>> sums = new ArrayList<>();
        for (int domain = 0; domain < DOMAINS; domain++) {
            FleetDemand follower = new FleetDemand();
            Map<QueueId, QueueDemand> rest =
                    delegates.get(domain).sumWithout(nodes.get(domain).getFirst(), "n1", 0);
            follower.recordRest(sent(rest), 0);
            sums.add(follower.sumWithOthers(nodes.get(domain).get(1), 0));
        }
        return sums;
    }

    /** Returns the demand that a node measures by chance if a number of requests is expected in the window. */
    private static QueueDemand counted(UniformRandomProvider random, double expected) {
        int trials = 1_000;
        int count = 0;
        for (int i = 0; i < trials; i++) {
            count += random.nextDouble() < expected / trials ? 1 : 0;
        }
        return new QueueDemand(count, count / WINDOW_SECONDS, new TreeMap<>(), 2_000, 100, 0);
    }

    /** Returns demand as it arrives by a heartbeat. */
    private static Map<QueueId, QueueDemand> sent(Map<QueueId, QueueDemand> demand) {
        TRelayHeartbeat heartbeat = new TRelayHeartbeat();
        DemandCodec.encode(demand, heartbeat, 0);
        return DemandCodec.decode(heartbeat, 0);
    }

    /** The demand at the planner's own node is none here, so what is logged and divided by is the other nodes'. */
    @Test
    public void plannerDividesByDemandOfOtherNodes() throws InterruptedException {
        SystemClock clock = new SystemClock();
        try (FleetDutyFixture fixture = new FleetDutyFixture(clock)) {
            UpstreamEntry chat = new UpstreamEntry(UPSTREAM, "/h", 50, Optional.of(ENGINE));
            CallerLimits limits = new CallerLimits(16_384, 100_000, 3_000, 15_000);
            fixture.fleet.put(new FleetEvent.CatalogueChanged(
                    new RelayCatalogue(1, List.of(), Map.of(UPSTREAM, chat), Optional.empty(), limits)));
            fixture.fleet.put(new FleetEvent.PeersListed(List.of()));
            for (int beat = 0; beat < 20; beat++) {
                QueueDemand demand = demand(70, Map.of(1, 3.0), clock.monotonicMillis());
                fixture.fleet.peerDemand().recordRest(Map.of(LARGE, demand), clock.monotonicMillis());
                Thread.sleep(100);
            }
            fixture.awaitLog("model=m0 sharePercent=98 askedPerSecond=70.0 wantedSlots=140.0");
        }
    }

    @Test
    public void oldAndSilentNodesCountAsNothing() {
        FleetDemand delegate = new FleetDemand();
        delegate.recordNode("n1", Map.of(LARGE, demand(2, Map.of(), 0)), 0);
        delegate.recordNode("n2", Map.of(LARGE, demand(3, Map.of(0, 1.0), 900)), 1_000);
        delegate.recordNode("n3", Map.of(), 1_000);
        Map<QueueId, QueueDemand> own = Map.of(LARGE, demand(5, Map.of(0, 0.5, 2, 2.0), 1_000));
        QueueDemand all = delegate.sumWithOthers(own, 1_400).get(LARGE);
        assertEquals(all.newRequestsPerSecond(), 10.0);
        assertEquals(all.refusedPerSecond(), Map.of(0, 1.5, 2, 2.0));
        assertEquals(delegate.sumWithOthers(own, 1_600).get(LARGE).newRequestsPerSecond(), 8.0);
        assertEquals(delegate.sumWithOthers(own, 2_600), own);
        // Two nodes that report each other's figures back keep them fresh by receipt, but not by age.
        delegate.recordRest(Map.of(LARGE, demand(9, Map.of(), 1_000)), 6_000);
        assertEquals(delegate.sumWithOthers(own, 6_100), own);
    }

    @Test
    public void excludedNodeIsSubtractedOnce() {
        FleetDemand node = new FleetDemand();
        node.recordRest(Map.of(LARGE, demand(9, Map.of(0, 2.0), 0), SMALL, demand(1, Map.of(), 0)), 0);
        node.recordNode("n1", Map.of(LARGE, demand(4, Map.of(0, 0.5), 0), SMALL, demand(2, Map.of(), 0)), 0);
        Map<QueueId, QueueDemand> sum = node.sumWithout(Map.of(), "n1", 100);
        assertEquals(sum, Map.of(LARGE, demand(5, Map.of(0, 1.5), 0)));
    }

    @Test
    public void heartbeatsCarryBoundedDemandOnTheClockOfTheReceiver() {
        Map<QueueId, QueueDemand> demand = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            demand.put(queue("m" + i), demand(i, Map.of(1, 0.5), 4_000));
        }
        TRelayHeartbeat heartbeat = new TRelayHeartbeat();
        DemandCodec.encode(demand, heartbeat, 5_000);
        Map<QueueId, QueueDemand> arrived = DemandCodec.decode(heartbeat, 905_000);
        assertEquals(arrived.size(), 64);
        assertEquals(arrived.get(queue("m99")), demand(99, Map.of(1, 0.5), 904_000));
        heartbeat.getDemand().getFirst().setServiceMillis(Double.NaN);
        assertEquals(DemandCodec.decode(heartbeat, 0).size(), 63);
        assertEquals(DemandCodec.decode(new TRelayHeartbeat(), 0).keySet(), Set.of());
    }

    private static QueueDemand demand(double perSecond, Map<Integer, Double> refused, long atMillis) {
        return new QueueDemand(15 * perSecond, perSecond, new TreeMap<>(refused), 2_000, 0, atMillis);
    }

    private static QueueId queue(String model) {
        return new QueueId(UPSTREAM, Optional.of(new ModelId(model)));
    }
}
