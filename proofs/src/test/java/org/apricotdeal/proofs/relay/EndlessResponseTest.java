package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.apricotdeal.proofs.http.ScriptedServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that the relay aborts an endless response head or body before it uses up memory or the caller's deadline. */
public final class EndlessResponseTest {
    /** More than the node and the sockets may buffer, and far less than a worker writes over loopback within a deadline. */
    private static final long MAX_BYTES = 32L * 1024 * 1024;

    private static final int CALLERS = 20;

    /** The platform's bound on the time until a new configuration is in force. */
    private static final int CONFIG_APPLY_SECONDS = 2;

    /** Limit of the node's buffers for all responses, and the largest receive and send buffers of the sockets. */
    private static final long MAX_TOTAL_BYTES =
            16L * 1024 * 1024 + CALLERS * (6L * 1024 * 1024 + EndlessResponse.SEND_BUFFER_BYTES);

    private RelayFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = RelayFleet.serving(1, 1);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    @DataProvider
    public Object[][] parts() {
        return new Object[][] {
            {EndlessResponse.Part.STATUS_LINE},
            {EndlessResponse.Part.HEADER},
            {EndlessResponse.Part.HEADERS},
            {EndlessResponse.Part.BODY},
            {EndlessResponse.Part.CHUNKED_BODY},
            {EndlessResponse.Part.CHUNK_SIZE},
            {EndlessResponse.Part.CHUNK_EXTENSION},
            {EndlessResponse.Part.TRAILER},
            {EndlessResponse.Part.TRAILERS},
            {EndlessResponse.Part.INTERIM_RESPONSES},
            {EndlessResponse.Part.BLANK_LINES}
        };
    }

    @DataProvider
    public Object[][] allParts() {
        return Arrays.stream(EndlessResponse.Part.values())
                .map(part -> new Object[] {part})
                .toArray(Object[][]::new);
    }

    /**
     * The request may have been executed, so its outcome is unknown and the caller gets status 502.
     *
     * @param part part of the response that does not end
     */
    @Test(dataProvider = "parts")
    public void endlessResponseIsAborted(EndlessResponse.Part part) throws Exception {
        EndlessResponse endless = new EndlessResponse(part);
        try (ScriptedServer worker = new ScriptedServer(endless)) {
            fleet.replaceService("endless", worker, CALLERS);
            String answer = fleet.call("POST", "/book/x", "r1", RelayFleet.KEY);
            assertTrue(answer.startsWith("HTTP/1.1 502"), answer);
            RelayFleet.await(1, () -> endless.activeConnections.get() == 0);
            assertTrue(endless.writtenBytes.get() <= MAX_BYTES, endless.writtenBytes + " bytes");
        }
    }

    /**
     * One VM that writes without end on all its connections must not keep the node from reading from the store and from
     * other VMs (review/1).
     *
     * @param part part of the response that does not end
     */
    @Test(dataProvider = "allParts")
    public void endlessResponsesDoNotKeepTheNodeFromReading(EndlessResponse.Part part) throws Exception {
        EndlessResponse endless = new EndlessResponse(part);
        try (ScriptedServer worker = new ScriptedServer(endless)) {
            fleet.replaceService("endless", worker, CALLERS);
            List<Socket> callers = sendFromAllCallers();
            RelayFleet.pause(200);
            fleet.configure(4, RelayFleet.KEY, "key-2");
            long ackNanos = System.nanoTime();
            RelayFleet.await(CONFIG_APPLY_SECONDS, () -> fleet.call("POST", "/talk/x", "w" + System.nanoTime(), "key-2")
                    .startsWith("HTTP/1.1 200"));
            assertTrue(System.nanoTime() - ackNanos < TimeUnit.SECONDS.toNanos(CONFIG_APPLY_SECONDS));
            for (Socket caller : callers) {
                caller.close();
            }
            RelayFleet.await(1, () -> endless.activeConnections.get() == 0);
        }
    }

    /** The total size of the buffers for concurrent responses is limited. */
    @Test
    public void concurrentEndlessResponsesAreAborted() throws Exception {
        EndlessResponse endless = new EndlessResponse(EndlessResponse.Part.BODY);
        try (ScriptedServer worker = new ScriptedServer(endless)) {
            fleet.replaceService("endless", worker, CALLERS);
            List<Socket> callers = sendFromAllCallers();
            for (Socket caller : callers) {
                try (caller) {
                    String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                    assertTrue(answer.startsWith("HTTP/1.1 50"), answer);
                }
            }
            RelayFleet.await(1, () -> endless.activeConnections.get() == 0);
            assertTrue(endless.writtenBytes.get() <= MAX_TOTAL_BYTES, endless.writtenBytes + " bytes");
        }
    }

    private List<Socket> sendFromAllCallers() throws IOException {
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Socket caller = fleet.connect(fleet.callerAddress);
            RelayFleet.send(caller, "POST", "/book/x", "r" + i, RelayFleet.KEY);
            callers.add(caller);
        }
        return callers;
    }
}
