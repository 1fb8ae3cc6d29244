package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.Predicate;

import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.model.RequestDigest;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.policy.Arrival;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against one request, which comes again whole at any node, being sent to one VM after the other. */
public final class CrashingRequestTest {
    private static final RequestDigest CRASHING = new RequestDigest("route", 1, 1);
    private static final RequestDigest SOUND = new RequestDigest("route", 1, 2);
    private static final PromptPartId DEADLY = new PromptPartId("dead");

    /** Crashes by a request, and by requests with a part, after which it has to be known. */
    private static final int CRASHES_OF_REQUEST = 3;

    private static final int CRASHES_OF_PART = 5;

    /** Sends that are allowed later than a contact after these crashes. */
    private static final int MAX_LATE_SENDS = 3;

    private static final long HOLD_MILLIS = 20_000;
    private static final long RUN_MILLIS = 30_000;

    /** Duration of an answer that clears a request. */
    private static final long PROOF_MILLIS = 250;

    /** Time in which a lost request begins again, is proven sound, and all nodes have heard of it in two heartbeats. */
    private static final long REPEAT_MILLIS =
            PoisonedFleet.BEGIN_MILLIS + PROOF_MILLIS + 2 * PoisonedFleet.HEARTBEAT_MILLIS + 50;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{4, 15, 1L}, {4, 15, 2L}, {4, 15, 3L}, {30, 60, 4L}, {30, 60, 5L}, {37, 95, 6L}};
    }

    @DataProvider
    public Object[][] nodeCounts() {
        return new Object[][] {{4, 1L}, {4, 2L}, {4, 3L}, {30, 4L}, {30, 5L}, {37, 6L}};
    }

    private static boolean isCrashing(Arrival arrival) {
        return arrival.digest().filter(CRASHING::equals).isPresent();
    }

    private static boolean hasDeadlyPart(Arrival arrival) {
        return arrival.sharedParts().contains(DEADLY);
    }

    private static PoisonedFleet fleet(int nodes, int replicas, long seed) {
        return PoisonedFleet.withDigests(nodes, replicas, seed, RelayFixture.QUEUE, CrashingRequestTest::isCrashing);
    }

    /** Returns a fleet with a plain service of three VMs. */
    private static PoisonedFleet plainFleet(int nodes, long seed) {
        return PoisonedFleet.withDigests(nodes, 3, seed, PoisonedFleet.PLAIN_SERVICE, CrashingRequestTest::isCrashing);
    }

    /** Sends requests of one kind every 50 ms, and a copy of the crashing one with the given parts beside every fourth. */
    private static List<PoisonedFleet.Call> sendBeside(
            PoisonedFleet fleet, long millis, IntFunction<PoisonedFleet.Call> sendOther, String... parts) {
        List<PoisonedFleet.Call> others = new ArrayList<>();
        for (int i = 0; i < millis / 50; i++) {
            others.add(sendOther.apply(i));
            if (i % 4 == 1) {
                fleet.sendCopy(RetrySafety.STREAM, CRASHING, parts);
            }
            fleet.run(50);
        }
        fleet.run(2_000);
        return others;
    }

    private static void assertBounded(PoisonedFleet fleet, Predicate<Arrival> kind, int crashesToLearn) {
        long late = fleet.lateSends(kind, crashesToLearn);
        assertTrue(late <= MAX_LATE_SENDS, late + " late sends, crashes at " + fleet.crashMillis(kind));
    }

    @Test(dataProvider = "fleets")
    public void copiesOfOneRequestKeptCrashingVms(int nodes, int replicas, long seed) {
        PoisonedFleet fleet = fleet(nodes, replicas, seed);
        sendBeside(fleet, RUN_MILLIS, i -> fleet.send("first" + i % 20), "first7");
        assertBounded(fleet, CrashingRequestTest::isCrashing, CRASHES_OF_REQUEST);
    }

    @Test(dataProvider = "fleets")
    public void soundRequestsWithTheSamePartsWereRefused(int nodes, int replicas, long seed) {
        // Every other request has the same parts as the crashing one; neither are they refused, nor do their answers
        // free it.
        PoisonedFleet fleet = fleet(nodes, replicas, seed);
        List<PoisonedFleet.Call> sound =
                sendBeside(fleet, HOLD_MILLIS - 3_000, i -> fleet.send("first7", "doc"), "first7", "doc");
        List<Long> crashes = fleet.crashMillis();
        assertTrue(crashes.size() <= CRASHES_OF_REQUEST, "crashes at " + crashes);
        long knownMillis = crashes.getLast() + PoisonedFleet.CONTACT_MILLIS;
        for (PoisonedFleet.Call call : sound) {
            assertFalse(call.refused, "refused at " + call.arrival.arrivedMillis());
            assertTrue(
                    call.arrival.arrivedMillis() <= knownMillis || (call.begunMillis >= 0 && call.sends == 1),
                    "not served at the first attempt at " + call.arrival.arrivedMillis());
        }
    }

    @Test(dataProvider = "nodeCounts")
    public void copiesOfOneRequestEndedAllVmsOfAPlainService(int nodes, long seed) {
        // A booking is owed an answer unless it was in a VM that crashed.
        PoisonedFleet fleet = plainFleet(nodes, seed);
        List<PoisonedFleet.Call> bookings =
                sendBeside(fleet, RUN_MILLIS, i -> fleet.sendCopy(RetrySafety.ONCE, new RequestDigest("book", 2, i)));
        assertTrue(fleet.minUp() >= 1, "crashes at " + fleet.crashMillis());
        assertBounded(fleet, CrashingRequestTest::isCrashing, CRASHES_OF_REQUEST);
        for (PoisonedFleet.Call booking : bookings) {
            assertTrue(
                    booking.lost || booking.begunMillis >= 0,
                    "booking of " + booking.arrival.arrivedMillis() + ", crashes at " + fleet.crashMillis());
            assertTrue(booking.reachedCount <= 1, "sent twice");
        }
    }

    @Test(dataProvider = "nodeCounts")
    public void lastVmOfAPlainServiceWasSpentOnTheRequest(int nodes, long seed) {
        // One of three VMs is down for a reason of its own while the request comes.
        PoisonedFleet fleet = plainFleet(nodes, seed);
        fleet.crash(2);
        fleet.run(200);
        for (int i = 0; i < 50; i++) {
            fleet.sendCopy(RetrySafety.STREAM, CRASHING);
            fleet.run(100);
        }
        assertTrue(fleet.minUp() >= 1, "crashes at " + fleet.crashMillis());
    }

    @DataProvider
    public Object[][] bothKinds() {
        return new Object[][] {
            {4, 15, 1L, "first7"},
            {4, 15, 2L, "first8"},
            {30, 60, 3L, "first7"},
            {30, 60, 4L, "first8"},
            {37, 95, 5L, "first7"}
        };
    }

    @Test(dataProvider = "bothKinds")
    public void deadlyPartAndCrashingRequestHidEachOther(int nodes, int replicas, long seed, String part) {
        // The day of the deadly part, with the crashing request from the start; both may have the same first part.
        PoisonedFleet fleet = PoisonedFleet.withDigests(
                nodes, replicas, seed, RelayFixture.QUEUE, arrival -> isCrashing(arrival) || hasDeadlyPart(arrival));
        sendBeside(
                fleet,
                RUN_MILLIS,
                i -> i % 10 == 3 ? fleet.send("first7", DEADLY.value()) : fleet.send("first" + i % 20),
                part);
        assertBounded(fleet, CrashingRequestTest::isCrashing, CRASHES_OF_REQUEST);
        assertBounded(fleet, CrashingRequestTest::hasDeadlyPart, CRASHES_OF_PART);
    }

    @Test(dataProvider = "fleets")
    public void deadlyPartOfRequestsWithDigestsWasNotBlamed(int nodes, int replicas, long seed) {
        PoisonedFleet fleet = PoisonedFleet.withDigests(
                nodes, replicas, seed, RelayFixture.QUEUE, CrashingRequestTest::hasDeadlyPart);
        PoisonRequestsTest.sendMixed(fleet, 1_000, DEADLY.value());
        assertBounded(fleet, CrashingRequestTest::hasDeadlyPart, CRASHES_OF_PART);
    }

    @Test(dataProvider = "fleets")
    public void copiesOfASoundRequestWereHeldBackForChanceCrashes(int nodes, int replicas, long seed) {
        // A copy that comes later than the repeat of the last lost one takes is owed its first attempt.
        PoisonedFleet fleet = fleet(nodes, replicas, seed);
        List<PoisonedFleet.Call> copies = new ArrayList<>();
        long disturbedMillis = Long.MIN_VALUE / 2;
        for (int i = 0; i < RUN_MILLIS / 25; i++) {
            boolean crash = i % 70 == 7;
            // The first loss, before any answer, stays alone: two of them are what a crashing request looks like.
            boolean reset = i % 90 == 11 && i > 90;
            if (crash) {
                fleet.crash(i / 70 % replicas);
            }
            if (reset) {
                fleet.reset((i / 90 + 7) % replicas);
            }
            disturbedMillis = crash || reset ? fleet.nowMillis() : disturbedMillis;
            PoisonedFleet.Call copy = fleet.sendCopy(RetrySafety.STREAM, SOUND, "first7");
            if (fleet.nowMillis() - disturbedMillis > REPEAT_MILLIS) {
                copies.add(copy);
            }
            fleet.run(25);
        }
        fleet.run(2_000);
        assertFalse(copies.isEmpty());
        for (PoisonedFleet.Call copy : copies) {
            assertFalse(copy.refused, "refused at " + copy.arrival.arrivedMillis());
            assertTrue(copy.lost || (copy.begunMillis >= 0 && copy.sends == 1), "not served at the first attempt");
        }
    }

    @Test(dataProvider = "nodeCounts")
    public void copiesOfABookingLostByChanceWereHeldBack(int nodes, long seed) {
        // It is not repeated, so a copy has to prove it: two contacts after a crash, half the sound ones are owed a
        // start.
        int served = 0;
        for (int i = 0; i < 20; i++) {
            PoisonedFleet fleet = plainFleet(nodes, 20 * seed + i);
            PoisonedFleet.Call lost = fleet.sendCopy(RetrySafety.ONCE, SOUND);
            fleet.run(10);
            fleet.crashUnder(lost);
            assertTrue(lost.failed);
            for (int second = 1; second < 6; second++) {
                fleet.run(1_000);
                fleet.sendCopy(RetrySafety.ONCE, SOUND);
            }
            fleet.run(1_000);
            PoisonedFleet.Call owed = fleet.sendCopy(RetrySafety.ONCE, SOUND);
            fleet.run(1_000);
            served += owed.begunMillis >= 0 && owed.sends == 1 ? 1 : 0;
        }
        assertTrue(served >= 10, served + " of 20 served at the first attempt, two contacts after the crash");
    }

    @Test(dataProvider = "nodeCounts")
    public void copyThatMustNotRunTwiceWasSentAgain(int nodes, long seed) {
        PoisonedFleet fleet = plainFleet(nodes, seed);
        for (int i = 0; i < RUN_MILLIS / 100; i++) {
            PoisonedFleet.Call copy = fleet.sendCopy(RetrySafety.ONCE, CRASHING);
            fleet.run(100);
            assertTrue(copy.reachedCount <= 1, "sent " + copy.reachedCount + " times");
        }
        assertBounded(fleet, CrashingRequestTest::isCrashing, CRASHES_OF_REQUEST);
    }

    /** What the cut-off node has seen counts for it alone, and for all once they hear of it. */
    @Test
    public void nodeThatIsCutOffKeptSendingTheRequest() {
        PoisonedFleet fleet = fleet(4, 15, 7);
        fleet.setCutOff(2, true);
        for (int i = 0; i < 60; i++) {
            fleet.sendTo(2, RetrySafety.STREAM, CRASHING, "first7");
            fleet.run(250);
        }
        assertTrue(fleet.crashMillis().size() <= CRASHES_OF_REQUEST, "crashes at " + fleet.crashMillis());
        fleet.setCutOff(2, false);
        fleet.run(PoisonedFleet.CONTACT_MILLIS);
        assertRefusedUnsent(fleet.sendTo(1, RetrySafety.STREAM, CRASHING, "first7"));
    }

    @Test
    public void restartedNodeSentTheRequestAgain() {
        PoisonedFleet fleet = fleet(4, 15, 8);
        sendBeside(fleet, 3_000, i -> fleet.send("first" + i % 20), "first7");
        fleet.restart(3);
        fleet.run(PoisonedFleet.CONTACT_MILLIS);
        assertRefusedUnsent(fleet.sendTo(3, RetrySafety.STREAM, CRASHING, "first7"));
    }

    /** A request that may have run is failed; one that is held has not run, and is refused before any time passes. */
    @Test
    public void callersOfTheRequestWereToldTheWrongThing() {
        PoisonedFleet fleet = fleet(4, 15, 10);
        PoisonedFleet.Call first = fleet.sendTo(0, RetrySafety.STREAM, CRASHING, "first7");
        fleet.run(1_000);
        assertTrue(first.failed);
        assertFalse(first.refused);
        PoisonedFleet.Call held = fleet.sendTo(1, RetrySafety.STREAM, CRASHING, "first7");
        assertRefusedUnsent(held);
        long lastMillis = fleet.crashMillis().getLast();
        assertTrue(fleet.nowMillis() + held.retryAfterMillis >= lastMillis + HOLD_MILLIS, "may come back in the hold");
    }

    private static void assertRefusedUnsent(PoisonedFleet.Call call) {
        assertTrue(call.refused);
        assertFalse(call.failed);
        assertEquals(call.sends, 0);
    }
}
