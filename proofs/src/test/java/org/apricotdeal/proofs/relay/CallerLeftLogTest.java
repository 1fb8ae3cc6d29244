package org.apricotdeal.proofs.relay;

import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.apricotdeal.proofs.http.ScriptedServer;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

/** Guards against a stack trace in the log for each caller that leaves before its answer. */
public final class CallerLeftLogTest {
    private static final long HANG_MILLIS = 10_000;
    private static final int SLOTS = 4;
    private static final Logger SERVER_LOG = Logger.getLogger("org.eclipse.jetty.server");

    @Test
    public void callersThatLeaveCauseNoStackTrace() throws Exception {
        Queue<String> thrown = new ConcurrentLinkedQueue<>();
        Handler collector = collector(thrown);
        SERVER_LOG.addHandler(collector);
        try (RelayFleet fleet = RelayFleet.serving(1, 1);
                ScriptedServer hung = new ScriptedServer(connection -> RelayFleet.pause(HANG_MILLIS))) {
            fleet.replaceService("hung", hung, SLOTS);
            for (int i = 0; i < SLOTS; i++) {
                try (Socket caller = fleet.connect(fleet.callerAddress)) {
                    RelayFleet.send(caller, "POST", "/book/x", "r" + i, RelayFleet.KEY);
                    RelayFleet.pause(100);
                }
            }
            RelayFleet.pause(500);
            assertEquals(String.join("\n", thrown), "");
        } finally {
            SERVER_LOG.removeHandler(collector);
        }
    }

    private static Handler collector(Queue<String> thrown) {
        return new Handler() {
            @Override
            public void publish(LogRecord logged) {
                if (logged.getThrown() != null) {
                    thrown.add(logged.getMessage() + ": " + logged.getThrown());
                }
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
    }
}
