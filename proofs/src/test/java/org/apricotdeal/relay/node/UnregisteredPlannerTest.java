package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.relay.model.CallerLimits;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that a node whose registration expired keeps planning its failure domain as long as its heartbeats arrive. */
public final class UnregisteredPlannerTest {
    private static final Peer PLANNER = new Peer("n2", FleetDutyFixture.PLANNED_DOMAIN, "127.0.0.1:1", 1);
    private static final long HEARTBEAT_MILLIS = 250;
    private static final long SILENCE_MILLIS = 4_000;

    /** A sequence of events for the fleet duty of a different node. */
    private interface Scenario {
        void run(FleetDuty fleet, FleetDutyFixture fixture) throws Exception;
    }

    private static void runScenario(Scenario scenario) throws Exception {
        try (FleetDutyFixture fixture = new FleetDutyFixture(new SystemClock())) {
            fixture.fleet.put(new FleetEvent.CatalogueChanged(catalogue()));
            fixture.fleet.put(new FleetEvent.PeersListed(List.of(PLANNER)));
            scenario.run(fixture.fleet, fixture);
        }
    }

    private static void sendHeartbeats(FleetDuty fleet, int count, boolean stopping) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            fleet.put(new FleetEvent.HeartbeatReceived(PLANNER, List.of(), stopping));
            Thread.sleep(HEARTBEAT_MILLIS);
        }
    }

    @Test
    public void planningIsTakenOverOnlyFromSilentNode() throws Exception {
        runScenario((fleet, fixture) -> {
            for (int beat = 0; beat < 20; beat++) {
                fleet.put(new FleetEvent.HeartbeatReceived(PLANNER, List.of(), false));
                Thread.sleep(HEARTBEAT_MILLIS / 5);
                // The node is listed at first; then its registration expires.
                fleet.put(new FleetEvent.PeersListed(beat < 8 ? List.of(PLANNER) : List.of()));
                Thread.sleep(HEARTBEAT_MILLIS);
            }
            assertFalse(tookOver(fixture), fixture.logText());
            fleet.put(new FleetEvent.PeersListed(List.of()));
            Thread.sleep(SILENCE_MILLIS);
            fleet.put(new FleetEvent.PeersListed(List.of()));
            Thread.sleep(SILENCE_MILLIS / 4);
            assertTrue(tookOver(fixture), fixture.logText());
        });
    }

    /** A stopping node continues to serve and to send heartbeats for seconds. */
    @Test
    public void planningOfStoppingNodeIsTakenOverImmediately() throws Exception {
        runScenario((fleet, fixture) -> {
            sendHeartbeats(fleet, 12, false);
            assertFalse(tookOver(fixture), fixture.logText());
            sendHeartbeats(fleet, 3, true);
            assertTrue(tookOver(fixture), fixture.logText());
        });
    }

    /** A node that was stopped and restarted takes back its planning. */
    @Test
    public void planningReturnsToRestartedNode() throws Exception {
        runScenario((fleet, fixture) -> {
            sendHeartbeats(fleet, 12, false);
            sendHeartbeats(fleet, 3, true);
            sendHeartbeats(fleet, 3, false);
            assertTrue(fixture.logText().contains("planner_yielded"));
        });
    }

    private static boolean tookOver(FleetDutyFixture fixture) {
        return fixture.logText().contains("planner_took_over");
    }

    static RelayCatalogue catalogue() {
        EngineProfile engine =
                new EngineProfile(4, 5, 1, 0.1, 0.01, 45.9, 10, 10, 0, 50, 7, 50, 2.5, List.of(), OptionalLong.empty());
        UpstreamEntry chat = new UpstreamEntry(new UpstreamId("chat"), "/h", 50, Optional.of(engine));
        return new RelayCatalogue(
                1,
                List.of(),
                Map.of(chat.id(), chat),
                Optional.empty(),
                new CallerLimits(16_384, 100_000, 3_000, 15_000));
    }
}
