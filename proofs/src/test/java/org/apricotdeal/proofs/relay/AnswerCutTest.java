package org.apricotdeal.proofs.relay;

import java.io.IOException;

import org.apricotdeal.proofs.http.ScriptedServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that a node counts by cause the answers that it cuts. */
public final class AnswerCutTest {
    private static final long HANG_MILLIS = 10_000;

    private RelayFleet fleet;

    @BeforeClass
    void start() throws Exception {
        fleet = RelayFleet.serving(1, 1);
    }

    @AfterClass
    void stop() {
        fleet.close();
    }

    @DataProvider
    static Object[][] causes() {
        return new Object[][] {{"timeout", HANG_MILLIS, false}, {"broken", 0L, false}, {"stop", HANG_MILLIS, true}};
    }

    @Test(dataProvider = "causes")
    public void cutIsCounted(String cause, long silentMillis, boolean stops) throws Exception {
        try (ScriptedServer vm = new ScriptedServer(connection -> beginStream(connection, silentMillis));
                RelayFleet.Member member = fleet.addNode("n-" + cause, "d0", 1)) {
            fleet.registerService("other-" + cause, vm, 4);
            fleet.replaceService("silent-" + cause, vm, 4);
            if (stops) {
                Thread.ofPlatform().start(member.node()::stopGracefully);
                RelayFleet.pause(1_200);
            }
            String answer = fleet.call(member.callerAddress(), "POST", "/watch/x", "cut", RelayFleet.KEY);
            assertTrue(answer.contains("token 1"), answer);
            assertTrue(!answer.endsWith("0\r\n\r\n"), answer);
            String metrics = fleet.call(member.metricsAddress(), "GET", "/metrics", "a", "");
            assertTrue(metrics.contains("\nanswers_cut_" + cause + " 1\n"), metrics);
        } finally {
            fleet.store.remove("servers/silent-" + cause);
            fleet.store.remove("servers/other-" + cause);
        }
    }

    /** Sends an event and is then silent, or breaks off. */
    private static void beginStream(ScriptedServer.Connection connection, long silentMillis) throws IOException {
        String id = connection.read().header("x-attempt-id");
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n"
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                + "15\r\nid: 1\ndata: token 1\n\n\r\n");
        RelayFleet.pause(silentMillis);
    }
}
