package org.apricotdeal.proofs.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.policy.limits.CapacitySplit;
import org.apricotdeal.policy.routing.AffinityRouter;
import org.apricotdeal.policy.routing.LeastInFlightRouter;
import org.apricotdeal.policy.routing.RoundRobinRouter;
import org.apricotdeal.policy.routing.Router;
import org.apricotdeal.policy.routing.StragglerDetector;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.policy.routing.TargetHealth;
import org.apricotdeal.policy.routing.TargetId;
import org.apricotdeal.policy.routing.TargetState;
import org.apricotdeal.policy.routing.TwoChoicesRouter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

/** Tests the routers, the load estimate, the detection of stragglers and the split of capacity. */
public final class RouterTest {
    private static final long PREFIX = 42;

    @DataProvider
    public Object[][] routers() {
        return new Object[][] {
            {new RoundRobinRouter()},
            {new LeastInFlightRouter()},
            {new TwoChoicesRouter(RandomSource.XO_RO_SHI_RO_128_PP.create(1))},
            {affinity(1)}
        };
    }

    @Test(dataProvider = "routers")
    public void neverChoosesFullOrLeavingTarget(Router router) {
        List<TargetState> targets = targets(4, 2);
        targets.get(1).dispatched(0);
        targets.get(1).dispatched(0);
        Target leaving = targets.get(2).target();
        targets.get(2)
                .update(new Target(leaving.id(), leaving.upstream(), leaving.failureDomain(), 2, TargetHealth.LEAVING));
        for (int i = 0; i < 4; i++) {
            TargetState chosen = router.choose(targets, i).orElseThrow();
            assertTrue(
                    chosen == targets.get(0) || chosen == targets.get(3),
                    chosen.target().toString());
            chosen.dispatched(i);
        }
        assertTrue(router.choose(targets, PREFIX).isEmpty());
    }

    @Test
    public void allNodesChooseSameTargetForPrefixUntilItIsLoaded() {
        List<TargetState> targets = targets(7, 100);
        TargetState first = affinity(1).choose(targets, PREFIX).orElseThrow();
        TargetState second = affinity(2).choose(targets, PREFIX).orElseThrow();
        assertEquals(first.target(), second.target());
        for (int i = 0; i < 20; i++) {
            first.dispatched(i);
        }
        TargetState other = affinity(1).choose(targets, PREFIX).orElseThrow();
        assertNotEquals(other.target(), first.target());
    }

    @Test
    public void cacheEventsChangePreferredTarget() {
        List<TargetState> targets = targets(5, 100);
        AffinityRouter router = affinity(1);
        TargetId usual = router.choose(targets, PREFIX).orElseThrow().target().id();
        TargetId holder = targets.stream()
                .map(state -> state.target().id())
                .filter(id -> !id.equals(usual))
                .findFirst()
                .orElseThrow();
        router.cacheChanged(holder, PREFIX, true);
        assertEquals(router.choose(targets, PREFIX).orElseThrow().target().id(), holder);
        router.cacheChanged(holder, PREFIX, false);
        assertEquals(router.choose(targets, PREFIX).orElseThrow().target().id(), usual);
    }

    @Test
    public void delayedReportCountsOnlyRequestsOfOtherNodes() {
        TargetState state = targets(1, 100).getFirst();
        for (int i = 0; i < 10; i++) {
            state.dispatched(1_000L + i);
        }
        state.loadReported(14, 0, 1_004);
        assertEquals(state.estimatedLoad(), 19.0, 1e-9, "9 requests of other nodes at 1004 ms and 10 own requests now");
        state.released(6_000);
        assertEquals(state.estimatedLoad(), 18.0, 1e-9);
    }

    @Test
    public void stragglerGetsFewerSlotsAndIsDetectedUnderLoad() {
        List<TargetState> targets = targets(5, 16);
        for (TargetState state : targets) {
            state.observeInterval(90);
        }
        assertTrue(StragglerDetector.updateSpeeds(targets, 2.0).isEmpty(), "equally loaded targets are not stragglers");
        TargetState slow = targets.get(3);
        for (int i = 0; i < 100; i++) {
            slow.observeInterval(360);
        }
        assertEquals(StragglerDetector.updateSpeeds(targets, 2.0), List.of(slow));
        assertEquals(slow.slots(), 4);
        for (int i = 0; i < 100; i++) {
            slow.observeInterval(90);
        }
        assertEquals(StragglerDetector.updateSpeeds(targets, 2.0), List.of(slow));
        assertEquals(slow.slots(), 16);
    }

    @Test
    public void splitOfStreamsAddsUpToTargetCapacity() {
        List<NodeId> nodes = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            nodes.add(new NodeId(String.format("node-%02d", i)));
        }
        Map<NodeId, Integer> sums = new HashMap<>();
        for (int t = 0; t < 200; t++) {
            TargetId target = new TargetId("target-" + t);
            int sum = 0;
            for (NodeId node : nodes) {
                int part = CapacitySplit.streamsOf(16, target, nodes, node);
                sums.merge(node, part, Integer::sum);
                sum += part;
            }
            assertEquals(sum, 16);
        }
        for (int sum : sums.values()) {
            assertTrue(sum > 60 && sum < 160, "remainders should spread over the nodes: " + sums);
        }
    }

    private static AffinityRouter affinity(long seed) {
        return new AffinityRouter(RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    }

    private static List<TargetState> targets(int count, int streams) {
        List<TargetState> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(new TargetState(new Target(
                    new TargetId("target-" + i),
                    new UpstreamId("model"),
                    new FailureDomainId("a"),
                    streams,
                    TargetHealth.HEALTHY)));
        }
        return targets;
    }
}
