package org.apricotdeal.proofs.relay;

import java.io.IOException;

import org.apricotdeal.proofs.http.ScriptedServer;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Guards against requests that the idle timeout of their connection ends while they wait for their answer. */
public final class IdleWhileAnswerPendsTest {
    private static final long WORK_MILLIS = 900;

    @Test
    public void shorterIdleTimeoutEndsNoRequestInProgress() throws Exception {
        try (RelayFleet fleet = new RelayFleet(1, 1);
                ScriptedServer vm = new ScriptedServer(IdleWhileAnswerPendsTest::serve)) {
            fleet.configure(3, RelayFleet.KEY);
            fleet.awaitServing(15);
            fleet.store.put(
                    "op/config",
                    RelayFleet.configuration(4, RelayFleet.KEY)
                            .replace("\"idle-timeout-ms\":15000", "\"idle-timeout-ms\":300")
                            .replace("\"timeout-ms\":1000", "\"timeout-ms\":4000"));
            fleet.replaceService("slow", vm, 4);
            String answer = fleet.call("POST", "/book/x", "slow", RelayFleet.KEY);
            assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
        }
    }

    private static void serve(ScriptedServer.Connection connection) throws IOException {
        String id = connection.read().header("x-attempt-id");
        RelayFleet.pause(WORK_MILLIS);
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                + "\r\nX-Response-Signature: s\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
    }
}
