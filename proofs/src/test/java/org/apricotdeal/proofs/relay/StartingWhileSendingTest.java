package org.apricotdeal.proofs.relay;

import java.net.Socket;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a reset of callers that still send while the node, which has no catalogue yet, refuses them. */
public final class StartingWhileSendingTest {
    private static final String PIECE = "a".repeat(RefusedWhileSendingTest.PIECE_BYTES);

    private RelayFleet fleet;

    @BeforeClass
    void start() throws Exception {
        fleet = new RelayFleet(1, 1);
    }

    @AfterClass
    void stop() {
        fleet.close();
    }

    @DataProvider
    static Object[][] bodies() {
        return new Object[][] {
            {RefusedWhileSendingTest.withLength(6), PIECE, 6, ""},
            {RefusedWhileSendingTest.withLength(200), PIECE, 200, ""},
            {"Transfer-Encoding: chunked", "4000\r\n" + PIECE + "\r\n", 20, "0\r\n\r\n"},
        };
    }

    @Test(dataProvider = "bodies")
    public void callerSendsItsWholeBodyAndReadsTheRefusal(String framing, String piece, int pieces, String end)
            throws Exception {
        try (Socket caller = fleet.connect(fleet.callerAddress)) {
            RefusedWhileSendingTest.write(caller, RefusedWhileSendingTest.head("/book/x", RelayFleet.KEY, framing));
            RefusedWhileSendingTest.writeSlowly(caller, piece, pieces, RefusedWhileSendingTest.PIECE_GAP_MILLIS);
            RefusedWhileSendingTest.write(caller, end);
            RefusedWhileSendingTest.assertOnlyAnswer(caller, 503);
        }
    }
}
