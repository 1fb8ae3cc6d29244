package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.apricotdeal.proofs.http.ScriptedServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against real nodes sending a request for a plain service on, after one of them has seen what it does to VMs. */
public final class CrashingRequestNodesTest {
    private static final String CRASHING = "/watch/dead";
    private static final String SOUND = "/watch/x";
    private static final long CONTACT_MILLIS = 3_000;

    /** Time for which a VM runs the request before it crashes, as in the traced crashes. */
    private static final long CRASH_MILLIS = 50;

    private final List<ScriptedServer> vms = new ArrayList<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private RelayFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = RelayFleet.serving(4, 5);
        for (int i = 0; i < 4; i++) {
            int index = i;
            vms.add(new ScriptedServer(connection -> serve(index, connection)));
            fleet.registerService("c" + i, vms.get(i), 4);
        }
        fleet.store.remove("servers/s0");
    }

    private void serve(int index, ScriptedServer.Connection connection) throws IOException {
        ScriptedServer.Received request = connection.read();
        if (request.head().startsWith("get " + CRASHING)) {
            crashes.incrementAndGet();
            RelayFleet.pause(CRASH_MILLIS);
            vms.get(index).close();
            return;
        }
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id")
                + "\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                + "id: 1\ndata: x\n\n");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        fleet.close();
        for (ScriptedServer vm : vms) {
            vm.close();
        }
    }

    private String get(String address, String path, String id) {
        return fleet.call(address, "GET", path, id, RelayFleet.KEY);
    }

    @Test
    public void requestSeenByOneNodeWasSentByTheOther() throws Exception {
        try (RelayFleet.Member other = fleet.addNode("n2", "d0", 1)) {
            RelayFleet.await(15, () -> get(other.callerAddress(), SOUND, "w").startsWith("HTTP/1.1 200"));
            RelayFleet.await(5, () -> get(fleet.callerAddress, SOUND, "w").startsWith("HTTP/1.1 200"));
            // The request ran, so the caller must not be told that it did not.
            String first = get(fleet.callerAddress, CRASHING, "r1");
            assertTrue(first.startsWith("HTTP/1.1 502"), first);
            RelayFleet.pause(CONTACT_MILLIS);
            int seen = crashes.get();
            String second = get(other.callerAddress(), CRASHING, "r2");
            assertTrue(second.startsWith("HTTP/1.1 503"), second);
            assertTrue(second.contains("suspect_request"), second);
            assertEquals(crashes.get(), seen);
            assertTrue(get(other.callerAddress(), SOUND, "r3").startsWith("HTTP/1.1 200"), "a sound request");
        }
    }
}
