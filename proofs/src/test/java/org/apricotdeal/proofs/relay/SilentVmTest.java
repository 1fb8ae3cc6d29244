package org.apricotdeal.proofs.relay;

import java.io.IOException;

import org.apricotdeal.proofs.http.ScriptedServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that the silence of a VM ends no answer while the request has time left. */
public final class SilentVmTest {
    private static final String CHUNKED_END = "0\r\n\r\n";

    /** Longer than the idle timeout of connections to VMs, and shorter than the time of the request. */
    private static final long LONG_SILENCE_MILLIS = 4_400;

    /** Longer than the time after which a silent VM is suspected. */
    private static final long SHORT_SILENCE_MILLIS = 1_300;

    private static final long HANG_MILLIS = 20_000;

    private RelayFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = RelayFleet.serving(1, 1);
        fleet.store.put("op/config", RelayFleet.patientConfiguration(4));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    @Test
    public void bookingIsAnsweredAfterLongSilence() throws Exception {
        try (ScriptedServer vm = new ScriptedServer(connection -> serveBooking(connection, LONG_SILENCE_MILLIS))) {
            fleet.replaceService("silent", vm, 4);
            String answer = fleet.call("POST", "/book/x", "silent", RelayFleet.KEY);
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        }
    }

    @Test
    public void streamGoesOnAfterLongSilence() throws Exception {
        try (ScriptedServer vm = new ScriptedServer(connection -> serveStream(connection, LONG_SILENCE_MILLIS))) {
            fleet.replaceService("silent", vm, 4);
            String answer = fleet.call("POST", "/watch/x", "silent", RelayFleet.KEY);
            assertTrue(answer.endsWith(CHUNKED_END), answer);
        }
    }

    @Test
    public void streamStaysWhereNoOtherVmCanReceiveIt() throws Exception {
        try (ScriptedServer vm = new ScriptedServer(connection -> serveStream(connection, SHORT_SILENCE_MILLIS))) {
            fleet.replaceService("silent", vm, 4);
            String answer = fleet.call("POST", "/watch/x", "silent", RelayFleet.KEY);
            assertTrue(answer.endsWith(CHUNKED_END), answer);
        }
    }

    @DataProvider
    static Object[][] otherVms() {
        ScriptedServer.Script refuses = SilentVmTest::refuse;
        ScriptedServer.Script closes = ScriptedServer.Connection::read;
        return new Object[][] {{refuses}, {closes}};
    }

    @Test(dataProvider = "otherVms")
    public void streamGoesOnAfterSilenceBesideVmThatCannotResumeIt(ScriptedServer.Script otherVm) throws Exception {
        try (ScriptedServer vm = new ScriptedServer(connection -> serveStream(connection, SHORT_SILENCE_MILLIS));
                ScriptedServer other = new ScriptedServer(otherVm)) {
            fleet.replaceService("silent", vm, 4);
            Thread.ofVirtual().start(() -> {
                RelayFleet.pause(200);
                fleet.registerService("other", other, 4);
            });
            RelayFleet.pause(100);
            String answer = fleet.call("POST", "/watch/x", "silent", RelayFleet.KEY);
            assertTrue(answer.endsWith(CHUNKED_END), answer);
        }
    }

    @Test
    public void stopAnswersRequestAtSilentVm() throws Exception {
        try (ScriptedServer vm = new ScriptedServer(connection -> serveBooking(connection, HANG_MILLIS))) {
            fleet.replaceService("silent", vm, 4);
            Thread stopping = Thread.ofPlatform().start(() -> {
                RelayFleet.pause(300);
                fleet.node.stopGracefully();
                fleet.node.close();
            });
            String answer = fleet.call("POST", "/book/x", "silent", RelayFleet.KEY);
            stopping.join();
            assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
        }
    }

    static void serveBooking(ScriptedServer.Connection connection, long silentMillis) throws IOException {
        String id = connection.read().header("x-attempt-id");
        RelayFleet.pause(silentMillis);
        connection.write(head(id) + "Connection: close\r\nContent-Length: 2\r\n\r\nok");
    }

    private static void serveStream(ScriptedServer.Connection connection, long silentMillis) throws IOException {
        ScriptedServer.Received received = connection.read();
        connection.write(streamHead(received.header("x-attempt-id")) + chunk(1));
        RelayFleet.pause(silentMillis);
        connection.write(chunk(2) + CHUNKED_END);
    }

    static void refuse(ScriptedServer.Connection connection) throws IOException {
        String id = connection.read().header("x-attempt-id");
        connection.write("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: " + id
                + "\r\nX-Not-Executed: 1\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }

    static String streamHead(String id) {
        return head(id) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private static String head(String id) {
        return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n";
    }

    static String chunk(int number) {
        String event = "id: " + number + "\ndata: token " + number + "\n\n";
        return Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
    }
}
