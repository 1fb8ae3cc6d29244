package org.apricotdeal.proofs.relay;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.peer.PlannerChoice;
import org.apricotdeal.standins.users.UsersStoreStandin;
import org.apricotdeal.standins.users.UsersWorkerStandin;
import org.apricotdeal.wire.gen.TRelayHeartbeat;
import org.apricotdeal.wire.gen.TRelayNode;
import org.apricotdeal.wire.gen.TRelayVmEntry;
import org.apricotdeal.wire.gen.TRelayVmNews;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** End-to-end tests of a node in relay mode with a simulation of the users' platform. */
public final class RelayNodeTest {
    /** Revision that the simulated store does not reach in a test. */
    private static final long FUTURE_REVISION = 1_000_000;

    private RelayFleet fleet;

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (fleet != null) {
            fleet.close();
            fleet = null;
        }
    }

    private void start(int events, long gapMillis) throws Exception {
        fleet = RelayFleet.serving(events, gapMillis);
    }

    private static List<Map<String, String>> runsOf(RelayFleet fleet, String id) {
        return fleet.engines.stream()
                .flatMap(engine -> engine.runs().stream())
                .filter(run -> run.get("x-attempt-id").equals(id))
                .toList();
    }

    private UsersWorkerStandin engineRunning(String id) {
        RelayFleet.await(5, () -> !runsOf(fleet, id).isEmpty());
        return fleet.engines.stream()
                .filter(engine -> engine.runs().stream()
                        .anyMatch(run -> run.get("x-attempt-id").equals(id)))
                .findFirst()
                .orElseThrow();
    }

    private static void assertEvents(String answer, int events) {
        for (int i = 1; i <= events; i++) {
            String event = "id: " + i + "\ndata: token " + i + "\n\n";
            int at = answer.indexOf(event);
            assertTrue(at >= 0, "event " + i + " is missing in " + answer);
            assertEquals(answer.lastIndexOf(event), at, "event " + i + " came twice");
        }
    }

    @Test
    public void nodeWithoutCatalogueIsUnavailable() throws Exception {
        fleet = new RelayFleet(1, 1);
        assertTrue(fleet.call("POST", "/talk/x", "r1", RelayFleet.KEY).startsWith("HTTP/1.1 503"));
        assertTrue(fleet.readiness().startsWith("HTTP/1.1 503"));
    }

    @Test
    public void streamIsRelayedUnchangedWithRelayHeaders() throws Exception {
        start(4, 5);
        String answer = fleet.call("POST", "/talk/a%20b?q=1", "r1", RelayFleet.KEY);
        assertTrue(answer.contains("X-Response-Signature: signed-"), answer);
        assertEvents(answer, 4);
        Map<String, String> run = runsOf(fleet, "r1").getFirst();
        assertEquals(run.get("x-tenant"), "customer-1");
        assertTrue(run.get("x-target-instance").startsWith("e"), run.toString());
        assertEquals(run.get("path"), "/talk/a%20b");
        assertEquals(run.get("body"), "question");
        assertFalse(run.containsKey("authorization"));
        assertTrue(Integer.parseInt(run.get("x-deadline-ms")) <= 5_000);
    }

    @Test
    public void unknownRouteAndUnknownKeyAreRejected() throws Exception {
        start(1, 1);
        assertTrue(fleet.call("GET", "/nowhere/x", "r1", RelayFleet.KEY).startsWith("HTTP/1.1 404"));
        assertTrue(fleet.call("POST", "/book/x", "r2", "other").startsWith("HTTP/1.1 401"));
        assertEquals(fleet.service.runs(), List.of());
    }

    /** Guards against closing a connection after a rejection without announcing it, which lost the caller's next request. */
    @Test
    public void rejectionBeforeBodyAnnouncesConnectionClose() throws Exception {
        start(1, 1);
        String head = """
                POST /nowhere HTTP/1.1
                Host: h.example
                Content-Length: 2

                """.replace("\n", "\r\n");
        try (Socket socket = fleet.connect(fleet.callerAddress)) {
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(answer.startsWith("HTTP/1.1 404"), answer);
            assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
        }
    }

    @Test
    public void brokenStreamResumesOnOtherReplicaAfterLastCompleteEvent() throws Exception {
        start(8, 20);
        fleet.engines.forEach(engine -> engine.breakStreamsAfter(5));
        String answer = fleet.call("POST", "/talk/x", "r1", RelayFleet.KEY);
        assertEvents(answer, 8);
        assertTrue(answer.endsWith("0\r\n\r\n"), answer);
        List<Map<String, String>> runs = runsOf(fleet, "r1");
        assertEquals(runs.size(), 2);
        assertEquals(
                runs.stream()
                        .filter(run -> "5".equals(run.get("last-event-id")))
                        .count(),
                1);
    }

    /** The response is chunked even if the connection closes after it; otherwise the close would mark its normal end. */
    @Test
    public void permanentlyBrokenStreamIsNotTerminatedNormally() throws Exception {
        start(8, 20);
        fleet.engines.forEach(engine -> engine.breakStreamsAfter(2));
        String answer = fleet.call("POST", "/talk/x", "r1", RelayFleet.KEY);
        assertTrue(answer.contains("Transfer-Encoding: chunked"), answer);
        assertFalse(answer.endsWith("0\r\n\r\n"), answer);
    }

    @Test
    public void stalledStreamResumesOnOtherReplica() throws Exception {
        start(40, 25);
        Thread silencer = Thread.ofPlatform().start(() -> {
            UsersWorkerStandin runner = engineRunning("r1");
            RelayFleet.pause(200);
            runner.fallSilent();
        });
        String answer = fleet.call("POST", "/talk/x", "r1", RelayFleet.KEY);
        silencer.join();
        assertEvents(answer, 40);
    }

    /** A byte now and then that completes no event is no progress. */
    @Test
    public void drippingStreamResumesOnOtherReplica() throws Exception {
        start(40, 25);
        Thread dripper = Thread.ofPlatform().start(() -> {
            UsersWorkerStandin runner = engineRunning("r1");
            RelayFleet.pause(200);
            runner.drip();
        });
        String answer = fleet.call("POST", "/talk/x", "r1", RelayFleet.KEY);
        dripper.join();
        assertEvents(answer, 40);
    }

    @Test
    public void callerDisconnectCancelsUpstreamRequest() throws Exception {
        start(200, 20);
        try (Socket socket = fleet.connect(fleet.callerAddress)) {
            RelayFleet.send(socket, "POST", "/talk/x", "r1", RelayFleet.KEY);
            assertTrue(RelayFleet.readSome(socket.getInputStream()).startsWith("HTTP/1.1 200"));
        }
        UsersWorkerStandin runner = engineRunning("r1");
        RelayFleet.await(1, () -> runner.cutOff().contains("r1"));
    }

    @Test
    public void responseToDifferentRequestIsNotRelayed() throws Exception {
        start(1, 1);
        fleet.service.echo("another");
        String answer = fleet.call("POST", "/book/x", "r1", RelayFleet.KEY);
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertEquals(fleet.service.runs().size(), 1);
    }

    @Test
    public void bookingAtSilentServiceTimesOut() throws Exception {
        start(1, 1);
        fleet.service.fallSilent();
        String answer = fleet.call("POST", "/book/x", "r1", RelayFleet.KEY);
        assertTrue(answer.startsWith("HTTP/1.1 504"), answer);
    }

    @Test
    public void drainingWorkerGetsNoRequestsAfterTwoSeconds() throws Exception {
        start(1, 1);
        fleet.service.drain();
        RelayFleet.await(
                2, () -> fleet.call("POST", "/book/x", "r1", RelayFleet.KEY).startsWith("HTTP/1.1 503"));
        int runs = fleet.service.runs().size();
        assertTrue(fleet.call("POST", "/book/x", "r2", RelayFleet.KEY).startsWith("HTTP/1.1 503"));
        assertEquals(fleet.service.runs().size(), runs);
    }

    /** A watch that was sent while the store was silent must not go on waiting after the store recovers. */
    @Test
    public void catalogueIsInForceTwoSecondsAfterSilentStoreReturns() throws Exception {
        start(1, 1);
        fleet.store.setMode(UsersStoreStandin.Mode.SILENT);
        RelayFleet.pause(4_000);
        fleet.store.setMode(UsersStoreStandin.Mode.SERVING);
        fleet.configure(9, "key-2");
        RelayFleet.await(2, () -> fleet.call("POST", "/book/x", "r1", "key-2").startsWith("HTTP/1.1 200"));
        assertTrue(fleet.call("POST", "/book/x", "r2", RelayFleet.KEY).startsWith("HTTP/1.1 401"));
    }

    @Test
    public void stoppingNodeFinishesRunningRequestsAndThenRejectsNewOnes() throws Exception {
        start(40, 25);
        Thread stopper = Thread.ofPlatform().unstarted(fleet.node::stopGracefully);
        try (Socket socket = fleet.connect(fleet.callerAddress)) {
            RelayFleet.send(socket, "POST", "/talk/x", "r1", RelayFleet.KEY);
            String firstPart = RelayFleet.readSome(socket.getInputStream());
            stopper.start();
            RelayFleet.pause(100);
            assertTrue(fleet.readiness().startsWith("HTTP/1.1 503"));
            assertTrue(fleet.call("POST", "/book/x", "r2", RelayFleet.KEY).startsWith("HTTP/1.1 200"));
            RelayFleet.pause(1_600);
            assertTrue(fleet.call("POST", "/book/x", "r3", RelayFleet.KEY).startsWith("HTTP/1.1 503"));
            String rest = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue((firstPart + rest).contains("id: 40\n"), firstPart + rest);
        }
        stopper.join();
        assertTrue(fleet.service.runs().stream()
                .noneMatch(run -> run.get("x-attempt-id").equals("r3")));
    }

    private void startAndLoseStore() throws Exception {
        start(1, 1);
        fleet.store.setMode(UsersStoreStandin.Mode.BUSY);
        RelayFleet.pause(1_500);
    }

    private void regainStore() {
        fleet.store.setMode(UsersStoreStandin.Mode.SERVING);
        RelayFleet.pause(1_200);
    }

    /** A node that the store rejects learns of the removal of a VM from a peer. */
    @Test
    public void nodeWithoutStoreLearnsOfRemovedVmFromPeer() throws Exception {
        startAndLoseStore();
        assertTrue(fleet.call("POST", "/book/x", "r1", RelayFleet.KEY).startsWith("HTTP/1.1 200"));
        fleet.sendHeartbeat(FUTURE_REVISION, new TRelayVmEntry("servers/s0", FUTURE_REVISION));
        RelayFleet.await(
                1, () -> fleet.call("POST", "/book/x", "r2", RelayFleet.KEY).startsWith("HTTP/1.1 503"));
    }

    /** Guards against peers taking a node without store access for one with access, which delayed its new catalogues. */
    @Test
    public void nodeFollowingDelegateStillReportsStoreUnavailable() throws Exception {
        start(1, 1);
        fleet.store.setMode(UsersStoreStandin.Mode.BUSY);
        TRelayHeartbeat heartbeat =
                new TRelayHeartbeat(new TRelayNode(delegateBefore("n1"), "a", "127.0.0.1:9", 1), 3, List.of());
        heartbeat.setVmRevision(FUTURE_REVISION);
        heartbeat.setVmAgeMillis(0);
        heartbeat.setVmNews(new TRelayVmNews(FUTURE_REVISION, List.of()));
        TRelayHeartbeat own = fleet.exchange(heartbeat);
        for (int beat = 0; beat < 15; beat++) {
            RelayFleet.pause(200);
            own = fleet.exchange(heartbeat);
        }
        assertTrue(own.isStoreAway(), own.toString());
    }

    /** Returns the name of a node that precedes a given node in the delegate order of their failure domain. */
    private static String delegateBefore(String node) {
        FailureDomainId domain = new FailureDomainId("a");
        for (int i = 0; ; i++) {
            List<PlannerChoice.Candidate> both =
                    List.of(new PlannerChoice.Candidate(node, domain), new PlannerChoice.Candidate("p" + i, domain));
            if (PlannerChoice.planner(domain, both).orElseThrow().equals("p" + i)) {
                return "p" + i;
            }
        }
    }

    /** An invalid heartbeat is rejected immediately and the next valid one is accepted. */
    @Test
    public void invalidHeartbeatIsRejected() throws Exception {
        fleet = new RelayFleet(1, 1);
        assertTrue(fleet.sendHeartbeat(new byte[] {1, 2, 3}).startsWith("HTTP/1.1 400"));
        TRelayNode nameless = new TRelayNode("", "b", "127.0.0.1:1", 1);
        byte[] bytes =
                new TSerializer(new TCompactProtocol.Factory()).serialize(new TRelayHeartbeat(nameless, 0, List.of()));
        assertTrue(fleet.sendHeartbeat(bytes).startsWith("HTTP/1.1 400"));
        fleet.sendHeartbeat(1);
    }

    /** Entries expire by an outage only if the store is down for all nodes; a removal seen by a peer counts immediately. */
    @Test
    public void vmRemovedWhileStoreRejectedOnlyThisNodeIsDroppedOnReconnect() throws Exception {
        startAndLoseStore();
        fleet.store.remove("servers/s0");
        fleet.sendHeartbeat(1);
        regainStore();
        String answer = fleet.call("POST", "/book/x", "r1", RelayFleet.KEY);
        assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
    }

    /** Without peers, a missing entry may have expired during the outage; its VM registers again within two seconds. */
    @Test
    public void vmMissingAfterStoreOutageIsKeptForGracePeriod() throws Exception {
        startAndLoseStore();
        fleet.store.remove("servers/s0");
        regainStore();
        String answer = fleet.call("POST", "/book/x", "r1", RelayFleet.KEY);
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        RelayFleet.await(
                3, () -> fleet.call("POST", "/book/x", "r2", RelayFleet.KEY).startsWith("HTTP/1.1 503"));
    }

    /** Long responses to requests accepted later would not complete before the end of the process. */
    @Test
    public void stoppingNodeRejectsRequestsThreeSecondsAfterSignal() throws Exception {
        fleet = RelayFleet.serving(1, 1, 8_000);
        Thread stopper = Thread.ofPlatform().unstarted(fleet.node::stopGracefully);
        try (Socket socket = fleet.connect(fleet.callerAddress)) {
            stopper.start();
            RelayFleet.pause(2_000);
            assertTrue(fleet.call("POST", "/talk/x", "r1", RelayFleet.KEY).startsWith("HTTP/1.1 200"));
            RelayFleet.pause(1_000);
            RelayFleet.send(socket, "POST", "/talk/x", "r2", RelayFleet.KEY);
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
        }
        stopper.join();
        assertEquals(runsOf(fleet, "r2"), List.of());
    }

    @Test
    public void olderCatalogueIsIgnored() throws Exception {
        start(1, 1);
        fleet.configure(2, "key-2");
        RelayFleet.pause(1_000);
        assertTrue(fleet.call("POST", "/book/x", "r1", RelayFleet.KEY).startsWith("HTTP/1.1 200"));
    }

    @Test
    public void compactedHistoryIsRelistedAndMissingVmsAreRemoved() throws Exception {
        start(1, 1);
        fleet.store.remove("servers/s0");
        fleet.store.compact();
        RelayFleet.await(
                2, () -> fleet.call("POST", "/book/x", "r1", RelayFleet.KEY).startsWith("HTTP/1.1 503"));
        assertTrue(fleet.call("POST", "/talk/x", "r2", RelayFleet.KEY).startsWith("HTTP/1.1 200"));
    }
}
