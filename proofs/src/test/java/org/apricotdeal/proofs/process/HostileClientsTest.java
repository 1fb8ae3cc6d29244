package org.apricotdeal.proofs.process;

import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Sends a node process what clients outside the limits send; it lives, stays within its machine and serves others. */
public final class HostileClientsTest {
    /** Memory of the smallest machine. */
    private static final long MAX_KILOBYTES = 282L * 1024;

    private static final String END = "\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LENGTH = "Content-Length: ";
    private static final int PART_BYTES = 16 * 1024;
    private static final String PART = "a".repeat(PART_BYTES);
    private static final String CHUNK = "4000\r\n" + PART + END;
    private static final int BODY_PARTS = HostileFleet.BODY_BYTES / PART_BYTES;
    private static final int SHORT_LINES = 3_900;
    private static final int SMALL_CROWD = 80;
    private static final int CROWD = 150;

    private HostileFleet fleet;

    /**
     * Clients that send the same.
     *
     * @param name what they send
     * @param count number of clients
     * @param start first bytes of each
     * @param part bytes that each repeats
     * @param parts number of repetitions
     */
    private record Crowd(String name, int count, String start, String part, int parts) {
        @Override
        public String toString() {
            return name;
        }
    }

    @BeforeMethod
    public void start() throws Exception {
        fleet = new HostileFleet();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fleet.close();
    }

    @DataProvider
    public Object[][] crowds() {
        String book = HostileFleet.head("/book/x", "");
        String hold = HostileFleet.head("/hold/x", "");
        String load = HostileFleet.head("/load/x", "");
        String length = LENGTH + HostileFleet.BODY_BYTES + END + END;
        String noBody = LENGTH + 0 + END + END;
        return new Object[][] {
            {new Crowd("bodies with a length that stop short", SMALL_CROWD, book + length, PART, BODY_PARTS - 1)},
            {new Crowd("bodies in chunks that stop short", SMALL_CROWD, book + CHUNKED, CHUNK, BODY_PARTS - 1)},
            {new Crowd("whole bodies with a length", SMALL_CROWD, hold + length, PART, BODY_PARTS)},
            {
                new Crowd(
                        "whole bodies in chunks",
                        SMALL_CROWD,
                        hold + CHUNKED + CHUNK.repeat(BODY_PARTS) + "0\r\n\r\n",
                        "",
                        0)
            },
            {
                new Crowd(
                        "long bodies, announced",
                        SMALL_CROWD,
                        book + LENGTH + "1000000000\r\n\r\n",
                        PART,
                        20 * BODY_PARTS)
            },
            {new Crowd("long bodies, sent", SMALL_CROWD, book + CHUNKED, CHUNK, 20 * BODY_PARTS)},
            {new Crowd("short header lines", CROWD, hold + "a:\r\n".repeat(SHORT_LINES) + noBody, "", 0)},
            {new Crowd("odd header lines", CROWD, hold + oddLines() + noBody, "", 0)},
            {new Crowd("chunks of one byte", SMALL_CROWD, book + CHUNKED, "1\r\na\r\n".repeat(1_000), 200)},
            {
                new Crowd(
                        "heads that do not end",
                        2 * HostileFleet.MAX_DESCRIPTORS,
                        book + "b: " + "a".repeat(15_000),
                        "",
                        0)
            },
            {new Crowd("connections without requests", 2 * HostileFleet.MAX_DESCRIPTORS, "", "", 0)},
            {new Crowd("many requests without reading", SMALL_CROWD, "", (book + noBody).repeat(100), 200)},
            {new Crowd("answers that nobody reads", SMALL_CROWD, load + noBody, "", 0)},
        };
    }

    /** Returns lines of differing names with odd characters, with and without values. */
    private static String oddLines() {
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < 1_500; i++) {
            lines.append("!#$").append(i).append(i % 2 == 0 ? ":" : ":\t~").append(END);
        }
        return lines.toString();
    }

    /**
     * The node lives within its memory and descriptors, and an ordinary request is answered while the crowd stays and after.
     *
     * @param crowd the clients
     */
    @Test(dataProvider = "crowds")
    public void nodeServesOthers(Crowd crowd) throws Exception {
        fleet.crowd(crowd.count(), crowd.start(), crowd.part(), crowd.parts());
        assertServes(crowd + ", with the crowd");
        fleet.leave();
        assertServes(crowd + ", after the crowd");
    }

    /**
     * Connections that arrived together were accepted before any was read, so that one with a request was closed as the one without
     * a request for the longest time.
     */
    @Test
    public void unreadRequestGaveWayToConnectionsBehindIt() throws Exception {
        fleet.node.signal("STOP");
        try (Socket early = fleet.connect(0)) {
            early.getOutputStream().write(HostileFleet.ordinary("early").getBytes(StandardCharsets.UTF_8));
            fleet.crowd(2 * HostileFleet.MAX_DESCRIPTORS, "", "", 0);
            fleet.node.signal("CONT");
            assertServed(new String(early.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        }
    }

    private void assertServes(String when) throws Exception {
        String answer = fleet.ordinaryRequest();
        assertTrue(fleet.node.isAlive(), when + ": " + fleet.log());
        assertTrue(fleet.node.peakKilobytes() < MAX_KILOBYTES, when + ": " + fleet.node.peakKilobytes() + " kB");
        assertTrue(fleet.node.descriptors() < HostileFleet.MAX_DESCRIPTORS, when + ": " + fleet.node.descriptors());
        assertTrue(answer.startsWith("HTTP/1.1 200"), when + ": " + answer);
    }

    /** The largest requests that the limits allow are served in calm. */
    @Test
    public void largestRequestsAreServed() {
        String close = "Connection: close\r\n";
        String body = "a".repeat(HostileFleet.BODY_BYTES);
        String withBody = HostileFleet.head("/book/x", "body") + close + LENGTH + HostileFleet.BODY_BYTES + END + END;
        assertServed(fleet.request(withBody + body));
        String lines = "a:\r\n".repeat(1_500);
        assertServed(fleet.request(HostileFleet.head("/book/x", "lines") + close + lines + LENGTH + 0 + END + END));
    }

    private static void assertServed(String answer) {
        assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    }
}
