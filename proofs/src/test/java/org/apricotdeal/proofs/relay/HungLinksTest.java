package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apricotdeal.proofs.http.ScriptedServer;
import org.apricotdeal.standins.users.UsersStoreStandin;
import org.apricotdeal.wire.gen.TRelayHeartbeat;
import org.apricotdeal.wire.gen.TRelayNode;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Guards against callers of a node whose connections to all VMs hang waiting until their time has passed. */
public final class HungLinksTest {
    private static final int ENGINES = 4;
    private static final int CALLS = 10;
    private static final long HANG_MILLIS = 30_000;

    /** Time within which a node has to know that it is isolated, and a margin for a loaded machine. */
    private static final int DETECTION_SECONDS = 6;

    /** The second node knows VMs that never answer; the other node, which it hears, is served by those of the fleet. */
    @Test
    public void callersOfNodeWithHungLinksWaitedForTimeout() throws Exception {
        try (RelayFleet fleet = RelayFleet.serving(1, 1);
                UsersStoreStandin store = new UsersStoreStandin();
                ScriptedServer hung = new ScriptedServer(connection -> RelayFleet.pause(HANG_MILLIS));
                ScriptedServer partner = new ScriptedServer(HungLinksTest::respondToHeartbeats)) {
            store.put("op/config", RelayFleet.configuration(3, RelayFleet.KEY));
            store.put("servers/s0", entry("shop", hung));
            for (int i = 0; i < ENGINES; i++) {
                store.put("servers/e" + i, entry("chat", hung));
            }
            TRelayNode node = new TRelayNode("n1", "a", partner.address(), 1);
            node.setCallerAddress(fleet.callerAddress);
            byte[] registration = new TSerializer(new TCompactProtocol.Factory()).serialize(node);
            store.put("apricotdeal/nodes/n1", new String(registration, StandardCharsets.US_ASCII));
            try (RelayFleet.Member isolated = fleet.addNode("n2", "d0", 1, store.address())) {
                RelayFleet.await(DETECTION_SECONDS, () -> call(fleet, isolated).startsWith("HTTP/1.1 200"));
                for (int i = 0; i < CALLS; i++) {
                    String answer = call(fleet, isolated);
                    assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
                }
            }
        }
    }

    private static String call(RelayFleet fleet, RelayFleet.Member node) {
        return fleet.call(node.callerAddress(), "POST", "/book/x", "r1", RelayFleet.KEY);
    }

    /** Returns the entry of a VM; only those of engines have a fabric domain. */
    private static String entry(String service, ScriptedServer vm) {
        String engineFields = service.equals("chat")
                ? ",\"phase\":\"unified\",\"domain\":\"f0\",\"models\":[],\"staged-models\":[]"
                : "";
        return """
                {"service":"%s","address":"%s","zone":"d0","version":"v1","slots":4,"state":"ready",
                "cold-remaining-ms":0,"sequence":1,"born":5%s}""".formatted(service, vm.address(), engineFields);
    }

    private static void respondToHeartbeats(ScriptedServer.Connection connection) throws IOException {
        while (true) {
            connection.read();
            byte[] body = heartbeat();
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
            connection.write(body);
        }
    }

    private static byte[] heartbeat() {
        TRelayNode sender = new TRelayNode("n1", "a", "127.0.0.1:1", 1);
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(new TRelayHeartbeat(sender, 3, List.of()));
        } catch (TException e) {
            throw new IllegalStateException("failed to encode a heartbeat", e);
        }
    }
}
