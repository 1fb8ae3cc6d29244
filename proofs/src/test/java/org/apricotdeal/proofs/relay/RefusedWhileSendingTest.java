package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

/** Guards against answers that are lost because the node resets the connection of a caller that still sends its body. */
public final class RefusedWhileSendingTest {
    static final int PIECE_BYTES = 16 * 1024;
    static final long PIECE_GAP_MILLIS = 2;
    private static final String CHUNKED = "Transfer-Encoding: chunked";
    private static final String PIECE = "a".repeat(PIECE_BYTES);
    private static final String CHUNK = "4000\r\n" + PIECE + "\r\n";
    private static final String GOOD = head("/book/x", RelayFleet.KEY, "Content-Length: 0");

    private RelayFleet fleet;

    @BeforeClass
    void start() throws Exception {
        fleet = RelayFleet.serving(1, 1);
    }

    @AfterClass
    void stop() {
        fleet.close();
    }

    static String head(String path, String key, String framing) {
        return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a\r\nAuthorization: Bearer " + key
                + "\r\n" + framing + "\r\n\r\n";
    }

    static String withLength(int pieces) {
        return "Content-Length: " + pieces * PIECE_BYTES;
    }

    static void write(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    static void writeSlowly(Socket caller, String piece, int count, long gapMillis) throws IOException {
        for (int i = 0; i < count; i++) {
            write(caller, piece);
            RelayFleet.pause(gapMillis);
        }
    }

    /** Asserts that what is left to read is one answer and the proper end of the connection. */
    static void assertOnlyAnswer(Socket caller, int status) throws IOException {
        String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
        assertEquals(answer.lastIndexOf("HTTP/1.1"), 0, answer);
    }

    @DataProvider
    static Object[][] refusals() {
        return new Object[][] {
            {"/gone/x", RelayFleet.KEY, withLength(4), PIECE, 4, "", 404},
            {"/gone/x", RelayFleet.KEY, CHUNKED, CHUNK, 20, "0\r\n\r\n", 404},
            {"/book/x", "dropped-key", withLength(6), PIECE, 6, "", 401},
            {"/book/x", RelayFleet.KEY, withLength(40), PIECE, 40, "", 413},
            {"/book/x", RelayFleet.KEY, CHUNKED, CHUNK, 40, "0\r\n\r\n", 413},
        };
    }

    @Test(dataProvider = "refusals")
    public void callerSendsItsWholeBodyAndReadsTheAnswer(
            String path, String key, String framing, String piece, int pieces, String end, int status)
            throws IOException {
        for (int i = 0; i < 5; i++) {
            try (Socket caller = fleet.connect(fleet.callerAddress)) {
                write(caller, head(path, key, framing));
                writeSlowly(caller, piece, pieces, PIECE_GAP_MILLIS);
                write(caller, end);
                assertOnlyAnswer(caller, status);
            }
        }
    }

    @Test
    public void requestAfterRefusedOneIsAnswered() throws IOException {
        try (Socket caller = fleet.connect(fleet.callerAddress)) {
            for (int i = 0; i < 3; i++) {
                write(caller, head("/gone/x", RelayFleet.KEY, "Content-Length: " + GOOD.length()) + GOOD);
                assertTrue(RelayFleet.readSome(caller.getInputStream()).startsWith("HTTP/1.1 404"));
            }
            RelayFleet.send(caller, "POST", "/book/x", "good", RelayFleet.KEY);
            assertOnlyAnswer(caller, 200);
        }
    }

    @Test
    public void bytesOfRefusedBodyAreNoRequest() throws IOException {
        try (Socket caller = fleet.connect(fleet.callerAddress)) {
            write(caller, head("/gone/x", RelayFleet.KEY, "Content-Length: " + 20 * GOOD.length()));
            writeSlowly(caller, GOOD, 20, PIECE_GAP_MILLIS);
            assertOnlyAnswer(caller, 404);
        }
    }

    @Test
    public void callerThatWaitsForContinueIsAnsweredAtOnce() throws IOException {
        try (Socket caller = fleet.connect(fleet.callerAddress)) {
            caller.setSoTimeout(1_000);
            write(caller, head("/gone/x", RelayFleet.KEY, "Expect: 100-continue\r\n" + withLength(4)));
            assertOnlyAnswer(caller, 404);
        }
    }

    @DataProvider
    static Object[][] unfinishedBodies() {
        return new Object[][] {{withLength(4), 0L}, {withLength(4_000), PIECE_GAP_MILLIS}};
    }

    @Test(dataProvider = "unfinishedBodies")
    public void connectionOfUnfinishedBodyIsClosed(String framing, long gapMillis) throws Exception {
        try (RelayFleet.Member member = fleet.addNode("n2", "d0", 1);
                Socket caller = fleet.connect(member.callerAddress())) {
            RelayFleet.await(15, () -> fleet.call(member.callerAddress(), "GET", "/gone/x", "a", "")
                    .startsWith("HTTP/1.1 404"));
            write(caller, head("/gone/x", RelayFleet.KEY, framing));
            if (gapMillis > 0) {
                assertThrows(IOException.class, () -> writeSlowly(caller, PIECE, 4_000, gapMillis));
            }
            RelayFleet.await(8, () -> metrics(member).contains("callers_connections 0\n"));
        }
    }

    private String metrics(RelayFleet.Member member) {
        return fleet.call(member.metricsAddress(), "GET", "/metrics", "a", "");
    }
}
