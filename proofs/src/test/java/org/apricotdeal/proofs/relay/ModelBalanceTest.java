package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.policy.ModelDemand;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Losses in series under load: pairs of VMs in replicas are lost for good, blank ones come later. The replicas of both models
 * have to go back together, as their shares of the work are equal.
 */
public final class ModelBalanceTest {
    private static final ModelId LARGE = new ModelId("m0");
    private static final ModelId SMALL = new ModelId("m1");
    private static final int SEEDS = 20;
    private static final long START_MILLIS = 19_000;
    private static final long LOSS_EACH_MILLIS = 5_000;
    private static final long LOSSES_END_MILLIS = 25_000;
    private static final long FIRST_ARRIVALS_MILLIS = 10_000;
    private static final long ARRIVALS_END_MILLIS = 30_000;
    private static final long END_MILLIS = 45_000;
    private static final long STEP_MILLIS = 500;

    private static final double SAMPLES = (END_MILLIS - LOSS_EACH_MILLIS) / (double) STEP_MILLIS;

    /** Equal shares, less what a replica of four or eight VMs cannot divide. */
    private static final double LEAST_PART = 0.75;

    /** Part of the weight store that a failure domain of this size may use. */
    private static final double LOAD_SHARE = 0.5;

    /**
     * A model whose replicas span four or eight VMs kept a third of what the other one had, whose replicas of two were whole again from
     * any two survivors.
     *
     * @param shape size of the fleet and of the large model's replicas
     * @param seed seed of the losses
     */
    @Test(dataProvider = "fleets")
    public void largeModelKeepsItsShareOfTheServingVms(SimFleet.Shape shape, long seed) {
        SimFleet fleet = started(seed, shape);
        long startMillis = fleet.nowMillis;
        double large = 0;
        double small = 0;
        StringBuilder course = new StringBuilder();
        for (long atMillis = 0; atMillis < END_MILLIS; atMillis += STEP_MILLIS) {
            if (atMillis % LOSS_EACH_MILLIS == 0) {
                change(fleet, shape, atMillis);
            }
            fleet.run(STEP_MILLIS);
            if (atMillis >= LOSS_EACH_MILLIS) {
                large += fleet.serving("m0") * shape.largeReplica();
                small += fleet.serving("m1") * 2;
            }
            if (atMillis % 2_500 == 0) {
                course.append("\n  ")
                        .append(fleet.nowMillis - startMillis)
                        .append(" ms: ")
                        .append(fleet.serving("m0"));
                course.append(" large, ").append(fleet.serving("m1")).append(" small");
            }
        }
        String seen = String.format(
                "%.1f VMs serve the large model on average, %.1f the small one; %d loads%s",
                large / SAMPLES, small / SAMPLES, fleet.loadsBegun(), course);
        assertTrue(large >= LEAST_PART * small, seen);
    }

    /** A fleet that has lost nothing gives no replica up, also where callers ask for little of a model. */
    @Test
    public void wholeFleetGivesNoReplicaUp() {
        SimFleet fleet = started(1, SimFleet.Shape.SMALL);
        fleet.run(END_MILLIS);
        assertEquals(fleet.closes(), 0);
        assertEquals(fleet.serving("m0"), 3);
        assertEquals(fleet.serving("m1"), 6);
    }

    /** VMs go to the model that callers ask for, and come to rest there. */
    @Test
    public void replicasFollowTheDemand() {
        SimFleet fleet = started(2, SimFleet.Shape.SMALL);
        fleet.demand = new ModelDemand(Map.of(LARGE, 0.8, SMALL, 0.2), Set.of(LARGE));
        fleet.run(2 * END_MILLIS);
        assertTrue(fleet.serving("m0") > 3, fleet.describe());
        assertTrue(fleet.serving("m1") >= 1, fleet.describe());
        long closes = fleet.closes();
        fleet.run(END_MILLIS);
        assertEquals(fleet.closes(), closes, "replicas given up while nothing changes");
    }

    /** A replica is not closed for a model whose callers are all served. */
    @Test
    public void modelThatRefusesNobodyTakesNoReplica() {
        SimFleet fleet = started(2, SimFleet.Shape.SMALL);
        fleet.demand = new ModelDemand(Map.of(LARGE, 0.8, SMALL, 0.2), Set.of());
        fleet.run(END_MILLIS);
        assertEquals(fleet.closes(), 0);
    }

    private static SimFleet started(long seed, SimFleet.Shape shape) {
        SimFleet fleet = new SimFleet(seed, shape);
        fleet.loadShare = LOAD_SHARE;
        fleet.beginStart();
        fleet.run(START_MILLIS);
        fleet.endStart();
        return fleet;
    }

    private static void change(SimFleet fleet, SimFleet.Shape shape, long atMillis) {
        int count = shape.vmsPerFabric() / 5;
        if (atMillis < LOSSES_END_MILLIS) {
            List<SimVm> members = new ArrayList<>(
                    fleet.live().stream().filter(vm -> vm.group.isPresent()).toList());
            for (int i = 0; i < count && !members.isEmpty(); i++) {
                fleet.kill(members.remove(fleet.random.nextInt(members.size())));
            }
        }
        if (atMillis >= FIRST_ARRIVALS_MILLIS && atMillis < ARRIVALS_END_MILLIS) {
            for (int i = 0; i < count; i++) {
                fleet.add(fleet.random.nextInt(3));
            }
        }
    }

    @DataProvider
    public Object[][] fleets() {
        Object[][] fleets = new Object[2 * SEEDS][];
        for (int i = 0; i < SEEDS; i++) {
            fleets[2 * i] = new Object[] {SimFleet.Shape.SMALL, (long) i};
            fleets[2 * i + 1] = new Object[] {SimFleet.Shape.GROWN, (long) i};
        }
        return fleets;
    }
}
