package org.apricotdeal.proofs.relay;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.policy.ModelDemand;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Under load, each large replica of a fleet loses members, so that too few VMs remain in each fabric domain for
 * another one. The remaining VMs must serve the callers who are refused, whichever model they ask for.
 */
public final class MovingDemandTest {
    private static final ModelId LARGE = new ModelId("m0");
    private static final ModelId SMALL = new ModelId("m1");
    private static final long START_MILLIS = 19_000;
    /** Twelve small replicas at the start, and one more with the spare of each fabric domain. */
    private static final int WITH_SPARES = 12 + 3;

    /**
     * Nine loads of the small model's weights, of which the weight store serves seven at once, take 24 s; the rest is
     * for leaving, joining and opening.
     */
    private static final long LOAD_AND_FORM_MILLIS = 30_000;

    /** A burst of the small model: besides the pairs with a spare, the VMs left over from large replicas form small ones. */
    @Test
    public void survivorsOfLargeReplicasServeBurstOfSmallModel() {
        SimFleet fleet = startedFleet();
        fleet.demand = new ModelDemand(Map.of(LARGE, 0.2, SMALL, 0.8), Set.of(SMALL));
        loseLargeMembers(fleet, 3);
        fleet.run(LOAD_AND_FORM_MILLIS);
        assertTrue(fleet.servingReplicas("m1") >= WITH_SPARES + 3, fleet.servingReplicas("m1") + fleet.describe());
        assertEquals(fleet.closeOrders(), 0);
    }

    /** Without refusals, a survivor forms a small replica with each spare, and the others wait for their own model. */
    @Test
    public void survivorsWaitWhileNoCallerIsRefused() {
        SimFleet fleet = startedFleet();
        fleet.demand = new ModelDemand(Map.of(LARGE, 0.2, SMALL, 0.8), Set.of());
        loseLargeMembers(fleet, 3);
        fleet.run(LOAD_AND_FORM_MILLIS);
        assertEquals(fleet.servingReplicas("m1"), WITH_SPARES);
        assertEquals(fleet.closeOrders(), 0);
    }

    private static SimFleet startedFleet() {
        SimFleet fleet = new SimFleet(1, SimFleet.Shape.GROWN);
        fleet.beginStartup();
        fleet.run(START_MILLIS);
        fleet.endStartup();
        assertEquals(fleet.servingReplicas("m0"), 3);
        return fleet;
    }

    /** Stops the given number of members of each large replica, but not the head. */
    private static void loseLargeMembers(SimFleet fleet, int perReplica) {
        List<SimVm> lost = fleet.liveVms().stream()
                .filter(vm -> vm.members.size() == 8 && vm.group.isPresent())
                .filter(vm -> vm.group.get().rank() > 0 && vm.group.get().rank() <= perReplica)
                .toList();
        assertEquals(lost.size(), 3 * perReplica);
        lost.forEach(fleet::kill);
    }
}
