package org.apricotdeal.proofs.relay;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Replicas are formed, repaired and kept whole, whatever becomes of VMs, orders and planners. */
public final class ReplicaPlannerTest {
    private static final int SEEDS = 40;

    /** Time that a fleet has from its start to its first request, as the users' pages say for their large fleets. */
    private static final long BEFORE_TRAFFIC_MILLIS = 19_000;

    /** VMs of a fleet that starts register one after the other, over some five seconds. */
    private static final long VM_EACH_MILLIS = 300;

    private static SimFleet started(long seed) {
        SimFleet fleet = new SimFleet(seed);
        fleet.beforeTraffic = true;
        fleet.run(200_000);
        fleet.beforeTraffic = false;
        return fleet;
    }

    @Test
    public void startFormsReplicasOfBothModelsAndKeepsSpares() {
        SimFleet fleet = started(1);
        assertEquals(fleet.serving("m0"), 3);
        assertEquals(fleet.serving("m1"), 6);
        assertEquals(
                fleet.live().stream()
                        .filter(vm -> vm.group.isEmpty() && vm.staged.isPresent())
                        .count(),
                6);
    }

    /**
     * Stagings under way once left no room for a join of eight loads, and were never ended while it waited.
     *
     * @param seed seed of the entries' delays
     */
    @Test(dataProvider = "seeds")
    public void largeReplicasAreFormedBeforeTrafficBesideStagings(long seed) {
        SimFleet.Shape shape = SimFleet.Shape.GROWN;
        SimFleet fleet = new SimFleet(seed, shape, 2);
        fleet.beginStart();
        long startedMillis = fleet.nowMillis;
        for (int perFabric = 2; perFabric < shape.vmsPerFabric(); perFabric++) {
            fleet.run(VM_EACH_MILLIS);
            for (int fabric = 0; fabric < 3; fabric++) {
                fleet.add(fabric);
            }
        }
        fleet.run(startedMillis + BEFORE_TRAFFIC_MILLIS - fleet.nowMillis);
        fleet.endStart();
        assertEquals(fleet.serving("m0"), 3, fleet.describe());
        assertEquals(fleet.serving("m1"), 12, fleet.describe());
    }

    @Test
    public void replicaOfFourIsRepairedByItsSpareWithinSeconds() {
        SimFleet fleet = started(2);
        SimVm member = fleet.live().stream()
                .filter(vm -> vm.members.size() == 4 && vm.group.orElseThrow().rank() == 2)
                .findFirst()
                .orElseThrow();
        fleet.kill(member);
        fleet.run(4_000);
        assertEquals(fleet.serving("m0"), 3, fleet.describe());
    }

    @Test
    public void survivorsOfALostHeadWaitUntilItCannotBeOpenAndThenServeAgain() {
        SimFleet fleet = started(3);
        SimVm head = fleet.live().stream()
                .filter(vm -> vm.members.size() == 4 && vm.group.orElseThrow().rank() == 0)
                .findFirst()
                .orElseThrow();
        fleet.kill(head);
        fleet.run(3_000);
        assertEquals(fleet.serving("m0"), 2);
        fleet.run(6_000);
        assertEquals(fleet.serving("m0"), 3);
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    /**
     * The fleet's invariants are asserted inside {@link SimFleet}; calm has to bring replicas back.
     *
     * @param seed seed of the faults
     */
    @Test(dataProvider = "seeds")
    public void randomFaultsNeverBreakAnInvariant(long seed) {
        SimFleet fleet = started(seed);
        fleet.lateOrders = seed % 3 == 0 ? 0 : 0.3;
        fleet.oldEntries = seed % 2 == 0 ? 0 : 0.9;
        for (int i = 0; i < 40; i++) {
            fault(fleet);
            fleet.run(200 + fleet.random.nextLong(2_500));
        }
        fleet.lateOrders = 0;
        fleet.oldEntries = 0;
        fleet.replacePlanner();
        fleet.run(60_000);
        long whole = fleet.serving("m0") * 4 + fleet.serving("m1") * 2;
        assertTrue(whole * 2 >= fleet.live().size(), whole + " VMs serve of " + fleet.describe());
    }

    private static void fault(SimFleet fleet) {
        List<SimVm> live = fleet.live();
        switch (fleet.random.nextInt(6)) {
            case 0, 1 -> fleet.kill(live.get(fleet.random.nextInt(live.size())));
            case 2 -> fleet.add(fleet.random.nextInt(3));
            case 3 -> fleet.leave(live.get(fleet.random.nextInt(live.size())));
            case 4 ->
                fleet.vms.values().stream()
                        .filter(vm -> vm.dead && !vm.leaving)
                        .findFirst()
                        .ifPresent(fleet::restart);
            default -> {
                if (fleet.plannerCount() == 1 && fleet.random.nextBoolean()) {
                    fleet.addPlanner();
                } else {
                    fleet.replacePlanner();
                }
            }
        }
    }
}
