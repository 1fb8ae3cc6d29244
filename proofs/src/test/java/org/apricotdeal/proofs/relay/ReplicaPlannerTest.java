package org.apricotdeal.proofs.relay;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.GroupMembership;
import org.apricotdeal.relay.model.GroupPhase;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.ModelDemand;
import org.apricotdeal.relay.policy.ReplicaPlanner;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks that replicas are formed, repaired and kept complete despite faults of VMs, orders and planners. */
public final class ReplicaPlannerTest {
    private static final int SEEDS = 40;

    /** Time between the start of a fleet and its first request, as the users specify for large fleets. */
    private static final long STARTUP_MILLIS = 19_000;

    /** Interval between VMs that register in a starting fleet, over about five seconds in total. */
    private static final long REGISTRATION_INTERVAL_MILLIS = 300;

    /** Largest shares of the users' sites. */
    private static final double CUT_SHARE = 0.22;

    private static final double LATE_SHARE = 0.5;

    private static SimFleet startedFleet(long seed) {
        SimFleet fleet = new SimFleet(seed);
        fleet.startup = true;
        fleet.run(200_000);
        fleet.startup = false;
        return fleet;
    }

    @Test
    public void startupFormsReplicasOfBothModelsAndKeepsSpares() {
        SimFleet fleet = startedFleet(1);
        assertEquals(fleet.servingReplicas("m0"), 3);
        assertEquals(fleet.servingReplicas("m1"), 6);
        assertEquals(
                fleet.liveVms().stream()
                        .filter(vm -> vm.group.isEmpty() && vm.stagedModel.isPresent())
                        .count(),
                6);
    }

    /**
     * Guards against a fault in which loads for staging left no room for a join of eight loads and never stopped
     * while it waited.
     *
     * @param seed seed for the delays of entries
     */
    @Test(dataProvider = "seeds")
    public void largeReplicasFormDuringStartupBesideStaging(long seed) {
        SimFleet.Shape shape = SimFleet.Shape.GROWN;
        SimFleet fleet = new SimFleet(seed, shape, 2);
        fleet.beginStartup();
        long startedMillis = fleet.nowMillis;
        for (int perFabric = 2; perFabric < shape.vmsPerFabric(); perFabric++) {
            fleet.run(REGISTRATION_INTERVAL_MILLIS);
            for (int fabric = 0; fabric < 3; fabric++) {
                fleet.add(fabric);
            }
        }
        fleet.run(startedMillis + STARTUP_MILLIS - fleet.nowMillis);
        fleet.endStartup();
        assertEquals(fleet.servingReplicas("m0"), 3, fleet.describe());
        assertEquals(fleet.servingReplicas("m1"), 12, fleet.describe());
    }

    /** The VMs of an engine upstream may serve without forming replicas; its catalogue then lists no models. */
    @Test
    public void engineWithoutModelsGetsNoOrders() {
        EngineProfile engine = new EngineProfile(
                12, 5, 7.8, 0.13, 0.01, 45.9, 979, 154, 200, 5, 7, 300, 2.5, List.of(), OptionalLong.empty());
        UpstreamVm vm = new UpstreamVm(
                new VmId("v1"),
                new UpstreamId("chat"),
                "v1:80",
                new FailureDomainId("a"),
                Optional.of(new FabricDomainId("f0")),
                "v1",
                12,
                false,
                1,
                0,
                List.of(),
                Optional.empty(),
                Optional.empty());
        ReplicaPlanner planner = new ReplicaPlanner("p", SimFleet.STALL_MILLIS);
        ReplicaPlanner.Input input = new ReplicaPlanner.Input(
                10_000, 10_000, engine, List.of(vm), Set.of(), false, 1, ModelDemand.UNKNOWN, Map.of());
        assertEquals(planner.plan(input), List.of());
    }

    @Test
    public void spareRepairsReplicaOfFourWithinSeconds() {
        SimFleet fleet = startedFleet(2);
        SimVm member = fleet.liveVms().stream()
                .filter(vm -> vm.members.size() == 4 && vm.group.orElseThrow().rank() == 2)
                .findFirst()
                .orElseThrow();
        fleet.kill(member);
        fleet.run(4_000);
        assertEquals(fleet.servingReplicas("m0"), 3, fleet.describe());
    }

    @Test
    public void membersOfLostHeadRejoinOnlyAfterHeadHasStopped() {
        SimFleet fleet = startedFleet(3);
        SimVm head = fleet.liveVms().stream()
                .filter(vm -> vm.members.size() == 4 && vm.group.orElseThrow().rank() == 0)
                .findFirst()
                .orElseThrow();
        fleet.kill(head);
        fleet.run(3_000);
        assertEquals(fleet.servingReplicas("m0"), 2);
        fleet.run(6_000);
        assertEquals(fleet.servingReplicas("m0"), 3);
    }

    /**
     * A member and then the head are cut off from the store, and the head does not answer the order to leave. The other members
     * may not join a replica while the head is open (review/5).
     *
     * @param seed seed for the delays of entries
     */
    @Test(dataProvider = "seeds")
    public void membersOfUnlistedHeadThatHasNotLeftRest(long seed) {
        SimFleet fleet = startedFleet(seed);
        SimVm head = fleet.liveVms().stream()
                .filter(vm -> vm.members.size() == 4 && vm.group.orElseThrow().rank() == 0)
                .findFirst()
                .orElseThrow();
        fleet.cutFromStore(fleet.vms.get(head.members.get(2)), 10_000);
        fleet.run(400);
        fleet.cutFromStore(head, 10_000);
        head.delaysOrders = true;
        fleet.run(10_000);
        head.delaysOrders = false;
        fleet.run(30_000);
        assertTrue(fleet.servingReplicas("m0") >= 3, fleet.describe());
    }

    /**
     * Guards against a join beside a stalled head: a member executes the order to leave late, while it is not listed, and is listed
     * again without a replica.
     *
     * @param seed seed for the delays
     */
    @Test(dataProvider = "seeds")
    public void memberThatLeavesWhileUnlistedRests(long seed) {
        SimFleet fleet = startedFleet(seed);
        SimVm head = fleet.liveVms().stream()
                .filter(vm -> vm.members.size() == 2 && vm.group.orElseThrow().rank() == 0)
                .findFirst()
                .orElseThrow();
        SimVm member = fleet.vms.get(head.members.get(1));
        member.delaysOrders = true;
        fleet.cutFromStore(head, 30_000);
        fleet.run(1_600);
        fleet.cutFromStore(member, 5_500 + fleet.random.nextLong(3_000));
        fleet.run(4_000);
        member.delaysOrders = false;
        fleet.run(60_000);
        assertTrue(fleet.servingReplicas("m1") >= 5, fleet.describe());
    }

    /**
     * {@link SimFleet} checks the invariants while VMs are cut off from the store, orders stay unanswered and are executed late,
     * and planners are replaced.
     *
     * @param seed seed for the faults
     */
    @Test(dataProvider = "seeds")
    public void cutsFromTheStoreAndLateOrdersKeepInvariants(long seed) {
        SimFleet fleet = startedFleet(seed);
        for (int round = 0; round < 20; round++) {
            fleet.delayedOrderShare = LATE_SHARE;
            for (SimVm vm : fleet.liveVms()) {
                if (fleet.random.nextDouble() < CUT_SHARE && !vm.cutFromStore) {
                    fleet.cutFromStore(vm, 4_000 + fleet.random.nextLong(6_000));
                    fleet.run(fleet.random.nextLong(300));
                }
            }
            for (int i = 0; i < 6; i++) {
                if (fleet.random.nextInt(20) == 0) {
                    fleet.replacePlanner();
                }
                fleet.run(1_000);
            }
            fleet.delayedOrderShare = 0;
            fleet.run(4_000);
        }
        fleet.run(60_000);
        long servingVms = fleet.servingReplicas("m0") * 4 + fleet.servingReplicas("m1") * 2;
        assertTrue(servingVms * 2 >= fleet.liveVms().size(), servingVms + " VMs serve out of " + fleet.describe());
    }

    /**
     * A replica was dissolved when a member could not write its entry, though its head and all members served.
     *
     * @param seed seed for the ages of entries
     */
    @Test(dataProvider = "seeds")
    public void replicaOfMemberWithoutEntryWasDissolved(long seed) {
        SimFleet fleet = startedFleet(seed);
        SimVm head = fleet.liveVms().stream()
                .filter(vm -> vm.group.isPresent() && vm.group.get().phase() == GroupPhase.OPEN)
                .findFirst()
                .orElseThrow();
        Optional<GroupMembership> group = head.group;
        fleet.cutFromStore(fleet.vms.get(head.members.getLast()), 10_000);
        fleet.run(20_000);
        assertEquals(head.group, group);
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
     * {@link SimFleet} checks the invariants of the fleet; after the faults end, replicas must be formed again.
     *
     * @param seed seed for the faults
     */
    @Test(dataProvider = "seeds")
    public void randomFaultsKeepInvariants(long seed) {
        SimFleet fleet = startedFleet(seed);
        fleet.delayedOrderShare = seed % 3 == 0 ? 0 : 0.3;
        fleet.staleEntryShare = seed % 2 == 0 ? 0 : 0.9;
        for (int i = 0; i < 40; i++) {
            injectFault(fleet);
            fleet.run(200 + fleet.random.nextLong(2_500));
        }
        fleet.delayedOrderShare = 0;
        fleet.staleEntryShare = 0;
        fleet.replacePlanner();
        fleet.run(60_000);
        long servingVms = fleet.servingReplicas("m0") * 4 + fleet.servingReplicas("m1") * 2;
        assertTrue(servingVms * 2 >= fleet.liveVms().size(), servingVms + " VMs serve out of " + fleet.describe());
    }

    private static void injectFault(SimFleet fleet) {
        List<SimVm> live = fleet.liveVms();
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
