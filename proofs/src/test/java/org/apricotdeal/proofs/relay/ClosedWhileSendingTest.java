package org.apricotdeal.proofs.relay;

import java.net.Socket;

import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a reset of a connection that the node ends while its caller sends. */
public final class ClosedWhileSendingTest {
    private static final String START = "POST /book/x HTTP/1.1\r\nHost: h.example\r\n";
    private static final String LINE = "a: " + "b".repeat(1_000) + "\r\n";
    private static final int LINES = 40;

    /** Longer than a head may take, with the interval of checks. */
    private static final long OVERDUE_MILLIS = 3_800;

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
    static Object[][] requests() {
        return new Object[][] {
            {"late head", START, OVERDUE_MILLIS, 408},
            {"large head", START, 0, 431},
            {"invalid head", START + "Content-Length: x\r\n", 0, 400},
            {"pipelined requests", START + "Connection: close\r\nContent-Length: 0\r\n\r\n", 0, 401},
        };
    }

    @Test(dataProvider = "requests")
    public void callerSendsOnAndReadsTheAnswer(String name, String start, long pauseMillis, int status)
            throws Exception {
        try (Socket caller = fleet.connect(fleet.callerAddress)) {
            RefusedWhileSendingTest.write(caller, start);
            RelayFleet.pause(pauseMillis);
            RefusedWhileSendingTest.writeSlowly(caller, LINE, LINES, RefusedWhileSendingTest.PIECE_GAP_MILLIS);
            RefusedWhileSendingTest.assertOnlyAnswer(caller, status);
        }
    }
}
