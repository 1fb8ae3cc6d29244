package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.apricotdeal.relay.model.PromptPartId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against requests with a part that crashes VMs being sent to one VM after the other. */
public final class PoisonRequestsTest {
    private static final PromptPartId DEADLY = new PromptPartId("dead");
    private static final PromptPartId OTHER_DEADLY = new PromptPartId("dead2");

    /** Requests with the part that may still reach a VM once the crashes had time to become known. */
    private static final int MAX_LATE_SENDS = 3;

    private static final long HOLD_MILLIS = 20_000;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{4, 15, 1L}, {4, 15, 2L}, {30, 60, 3L}, {37, 95, 4L}};
    }

    private static PoisonedFleet fleet(int nodes, int replicas, long seed) {
        return new PoisonedFleet(nodes, replicas, seed, (parts, release) -> parts.contains(DEADLY));
    }

    /** Sends sound requests with 20 first parts, and one with the deadly part and a shared first part now and then. */
    static List<PoisonedFleet.Call> sendMixed(PoisonedFleet fleet, int requests, String... deadlyParts) {
        List<PoisonedFleet.Call> sound = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sound.add(fleet.send("first" + i % 20));
            if (i % 20 == 7) {
                for (String part : deadlyParts) {
                    fleet.send("first7", part);
                }
            }
            fleet.run(25);
        }
        fleet.run(2_000);
        return sound;
    }

    private static long servedOf(List<PoisonedFleet.Call> calls, String firstPart) {
        return calls.stream()
                .filter(call -> call.arrival.sharedParts().getFirst().value().equals(firstPart))
                .filter(call -> call.begunMillis >= 0 && call.sends == 1)
                .count();
    }

    @Test(dataProvider = "fleets")
    public void requestsOfOneClassKeptCrashingVms(int nodes, int replicas, long seed) {
        PoisonedFleet fleet = fleet(nodes, replicas, seed);
        sendMixed(fleet, 1_000, DEADLY.value());
        assertTrue(
                fleet.lateDeadlySends() <= MAX_LATE_SENDS,
                fleet.lateDeadlySends() + " late sends, crashes at " + fleet.crashMillis());
    }

    /**
     * The first part is shared with sound requests, which must go on being served.
     *
     * @param nodes number of nodes
     * @param replicas number of replicas
     * @param seed seed of the run
     */
    @Test(dataProvider = "fleets")
    public void soundRequestsWithSameFirstPartAreServed(int nodes, int replicas, long seed) {
        PoisonedFleet fleet = fleet(nodes, replicas, seed);
        sendMixed(fleet, 240, DEADLY.value());
        List<PoisonedFleet.Call> sound = sendMixed(fleet, 400, DEADLY.value());
        assertTrue(servedOf(sound, "first7") >= 18, servedOf(sound, "first7") + " of 20 served at the first attempt");
    }

    @Test(dataProvider = "fleets")
    public void twoDeadlyPartsAtOnceAreBothHeldBack(int nodes, int replicas, long seed) {
        PoisonedFleet fleet = new PoisonedFleet(
                nodes, replicas, seed, (parts, release) -> parts.contains(DEADLY) || parts.contains(OTHER_DEADLY));
        List<PoisonedFleet.Call> sound = sendMixed(fleet, 800, DEADLY.value(), OTHER_DEADLY.value());
        assertTrue(fleet.lateDeadlySends() <= MAX_LATE_SENDS, fleet.lateDeadlySends() + " late sends");
        assertTrue(servedOf(sound, "first7") >= 30, servedOf(sound, "first7") + " of 40 served at the first attempt");
    }

    /**
     * A part that every request of the class has is not to blame for the crashes of a rare one.
     *
     * @param nodes number of nodes
     * @param replicas number of replicas
     * @param seed seed of the run
     */
    @Test(dataProvider = "fleets")
    public void partOfEveryRequestIsNotBlamed(int nodes, int replicas, long seed) {
        PoisonedFleet fleet = fleet(nodes, replicas, seed);
        int refused = 0;
        for (int i = 0; i < 600; i++) {
            PoisonedFleet.Call call =
                    i % 20 == 7 ? fleet.send("system", DEADLY.value()) : fleet.send("system", "doc" + i % 50);
            fleet.run(25);
            refused += i % 20 != 7 && call.refused ? 1 : 0;
        }
        assertTrue(refused <= 6, refused + " sound requests refused");
        assertTrue(fleet.lateDeadlySends() <= MAX_LATE_SENDS, fleet.lateDeadlySends() + " late sends");
    }

    /** Releases are replaced one after the other; the part crashes the old one only. */
    @Test
    public void partDeadlyForOneReleaseIsServedByAnother() {
        PoisonedFleet fleet =
                new PoisonedFleet(4, 12, 5, (parts, release) -> parts.contains(DEADLY) && release.equals("v1"));
        sendMixed(fleet, 200, DEADLY.value());
        int crashes = fleet.crashMillis().size();
        for (int replica = 0; replica < 6; replica++) {
            fleet.setRelease(replica, "v2");
        }
        fleet.run(1_000);
        int served = 0;
        for (int i = 0; i < 40; i++) {
            PoisonedFleet.Call call = fleet.send("first7", DEADLY.value());
            fleet.run(500);
            served += call.begunMillis >= 0 ? 1 : 0;
        }
        assertTrue(served >= 30, served + " of 40 served by the new release");
        assertEquals(fleet.crashMillis().size(), crashes);
    }

    /** The new release crashes too: a single request shows it. */
    @Test
    public void newReleaseCostsOneCrash() {
        PoisonedFleet fleet = fleet(4, 12, 6);
        sendMixed(fleet, 200, DEADLY.value());
        int crashes = fleet.crashMillis().size();
        for (int replica = 0; replica < 12; replica++) {
            fleet.setRelease(replica, "v2");
        }
        sendMixed(fleet, 400, DEADLY.value());
        assertTrue(
                fleet.crashMillis().size() <= crashes + 2, fleet.crashMillis().size() + " crashes, before " + crashes);
    }

    /**
     * Racks, releases and spot VMs are lost with the sound requests that run there.
     *
     * @param nodes number of nodes
     * @param replicas number of replicas
     * @param seed seed of the run
     */
    @Test(dataProvider = "fleets")
    public void partsOfRequestsLostWithTheirRackAreNotBlamed(int nodes, int replicas, long seed) {
        PoisonedFleet fleet = fleet(nodes, replicas, seed);
        int refused = 0;
        for (int i = 0; i < 800; i++) {
            PoisonedFleet.Call call = fleet.send("first" + i % 20, "doc" + i % 200);
            fleet.run(25);
            if (i % 160 == 100) {
                for (int replica = 0; replica < 4; replica++) {
                    fleet.crash(replica);
                }
            }
            refused += call.refused ? 1 : 0;
        }
        assertTrue(refused <= 8, refused + " sound requests refused");
    }

    @Test
    public void nodeThatIsCutOffDecidesByWhatItSaw() {
        PoisonedFleet fleet = fleet(4, 15, 7);
        fleet.setCutOff(2, true);
        sendMixed(fleet, 100);
        for (int i = 0; i < 6; i++) {
            fleet.sendTo(2, "first7", DEADLY.value());
            fleet.run(1_000);
        }
        assertTrue(fleet.crashMillis().size() <= 2, fleet.crashMillis() + "");
        assertEquals(fleet.node(1).blamedTraits(), List.of());
        fleet.setCutOff(2, false);
        fleet.run(1_000);
        assertEquals(fleet.node(1).blamedTraits().getFirst().traits(), Set.of(DEADLY));
    }

    @Test
    public void restartedNodeLearnsFromTheOthers() {
        PoisonedFleet fleet = fleet(4, 15, 8);
        sendMixed(fleet, 200, DEADLY.value());
        int crashes = fleet.crashMillis().size();
        fleet.restart(3);
        fleet.run(1_000);
        PoisonedFleet.Call call = fleet.sendTo(3, "first7", DEADLY.value());
        fleet.run(1_000);
        assertTrue(call.refused);
        assertEquals(fleet.crashMillis().size(), crashes);
    }

    /** The part is mended: after the hold it is served again, without further crashes. */
    @Test
    public void mendedPartIsServedAgain() {
        boolean[] mended = new boolean[1];
        PoisonedFleet fleet = new PoisonedFleet(4, 15, 9, (parts, release) -> parts.contains(DEADLY) && !mended[0]);
        sendMixed(fleet, 200, DEADLY.value());
        mended[0] = true;
        int crashes = fleet.crashMillis().size();
        fleet.run(HOLD_MILLIS);
        for (int i = 0; i < 8; i++) {
            fleet.send("first7", DEADLY.value());
            fleet.run(1_000);
        }
        for (int node = 0; node < 4; node++) {
            PoisonedFleet.Call call = fleet.sendTo(node, "first7", DEADLY.value());
            fleet.run(1_000);
            assertTrue(call.begunMillis >= 0, "node " + node);
        }
        assertEquals(fleet.crashMillis().size(), crashes);
    }

    /**
     * A part that stays deadly costs one VM for each hold, and each hold is longer than the one before.
     *
     * @param nodes number of nodes
     * @param replicas number of replicas
     * @param seed seed of the run
     */
    @Test(dataProvider = "fleets")
    public void deadlyPartCostsOneVmPerHold(int nodes, int replicas, long seed) {
        PoisonedFleet fleet = fleet(nodes, replicas, seed);
        sendMixed(fleet, 200, DEADLY.value());
        int crashes = fleet.crashMillis().size();
        for (int i = 0; i < 80; i++) {
            fleet.send("first7", DEADLY.value());
            fleet.run(1_000);
        }
        int trials = fleet.crashMillis().size() - crashes;
        assertTrue(trials >= 1 && trials <= MAX_LATE_SENDS, trials + " crashes by trials in 80 s");
    }

    /** A request that may have run is failed, one that certainly has not run is refused. */
    @Test
    public void callersLearnWhetherTheirRequestMayHaveRun() {
        PoisonedFleet fleet = fleet(4, 15, 10);
        PoisonedFleet.Call first = fleet.sendTo(0, "first7", DEADLY.value());
        fleet.run(1_000);
        assertTrue(first.failed);
        assertFalse(first.refused);
        PoisonedFleet.Call second = fleet.sendTo(0, "first7", DEADLY.value());
        assertTrue(second.refused);
        assertEquals(second.sends, 0);
    }

    /** Two requests cause the crashes that show the part; one sent before that has not begun and is withdrawn. */
    @Test
    public void requestThatHasNotBegunIsWithdrawn() {
        PoisonedFleet fleet = fleet(4, 15, 11);
        fleet.sendTo(0, "first7", DEADLY.value());
        fleet.run(350);
        PoisonedFleet.Call late = fleet.sendTo(0, "first7", DEADLY.value());
        fleet.run(1_000);
        assertTrue(late.failed, "the request was sent");
        assertEquals(fleet.crashMillis().size(), 2);
    }

    /** Each request brings parts of its own, and VMs crash all the time. */
    @Test
    public void memoryOfCrashesIsBounded() {
        PoisonedFleet fleet = fleet(2, 40, 12);
        for (int i = 0; i < 1_000; i++) {
            fleet.send("first" + i, "doc" + i);
            fleet.run(50);
            fleet.crash(i % 40);
            fleet.run(75);
        }
        assertTrue(fleet.node(0).crashNews().crashes().size() <= 128);
    }
}
