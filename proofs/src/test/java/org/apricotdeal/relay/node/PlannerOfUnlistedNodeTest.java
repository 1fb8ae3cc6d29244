package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.relay.model.CallerLimits;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** A node that the store no longer lists, but whose heartbeats come, keeps the planning of its failure domain. */
public final class PlannerOfUnlistedNodeTest {
    private static final Peer PLANNER = new Peer("n2", FleetDutyFixture.PLANNED_DOMAIN, "127.0.0.1:1", 1);
    private static final long BEAT_MILLIS = 250;
    private static final long SILENCE_MILLIS = 4_000;

    /** A scenario told to the fleet duty of another node. */
    private interface Story {
        void tell(FleetDuty fleet, FleetDutyFixture fixture) throws Exception;
    }

    private static void tell(Story story) throws Exception {
        try (FleetDutyFixture fixture = new FleetDutyFixture(new SystemClock())) {
            fixture.fleet.put(new FleetEvent.CatalogueChanged(catalogue()));
            fixture.fleet.put(new FleetEvent.PeersListed(List.of(PLANNER)));
            story.tell(fixture.fleet, fixture);
        }
    }

    private static void beat(FleetDuty fleet, int beats, boolean stopping) throws InterruptedException {
        for (int beat = 0; beat < beats; beat++) {
            fleet.put(new FleetEvent.Heartbeat(PLANNER, List.of(), stopping));
            Thread.sleep(BEAT_MILLIS);
        }
    }

    @Test
    public void planningIsTakenOverOnlyWhenTheNodeIsSilent() throws Exception {
        tell((fleet, fixture) -> {
            for (int beat = 0; beat < 20; beat++) {
                fleet.put(new FleetEvent.Heartbeat(PLANNER, List.of(), false));
                Thread.sleep(BEAT_MILLIS / 5);
                // Listed at first; then its registration lapses.
                fleet.put(new FleetEvent.PeersListed(beat < 8 ? List.of(PLANNER) : List.of()));
                Thread.sleep(BEAT_MILLIS);
            }
            assertFalse(tookOver(fixture), fixture.logText());
            fleet.put(new FleetEvent.PeersListed(List.of()));
            Thread.sleep(SILENCE_MILLIS);
            fleet.put(new FleetEvent.PeersListed(List.of()));
            Thread.sleep(SILENCE_MILLIS / 4);
            assertTrue(tookOver(fixture), fixture.logText());
        });
    }

    /** A node that stops serves on for seconds, and its heartbeats go on as long. */
    @Test
    public void planningOfANodeThatStopsIsTakenOverAtOnce() throws Exception {
        tell((fleet, fixture) -> {
            beat(fleet, 12, false);
            assertFalse(tookOver(fixture), fixture.logText());
            beat(fleet, 3, true);
            assertTrue(tookOver(fixture), fixture.logText());
        });
    }

    /** A node that was stopped and started again has its planning back. */
    @Test
    public void planningIsGivenBackToANodeThatStartsAgain() throws Exception {
        tell((fleet, fixture) -> {
            beat(fleet, 12, false);
            beat(fleet, 3, true);
            beat(fleet, 3, false);
            assertTrue(fixture.logText().contains("planner_yielded"));
        });
    }

    private static boolean tookOver(FleetDutyFixture fixture) {
        return fixture.logText().contains("planner_took_over");
    }

    private static RelayCatalogue catalogue() {
        EngineProfile engine = new EngineProfile(4, 5, 1, 0.1, 0.01, 45.9, 10, 10, 0, 50, 7, 50, 2.5, List.of());
        UpstreamEntry chat = new UpstreamEntry(new UpstreamId("chat"), "/h", 50, Optional.of(engine));
        return new RelayCatalogue(
                1,
                List.of(),
                Map.of(chat.id(), chat),
                Optional.empty(),
                new CallerLimits(16_384, 100_000, 3_000, 15_000));
    }
}
