package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that callers who send bytes without end do not keep the node from reading from other callers (review/1). */
public final class EndlessRequestTest {
    private static final int SENDERS = 8;
    private static final int SERVED_SECONDS = 2;
    private static final int PART_BYTES = 64 * 1024;
    private static final String HEAD = """
            POST /book/x HTTP/1.1
            Host: h.example
            X-Attempt-Id: endless
            Authorization: Bearer %s
            Transfer-Encoding: chunked

            """.formatted(RelayFleet.KEY).replace("\n", "\r\n");

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
    public Object[][] requests() {
        return new Object[][] {
            {"blank lines", "\r\n"}, {"chunk size", HEAD + "0"}, {"chunk extension", HEAD + "1;a"},
        };
    }

    /**
     * Other callers are served.
     *
     * @param name part of the request that does not end
     * @param start beginning of the request; its last byte, or its last line break, is repeated
     */
    @Test(dataProvider = "requests")
    public void otherCallersAreServed(String name, String start) throws Exception {
        String unit = start.equals("\r\n") ? start : start.substring(start.length() - 1);
        byte[] part = unit.repeat(PART_BYTES / unit.length()).getBytes(StandardCharsets.UTF_8);
        List<Socket> senders = new ArrayList<>();
        for (int i = 0; i < SENDERS; i++) {
            Socket sender = fleet.connect(fleet.callerAddress);
            sender.getOutputStream().write(start.getBytes(StandardCharsets.UTF_8));
            senders.add(sender);
            Thread.ofVirtual().start(() -> sendWithoutEnd(sender, part));
        }
        RelayFleet.pause(200);
        long startNanos = System.nanoTime();
        String answer = fleet.call("POST", "/book/x", "sound", RelayFleet.KEY);
        assertTrue(answer.startsWith("HTTP/1.1 200"), name + ": " + answer);
        assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(SERVED_SECONDS), name);
        for (Socket sender : senders) {
            sender.close();
        }
    }

    private static void sendWithoutEnd(Socket sender, byte[] part) {
        try {
            OutputStream out = sender.getOutputStream();
            while (true) {
                out.write(part);
            }
        } catch (IOException e) {
            // The node or the test has closed the connection.
        }
    }
}
