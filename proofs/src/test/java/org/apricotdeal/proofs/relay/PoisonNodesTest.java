package org.apricotdeal.proofs.relay;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against real nodes sending requests with a deadly part on, after one of them has seen what the part does. */
public final class PoisonNodesTest {
    private static final String DEADLY = "f1:800,dead:400,1a:20";
    /** Time in which the nodes have to hear of each other's crashes. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final String SOUND = "f1:800,d0c:400,1b:20";

    private RelayFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = RelayFleet.serving(12, 40);
        fleet.engines.forEach(engine -> engine.breakStreamsOn("dead"));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    private long runsOfDeadlyPart() {
        return fleet.engines.stream()
                .flatMap(engine -> engine.runs().stream())
                .filter(run -> DEADLY.equals(run.get("x-prefix-hash")))
                .count();
    }

    @Test
    public void partSeenByOneNodeIsHeldBackByAll() throws Exception {
        try (RelayFleet.Member other = fleet.addNode("n2", "d0", 1)) {
            RelayFleet.await(15, () -> fleet.callWithPrompt(other.callerAddress(), "w", SOUND)
                    .startsWith("HTTP/1.1 200"));
            // The request ran, so the caller must not be told that it did not.
            String first = fleet.callWithPrompt(fleet.callerAddress, "r1", DEADLY);
            assertTrue(first.startsWith("HTTP/1.1 502"), first);
            long runs = runsOfDeadlyPart();
            assertEquals(runs, 2);
            String second = fleet.callWithPrompt(fleet.callerAddress, "r2", DEADLY);
            assertTrue(second.startsWith("HTTP/1.1 503"), second);
            assertTrue(second.contains("suspect_request"), second);
            RelayFleet.pause(CONTACT_MILLIS);
            String third = fleet.callWithPrompt(other.callerAddress(), "r3", DEADLY);
            assertTrue(third.contains("suspect_request"), third);
            assertEquals(runsOfDeadlyPart(), runs);
            RelayFleet.await(5, () -> fleet.callWithPrompt(fleet.callerAddress, "r4", SOUND)
                    .startsWith("HTTP/1.1 200"));
        }
    }
}
