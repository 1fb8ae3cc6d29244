package org.apricotdeal.proofs.relay;

import java.net.Socket;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a graceful stop that resets the connection of a caller that has been answered and still sends. */
public final class AnsweredWhileStoppingTest {
    private static final long DRAIN_MILLIS = 7_000;
    private static final long GAP_MILLIS = 100;

    @DataProvider
    static Object[][] callers() {
        return new Object[][] {
            {0L, "/gone/x", RefusedWhileSendingTest.withLength(45), 45, 404},
            {2_700L, "/book/x", RefusedWhileSendingTest.withLength(20), 20, 503},
            {500L, "/book/x", "Content-Length: 0", 20, 200},
        };
    }

    @Test(dataProvider = "callers")
    public void callerSendsOnAndReadsTheAnswer(long pauseMillis, String path, String framing, int pieces, int status)
            throws Exception {
        RelayFleet fleet = new RelayFleet(1, 1, DRAIN_MILLIS);
        fleet.configure(3, RelayFleet.KEY);
        fleet.awaitServing(15);
        try (Socket caller = fleet.connect(fleet.callerAddress)) {
            Thread stopping = Thread.ofPlatform().start(() -> {
                fleet.node.stopGracefully();
                fleet.close();
            });
            RelayFleet.pause(pauseMillis);
            RefusedWhileSendingTest.write(caller, RefusedWhileSendingTest.head(path, RelayFleet.KEY, framing));
            String piece = "a".repeat(RefusedWhileSendingTest.PIECE_BYTES);
            RefusedWhileSendingTest.writeSlowly(caller, piece, pieces, GAP_MILLIS);
            RefusedWhileSendingTest.assertOnlyAnswer(caller, status);
            stopping.join();
        }
    }
}
