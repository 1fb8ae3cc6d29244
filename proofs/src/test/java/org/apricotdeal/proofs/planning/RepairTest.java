package org.apricotdeal.proofs.planning;

import java.util.List;

import org.apricotdeal.catalogue.model.OrderCheck;
import org.apricotdeal.engine.Order;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the planner's repair steps, from the cheapest to the most expensive. */
public final class RepairTest {
    private static final long RUN_MILLIS = 12_000;

    @Test
    public void replacesLostMemberWithWarmSpare() {
        PlannerFixture fixture = fixture(2, 1).addVms("f1", "a1", "a2", "a3").startPlanner("node-1");
        fixture.run(RUN_MILLIS);
        int sentBefore = fixture.sentOrders().size();
        fixture.down("a2");
        fixture.run(2_000);
        assertEquals(fixture.describeReplicas(), List.of("a1 a3"));
        assertTrue(fixture.allMembersJoined(), "members did not join within 2000 ms");
        assertTrue(
                fixture.sentOrders().subList(sentBefore, fixture.sentOrders().size()).stream()
                        .noneMatch(s -> s.order() instanceof Order.Load),
                "weights were loaded although the spare had them: " + fixture.sentOrders());
    }

    @Test
    public void prefersColdSpareToMergingReplicas() {
        PlannerFixture fixture =
                fixture(2, 2).addVms("f1", "a1", "a2", "a3", "a4").startPlanner("node-1");
        fixture.run(RUN_MILLIS);
        assertEquals(fixture.describeReplicas(), List.of("a1 a2", "a3 a4"));
        fixture.down("a2");
        fixture.run(500);
        fixture.up("a2");
        fixture.run(RUN_MILLIS);
        assertEquals(fixture.describeReplicas(), List.of("a1 a2", "a3 a4"));
        assertTrue(fixture.allMembersJoined());
    }

    @Test
    public void mergesSurvivorsOfTwoBrokenReplicas() {
        PlannerFixture fixture =
                fixture(2, 2).addVms("f1", "a1", "a2", "a3", "a4").startPlanner("node-1");
        fixture.run(RUN_MILLIS);
        fixture.down("a2", "a3");
        fixture.run(3_000);
        assertEquals(fixture.describeReplicas(), List.of("a1 a4"));
        assertTrue(fixture.allMembersJoined());
    }

    @Test
    public void spansFabricDomainsAsLastResortAndRegroupsLater() {
        PlannerFixture fixture = fixture(2, 2)
                .addVms("f1", "a1", "a2", "a3")
                .addVms("f2", "b1", "b2")
                .startPlanner("node-1");
        fixture.run(RUN_MILLIS);
        assertEquals(fixture.describeReplicas(), List.of("a1 a2", "b1 b2"));
        fixture.down("b2");
        fixture.run(3_000);
        assertEquals(fixture.describeReplicas(), List.of("a1 a2", "b1 a3 spanning"));
        assertTrue(fixture.allMembersJoined());
        fixture.up("b2");
        fixture.run(RUN_MILLIS);
        assertEquals(fixture.describeReplicas(), List.of("a1 a2", "b1 b2"));
        assertTrue(fixture.allMembersJoined());
    }

    @Test
    public void keepsBrokenReplicaThatCannotBeCompleted() {
        PlannerFixture fixture = fixture(3, 1).addVms("f1", "a1", "a2", "a3").startPlanner("node-1");
        fixture.run(RUN_MILLIS);
        fixture.down("a2");
        fixture.run(5_000);
        assertEquals(fixture.describeReplicas(), List.of("a1 a2 a3"));
    }

    @Test
    public void replacesLeavingMemberOnceReplicaIsDrained() {
        PlannerFixture fixture = fixture(2, 1).addVms("f1", "a1", "a2", "a3").startPlanner("node-1");
        fixture.run(RUN_MILLIS);
        fixture.setRunningRequests("a1", 3);
        fixture.run(200);
        fixture.markLeaving("a2");
        fixture.run(5_000);
        assertEquals(
                fixture.describeReplicas(),
                List.of("a1 a2"),
                "leaving member was replaced while requests were in progress");
        fixture.setRunningRequests("a1", 0);
        fixture.run(2_000);
        assertEquals(fixture.describeReplicas(), List.of("a1 a3"));
        assertTrue(fixture.allMembersJoined());
    }

    @Test
    public void demotesStragglerToSpare() {
        PlannerFixture fixture = fixture(2, 1).addVms("f1", "a1", "a2", "a3").startPlanner("node-1");
        fixture.run(RUN_MILLIS);
        fixture.markStraggler("a1");
        fixture.run(3_000);
        assertEquals(fixture.describeReplicas(), List.of("a3 a2"));
        assertTrue(fixture.allMembersJoined());
    }

    private static PlannerFixture fixture(int vmsPerReplica, int replicas) {
        return new PlannerFixture(OrderCheck.HONOURS_FENCING, vmsPerReplica, replicas);
    }
}
