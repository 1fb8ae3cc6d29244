package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.apricotdeal.proofs.http.ScriptedServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that the relay heeds what the answers of VMs say about the VM, and how an answer ends. */
public final class VmAnswersTest {
    private static final long DRAIN_MILLIS = 2_000;

    private RelayFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = RelayFleet.serving(4, 5);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    /** A VM of the plain service whose answers a test writes; records the times of its requests. */
    private static final class ScriptedVm implements ScriptedServer.Script {
        final List<Long> requestNanos = new CopyOnWriteArrayList<>();
        private final String answer;

        /** Creates a VM that gives one answer, in which {@code ID} stands for the id of the request. */
        ScriptedVm(String answer) {
            this.answer = answer.replace("\n", "\r\n");
        }

        @Override
        public void serve(ScriptedServer.Connection connection) throws IOException {
            String id = connection.read().header("x-attempt-id");
            requestNanos.add(System.nanoTime());
            connection.write(answer.replace("ID", id));
        }

        long requestsBetween(long fromMillis, long toMillis) {
            long firstNanos = requestNanos.getFirst();
            return requestNanos.stream()
                    .map(nanos -> (nanos - firstNanos) / 1_000_000)
                    .filter(millis -> millis >= fromMillis && millis < toMillis)
                    .count();
        }
    }

    private void callFor(long millis) {
        long endNanos = System.nanoTime() + millis * 1_000_000;
        for (int i = 0; System.nanoTime() < endNanos; i++) {
            fleet.call("POST", "/book/x", "r" + i, RelayFleet.KEY);
            RelayFleet.pause(10);
        }
    }

    /** Guards against a VM being asked again and again while it wants no requests. */
    @Test
    public void vmThatAsksForPauseGetsNoRequestsBeforeItsEnd() throws Exception {
        ScriptedVm full = new ScriptedVm("""
                HTTP/1.1 503 Unavailable
                X-Attempt-Id: ID
                X-Not-Executed: 1
                Retry-After: 2.5
                Content-Length: 0
                Connection: close

                """);
        try (ScriptedServer vm = new ScriptedServer(full)) {
            fleet.registerService("full", vm, 4);
            callFor(5_000);
            assertTrue(full.requestsBetween(500, 2_500) <= 2, full.requestsBetween(500, 2_500) + " requests");
            assertTrue(full.requestsBetween(2_500, 5_000) >= 1, "the VM is asked again after the pause");
        }
    }

    /** Guards against requests reaching a VM that has said in its answers only that it leaves. */
    @Test
    public void vmThatSaysThatItLeavesGetsNoRequestsAfterDraining() throws Exception {
        ScriptedVm leaving = new ScriptedVm("""
                HTTP/1.1 200 OK
                X-Attempt-Id: ID
                X-Response-Signature: s
                Server-Leaving: 1
                Content-Length: 2
                Connection: close

                ok""");
        try (ScriptedServer vm = new ScriptedServer(leaving)) {
            fleet.registerService("leaving", vm, 4);
            callFor(2_000);
            assertFalse(leaving.requestNanos.isEmpty());
            // A later entry of the same incarnation does not bring the VM back.
            fleet.registerService("leaving", vm, 4);
            callFor(2_500);
            assertEquals(leaving.requestsBetween(DRAIN_MILLIS, Long.MAX_VALUE), 0);
        }
    }

    @DataProvider
    public Object[][] streams() {
        return new Object[][] {
            {"", false},
            {"id: 1\nda", false},
            {"id: 1\ndata: x\n\nid: 2\nda", false},
            {"id: 1\ndata: x\n\n", true}
        };
    }

    /**
     * Guards against a stream that was broken off ending like a complete one.
     *
     * @param body what comes before the connection ends, without a length or chunks
     * @param complete whether the stream is complete
     */
    @Test(dataProvider = "streams")
    public void streamThatEndsWithItsConnection(String body, boolean complete) throws Exception {
        ScriptedVm ending = new ScriptedVm("""
                HTTP/1.1 200 OK
                X-Attempt-Id: ID
                X-Response-Signature: s
                Content-Type: text/event-stream
                Connection: close

                """);
        ScriptedServer.Script script = connection -> {
            ending.serve(connection);
            connection.write(body);
        };
        try (ScriptedServer vm = new ScriptedServer(script)) {
            fleet.store.remove("servers/s0");
            fleet.registerService("ending", vm, 4);
            RelayFleet.pause(1_500);
            String answer = fleet.call("POST", "/watch/x", "r1", RelayFleet.KEY);
            boolean succeeded = answer.startsWith("HTTP/1.1 200") && answer.endsWith("0\r\n\r\n");
            assertEquals(succeeded, complete, answer);
        }
    }

    /** Guards against an error page of the server library, and against the signature of a VM on an error of the node. */
    @Test
    public void streamThatBreaksBeforeItsFirstEventIsReportedAsBadGateway() {
        fleet.engines.forEach(engine -> engine.breakStreamsAfter(0));
        String answer = fleet.call("POST", "/talk/x", "r1", RelayFleet.KEY);
        assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
        assertTrue(answer.contains("X-Attempt-Id: r1"), answer);
        assertFalse(answer.contains("X-Response-Signature"), answer);
    }

    /** The VM gets neither the key nor the mark of a request that another node has handed over. */
    @Test
    public void vmGetsNoKeyOfRequestThatWasHandedOver() throws Exception {
        List<String> heads = new CopyOnWriteArrayList<>();
        try (ScriptedServer vm = new ScriptedServer(connection -> {
            ScriptedServer.Received received = connection.read();
            heads.add(received.head());
            connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + received.header("x-attempt-id")
                    + "\r\nX-Response-Signature: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
        })) {
            fleet.replaceService("s9", vm, 4);
            String answer = fleet.call("POST", "/book/x", "r3", RelayFleet.KEY + "\nX-Apricotdeal-Hop: 1");
            assertTrue(answer.endsWith("ok"), answer);
        }
        assertFalse(heads.toString().contains(RelayFleet.KEY), heads.toString());
        assertFalse(heads.toString().contains("x-apricotdeal-hop"), heads.toString());
        assertTrue(heads.toString().contains("customer-1"), heads.toString());
    }

    @DataProvider
    static Object[][] statusLines() {
        return new Object[][] {
            {"/book/x", "HTTP/1.1 000 Odd", "502"},
            {"/book/x", "HTTP/1.1 099 Odd", "502"},
            {"/book/x", "HTTP/1.1 600 Odd", "502"},
            {"/book/x", "HTTP/1.1 999 Odd", "502"},
            {"/book/x", "HTTP/1.1 1000 Odd", "502"},
            {"/book/x", "HTTP/1.1 100 Continue\n\nHTTP/1.1 000 Odd", "502"},
            {"/book/x", "HTTP/1.1 103 Early Hints\n\nHTTP/1.1 600 Odd", "502"},
            {"/watch/x", "HTTP/1.1 000 Odd", "504"},
            {"/watch/x", "HTTP/1.1 600 Odd", "504"},
        };
    }

    /**
     * Guards against an answer with a status that the protocol does not know reaching the caller.
     *
     * @param path path of a booking or a stream
     * @param statusLine how the answer of the VM begins
     * @param expected status for the caller; a stream is tried until its time has passed
     */
    @Test(dataProvider = "statusLines")
    public void answerWithInvalidStatusReachedCaller(String path, String statusLine, String expected) throws Exception {
        ScriptedVm odd = new ScriptedVm(
                statusLine + "\nX-Attempt-Id: ID\nX-Response-Signature: s\nContent-Length: 2\nConnection: close\n\nok");
        try (ScriptedServer vm = new ScriptedServer(odd)) {
            fleet.replaceService("s9", vm, 4);
            String answer = fleet.call("POST", path, "r1", RelayFleet.KEY);
            assertTrue(answer.startsWith("HTTP/1.1 " + expected), answer);
            assertFalse(answer.contains("X-Response-Signature"), answer);
        }
    }
}
