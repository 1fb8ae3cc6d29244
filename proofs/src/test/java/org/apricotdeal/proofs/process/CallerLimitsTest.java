package org.apricotdeal.proofs.process;

import java.io.IOException;
import java.util.List;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that a crowd that trickles keeps nothing from others, that an operator sees each crowd, and what calm callers get. */
public final class CallerLimitsTest {
    private static final String END = "\r\n";
    private static final String LENGTH = "Content-Length: ";
    private static final String SERVED = "HTTP/1.1 200";
    private static final String NO_BODY = LENGTH + 0 + END + END;
    private static final String WHOLE = LENGTH + HostileFleet.BODY_BYTES + END + END;
    private static final String BODY = "a".repeat(HostileFleet.BODY_BYTES);
    private static final int PART_BYTES = 16 * 1024;
    private static final String PART = "a".repeat(PART_BYTES);
    private static final int PARTS = HostileFleet.BODY_BYTES / PART_BYTES - 1;
    private static final String CHUNKS = ("4000\r\n" + PART + END).repeat(PARTS + 1) + "0\r\n\r\n";
    private static final String KIBIBYTE = "a".repeat(1_024);
    private static final int CROWD = 80;

    /** Requests of one connection whose answers are more than the buffers of a connection take. */
    private static final int UNREAD = 5;

    private static final int ALL_CONNECTIONS = 2 * HostileFleet.MAX_DESCRIPTORS;
    private static final long PAUSE_MILLIS = 200;
    private static final int PAUSES = 500;

    private HostileFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = new HostileFleet();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fleet.close();
    }

    private static String largeRequest() {
        return HostileFleet.head("/book/x", "large") + "Connection: close\r\n" + WHOLE + BODY;
    }

    /** Bodies of legal size of which 1 KiB arrives each 200 ms; the newcomer's body is as large as theirs. */
    @Test
    public void largeRequestIsServedBesideTrickle() throws Exception {
        fleet.trickle(CROWD, HostileFleet.head("/book/x", "") + WHOLE, KIBIBYTE, PAUSES, PAUSE_MILLIS);
        ProcessFleet.await(
                "the crowd has the memory", () -> fleet.metric("callers_held_body_bytes") > 10L * BODY.length());
        ProcessFleet.await(
                "a large request is served", () -> fleet.request(largeRequest()).startsWith(SERVED));
        assertTrue(fleet.ordinaryRequest().startsWith(SERVED));
    }

    /**
     * Clients that send the same.
     *
     * @param limit limit that they meet
     * @param count number of clients
     * @param request what each sends
     * @param probe request of another caller beside them
     */
    private record Crowd(String limit, int count, String request, String probe) {
        @Override
        public String toString() {
            return limit;
        }
    }

    /** Connections that all have a request, of which the body stops short. */
    @Test
    public void connectionsWithBodiesThatStallGiveWay() throws Exception {
        String request = HostileFleet.head("/book/x", "") + LENGTH + 1_000 + END + END + "a";
        fleet.crowd(ALL_CONNECTIONS, request, "", 0);
        ProcessFleet.await(
                "an ordinary request is served", () -> fleet.ordinaryRequest().startsWith(SERVED));
        assertTrue(fleet.node.isAlive());
        assertTrue(fleet.node.descriptors() < HostileFleet.MAX_DESCRIPTORS);
    }

    /** A caller that uses a connection again after a pause longer than a head may take. */
    @Test
    public void idleConnectionIsKept() throws Exception {
        String request = HostileFleet.head("/book/x", "first") + NO_BODY;
        assertTrue(
                fleet.requestAfterPause(request, 2 * HostileFleet.HEAD_MILLIS).startsWith(SERVED));
        assertEquals(fleet.curbed(), List.of());
    }

    @DataProvider
    public Object[][] curbedCrowds() {
        String book = HostileFleet.head("/book/x", "");
        String load = HostileFleet.head("/load/x", "");
        String close = "Connection: close\r\n";
        String lines = "a:\r\n".repeat(3_900);
        String small = book + close + NO_BODY;
        return new Object[][] {
            {new Crowd("body", CROWD, book + WHOLE + PART.repeat(PARTS), largeRequest())},
            {new Crowd("head", CROWD, HostileFleet.head("/hold/x", "") + lines + NO_BODY, small)},
            {new Crowd("head.time", CROWD, book + "b: ", small)},
            {new Crowd("answer", 1, (load + NO_BODY).repeat(UNREAD), load + close + NO_BODY)},
            {new Crowd("connections", ALL_CONNECTIONS, "", small)},
        };
    }

    /**
     * The log and the metrics say what a crowd was refused, and nothing stays held when it has left.
     *
     * @param crowd the clients
     */
    @Test(dataProvider = "curbedCrowds")
    public void crowdIsCountedAndLogged(Crowd crowd) throws Exception {
        fleet.crowd(crowd.count(), crowd.request(), "", 0);
        ProcessFleet.await(crowd + " is counted and logged", () -> {
            fleet.request(crowd.probe());
            return fleet.metric("callers_curbed_" + crowd.limit().replace('.', '_')) > 0
                    && fleet.curbed().contains(crowd.limit());
        });
        fleet.leave();
        ProcessFleet.await("nothing is held", this::isNothingHeld);
    }

    private boolean isNothingHeld() throws IOException {
        return fleet.metric("callers_connections") == 0
                && fleet.metric("callers_held_body_bytes") == 0
                && fleet.metric("callers_held_head_bytes") == 0
                && fleet.metric("callers_held_answer_bytes") == 0;
    }

    /** A head of the maximum size with many lines, together with the largest body, alone on a node. */
    @Test
    public void largestRequestIsServedInCalm() throws Exception {
        assertServed(WHOLE, BODY);
        assertServed("Transfer-Encoding: chunked\r\n\r\n", CHUNKS);
        assertEquals(fleet.curbed(), List.of());
    }

    private void assertServed(String lastLine, String body) {
        String head = HostileFleet.head("/size/x", "largest" + body.length()) + "Connection: close\r\n";
        int lines = (HostileFleet.HEAD_BYTES - head.length() - lastLine.length()) / 4;
        String answer = fleet.request(head + "a:\r\n".repeat(lines) + lastLine + body);
        assertTrue(answer.startsWith(SERVED), answer);
        assertTrue(answer.endsWith(lines + " lines, " + HostileFleet.BODY_BYTES + " bytes"), answer);
    }
}
