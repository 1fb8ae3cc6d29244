package org.apricotdeal.proofs.process;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

/** Guards against a reset of callers that still send a body for which the node has no memory. */
public final class CurbedWhileSendingTest {
    private static final String PART = "a".repeat(16 * 1024);
    private static final int PARTS = HostileFleet.BODY_BYTES / PART.length();
    private static final String LARGE = HostileFleet.head("/book/x", "large") + "Connection: close\r\nContent-Length: "
            + HostileFleet.BODY_BYTES + "\r\n\r\n";
    private static final String REFUSED = HostileFleet.head("/gone/x", "") + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String CHUNK = "1\r\na\r\n";
    private static final String REFUSAL = "HTTP/1.1 503";
    private static final int CROWD = 40;
    private static final int MAX_CROWDS = 10;
    private static final long HELD_BYTES = 10L * HostileFleet.BODY_BYTES;
    private static final long TRICKLE_MILLIS = 80;
    private static final long STALL_MILLIS = 800;

    private HostileFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new HostileFleet();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    @Test
    public void callerBesideTooManyBodiesReadsTheRefusal() throws Exception {
        for (int i = 0; i < MAX_CROWDS; i++) {
            fleet.leave();
            fleet.trickle(CROWD, LARGE, PART, PARTS, TRICKLE_MILLIS);
            ProcessFleet.await("the crowd has the memory", () -> fleet.metric("callers_held_body_bytes") > HELD_BYTES);
            try (Socket caller = fleet.connect(0)) {
                write(caller, LARGE);
                if (sendBody(caller).startsWith(REFUSAL)) {
                    return;
                }
            }
        }
        fail("no body is refused");
    }

    @Test
    public void callerWhoseBodyGaveWayReadsTheRefusal() throws Exception {
        try (Socket caller = fleet.connect(0)) {
            write(caller, LARGE);
            Thread.sleep(STALL_MILLIS);
            fleet.trickle(CROWD, LARGE, PART, PARTS, TRICKLE_MILLIS);
            ProcessFleet.await("a body gives way", () -> fleet.metric("callers_curbed_body") > 0);
            String answer = sendBody(caller);
            assertTrue(answer.startsWith(REFUSAL), answer);
        }
    }

    /** A caller whose body is being discarded keeps its answer when the connection is given to others. */
    @Test
    public void callerWhoseDiscardedBodyGaveWayReadsTheRefusal() throws Exception {
        try (Socket caller = fleet.connect(0)) {
            write(caller, REFUSED);
            Thread.sleep(STALL_MILLIS);
            fleet.trickle(2 * HostileFleet.MAX_DESCRIPTORS, REFUSED, CHUNK, PARTS, TRICKLE_MILLIS);
            ProcessFleet.await("a connection gives way", () -> fleet.metric("callers_curbed_connections") > 0);
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < PARTS; i++) {
                    write(caller, CHUNK);
                    Thread.sleep(TRICKLE_MILLIS);
                }
            });
            byte[] answer = new byte[1_024];
            int count = caller.getInputStream().read(answer);
            String text = new String(answer, 0, Math.max(0, count), StandardCharsets.US_ASCII);
            assertTrue(text.startsWith("HTTP/1.1 404") && text.endsWith("}"), text);
        }
    }

    /** Refused callers that send on without end take no connection from others. */
    @Test
    public void refusedCallersGiveWay() throws Exception {
        fleet.trickle(2 * HostileFleet.MAX_DESCRIPTORS, REFUSED, CHUNK, PARTS, TRICKLE_MILLIS);
        ProcessFleet.await(
                "an ordinary request is served", () -> fleet.ordinaryRequest().startsWith("HTTP/1.1 200"));
        assertTrue(fleet.node.descriptors() < HostileFleet.MAX_DESCRIPTORS);
        ProcessFleet.await("no connection is left", () -> fleet.metric("callers_connections") == 0);
        ProcessFleet.await("none lingers", () -> fleet.metric("callers_lingering") == 0);
    }

    /** Sends a body in parts and returns the whole answer. */
    private static String sendBody(Socket caller) throws Exception {
        for (int i = 0; i < PARTS; i++) {
            write(caller, PART);
            Thread.sleep(2);
        }
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private static void write(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }
}
