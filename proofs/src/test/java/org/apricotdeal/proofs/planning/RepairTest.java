package org.apricotdeal.proofs.planning;

import java.util.List;

import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.engine.Order;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what the planner does about losses, cheapest step first. */
public final class RepairTest {
    private static final long SETTLE_MILLIS = 12_000;

    @Test
    public void takesSpareThatHoldsWeights() {
        PlannerBench bench = bench(2, 1).vms("f1", "a1", "a2", "a3").start("node-1");
        bench.run(SETTLE_MILLIS);
        int sentBefore = bench.sent().size();
        bench.down("a2");
        bench.run(2_000);
        assertEquals(bench.replicas(), List.of("a1 a3"));
        assertTrue(bench.isSettled(), "not joined within 2000 ms");
        assertTrue(
                bench.sent().subList(sentBefore, bench.sent().size()).stream()
                        .noneMatch(s -> s.order() instanceof Order.Load),
                "the spare loaded again: " + bench.sent());
    }

    @Test
    public void takesSpareThatMustLoadBeforeItMerges() {
        PlannerBench bench = bench(2, 2).vms("f1", "a1", "a2", "a3", "a4").start("node-1");
        bench.run(SETTLE_MILLIS);
        assertEquals(bench.replicas(), List.of("a1 a2", "a3 a4"));
        bench.down("a2");
        bench.run(500);
        bench.up("a2");
        bench.run(SETTLE_MILLIS);
        assertEquals(bench.replicas(), List.of("a1 a2", "a3 a4"));
        assertTrue(bench.isSettled());
    }

    @Test
    public void mergesSurvivorsOfTwoBrokenReplicas() {
        PlannerBench bench = bench(2, 2).vms("f1", "a1", "a2", "a3", "a4").start("node-1");
        bench.run(SETTLE_MILLIS);
        bench.down("a2", "a3");
        bench.run(3_000);
        assertEquals(bench.replicas(), List.of("a1 a4"));
        assertTrue(bench.isSettled());
    }

    @Test
    public void spansFabricDomainsOnlyLastAndRegroupsLater() {
        PlannerBench bench =
                bench(2, 2).vms("f1", "a1", "a2", "a3").vms("f2", "b1", "b2").start("node-1");
        bench.run(SETTLE_MILLIS);
        assertEquals(bench.replicas(), List.of("a1 a2", "b1 b2"));
        bench.down("b2");
        bench.run(3_000);
        assertEquals(bench.replicas(), List.of("a1 a2", "b1 a3 spanning"));
        assertTrue(bench.isSettled());
        bench.up("b2");
        bench.run(SETTLE_MILLIS);
        assertEquals(bench.replicas(), List.of("a1 a2", "b1 b2"));
        assertTrue(bench.isSettled());
    }

    @Test
    public void keepsBrokenReplicaThatNothingCanComplete() {
        PlannerBench bench = bench(3, 1).vms("f1", "a1", "a2", "a3").start("node-1");
        bench.run(SETTLE_MILLIS);
        bench.down("a2");
        bench.run(5_000);
        assertEquals(bench.replicas(), List.of("a1 a2 a3"));
    }

    @Test
    public void replacesLeavingMemberOnceNothingRunsOnItsReplica() {
        PlannerBench bench = bench(2, 1).vms("f1", "a1", "a2", "a3").start("node-1");
        bench.run(SETTLE_MILLIS);
        bench.load("a1", 3);
        bench.run(200);
        bench.leaving("a2");
        bench.run(5_000);
        assertEquals(bench.replicas(), List.of("a1 a2"), "released while requests were in progress");
        bench.load("a1", 0);
        bench.run(2_000);
        assertEquals(bench.replicas(), List.of("a1 a3"));
        assertTrue(bench.isSettled());
    }

    @Test
    public void demotesStragglerToSpare() {
        PlannerBench bench = bench(2, 1).vms("f1", "a1", "a2", "a3").start("node-1");
        bench.run(SETTLE_MILLIS);
        bench.straggler("a1");
        bench.run(3_000);
        assertEquals(bench.replicas(), List.of("a3 a2"));
        assertTrue(bench.isSettled());
    }

    private static PlannerBench bench(int vmsPerReplica, int replicas) {
        return new PlannerBench(OrderCheck.HONOURS_FENCING, vmsPerReplica, replicas);
    }
}
