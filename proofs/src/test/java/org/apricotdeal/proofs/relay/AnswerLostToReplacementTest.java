package org.apricotdeal.proofs.relay;

import org.apricotdeal.proofs.http.ScriptedServer;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Guards against ending an answer that its VM would have gone on with, because a second VM did not answer in its place. */
public final class AnswerLostToReplacementTest {
    private static final long HANG_MILLIS = 20_000;
    private static final String PLAIN = "/book/x";
    private static final String STREAM = "/watch/x";
    private static final ScriptedServer.Script CLOSES = ScriptedServer.Connection::read;
    private static final ScriptedServer.Script REFUSES = SilentVmTest::refuse;

    private RelayFleet fleet;
    private int lastCase;

    @BeforeClass
    public void start() throws Exception {
        fleet = RelayFleet.serving(1, 1);
        fleet.store.put(
                "op/config",
                RelayFleet.patientConfiguration(4)
                        .replace("\"type\":\"non_idempotent\"", "\"type\":\"idempotent\"")
                        .replace("\"max-attempts\":1", "\"max-attempts\":2"));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    /** Requests with the first and the second VM that receives them. */
    @DataProvider
    static Object[][] cases() {
        return new Object[][] {
            {PLAIN, plain(600), CLOSES},
            {PLAIN, plain(1_300), CLOSES},
            {PLAIN, plain(1_800), REFUSES},
            {PLAIN, plain(1_300), plain(HANG_MILLIS)},
            {PLAIN, plain(1_300), plain(0)},
            {STREAM, stream(1_300, 0, 0), CLOSES},
            {STREAM, stream(1_800, 0, 0), REFUSES},
            {STREAM, stream(1_300, 0, 0), stream(HANG_MILLIS, 0, 0)},
            {STREAM, stream(1_300, 0, 0), stream(0, HANG_MILLIS, 0)},
            {STREAM, stream(1_300, 0, 0), stream(900, 0, 0)},
            {STREAM, stream(0, 1_300, 0), CLOSES},
            {STREAM, stream(0, 2_500, 0), CLOSES},
            {STREAM, stream(0, 2_500, 0), stream(0, HANG_MILLIS, 0)},
            {STREAM, stream(0, 0, 1_300), CLOSES},
            {STREAM, stream(0, 0, 2_500), CLOSES},
            {STREAM, stream(0, 0, 2_500), REFUSES},
            {STREAM, stream(0, 0, 2_500), stream(HANG_MILLIS, 0, 0)},
            {STREAM, stream(0, 0, 2_500), stream(0, 0, 900)},
            {STREAM, stream(0, 0, 2_500), stream(0, 0, 0)},
        };
    }

    @Test(dataProvider = "cases")
    public void callerGetsTheWholeAnswerOnce(String path, ScriptedServer.Script first, ScriptedServer.Script second)
            throws Exception {
        String id = "vm" + ++lastCase;
        try (ScriptedServer vm = new ScriptedServer(first);
                ScriptedServer other = new ScriptedServer(second)) {
            fleet.replaceService(id, vm, 4);
            Thread.ofVirtual().start(() -> {
                RelayFleet.pause(200);
                fleet.registerService("other-" + id, other, 4);
            });
            String answer = fleet.call("POST", path, id, RelayFleet.KEY);
            String body = path.equals(PLAIN) ? "ok" : SilentVmTest.chunk(1) + SilentVmTest.chunk(2) + "0\r\n\r\n";
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("\r\n\r\n" + body), answer);
        } finally {
            fleet.store.remove("servers/" + id);
            fleet.store.remove("servers/other-" + id);
        }
    }

    private static ScriptedServer.Script plain(long silentMillis) {
        return connection -> SilentVmTest.serveBooking(connection, silentMillis);
    }

    private static ScriptedServer.Script stream(long headMillis, long firstMillis, long secondMillis) {
        return connection -> {
            ScriptedServer.Received received = connection.read();
            RelayFleet.pause(headMillis);
            connection.write(SilentVmTest.streamHead(received.header("x-attempt-id")));
            RelayFleet.pause(firstMillis);
            connection.write(received.header("last-event-id").equals("1") ? "" : SilentVmTest.chunk(1));
            RelayFleet.pause(secondMillis);
            connection.write(SilentVmTest.chunk(2) + "0\r\n\r\n");
        };
    }
}
