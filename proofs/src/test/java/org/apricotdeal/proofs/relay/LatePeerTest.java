package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apricotdeal.proofs.http.ScriptedServer;
import org.apricotdeal.wire.gen.TRelayEvacuations;
import org.apricotdeal.wire.gen.TRelayHeartbeat;
import org.apricotdeal.wire.gen.TRelayNode;
import org.testng.annotations.Test;

/**
 * Tests that a node learns the operator's words from a peer whose responses take longer than a heartbeat may, as they all do
 * at a node with little processor time. Such a node kept an older catalogue for seconds, and was sent the newer one again
 * with each response that it dropped.
 */
public final class LatePeerTest {
    private static final long LATE_MILLIS = 900;

    /** Time in which a catalogue must be in force, and half of that in which an evacuation must be, in the smallest fleet. */
    private static final int IN_FORCE_SECONDS = 3;

    /** A node {@code n2} in another failure domain that answers late. */
    private static void withPeer(TRelayHeartbeat response, LateTest test) throws Exception {
        String catalogue = RelayFleet.configuration(4, "key-2");
        try (RelayFleet fleet = new RelayFleet(1, 1);
                ScriptedServer peer = new ScriptedServer(connection -> {
                    while (true) {
                        boolean heartbeat = connection.read().head().startsWith("post");
                        RelayFleet.pause(LATE_MILLIS);
                        respond(connection, heartbeat ? serialize(response) : bytes(catalogue));
                    }
                })) {
            fleet.configure(3, RelayFleet.KEY);
            fleet.awaitServing(15);
            TRelayNode node = new TRelayNode("n2", "b", peer.address(), 1);
            response.setSender(node);
            // All bytes of this entry are ASCII characters.
            fleet.store.put("apricotdeal/nodes/n2", new String(serialize(node), StandardCharsets.US_ASCII));
            test.run(fleet);
        }
    }

    /** A test of a node with a late peer. */
    private interface LateTest {
        void run(RelayFleet fleet);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] serialize(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException e) {
            throw new IllegalStateException("failed to encode a message", e);
        }
    }

    private static void respond(ScriptedServer.Connection connection, byte[] body) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
        connection.write(body);
    }

    private static TRelayHeartbeat heartbeat(long catalogueVersion) {
        return new TRelayHeartbeat(new TRelayNode("n2", "b", "127.0.0.1:1", 1), catalogueVersion, List.of());
    }

    @Test
    public void newerCatalogueIsFetched() throws Exception {
        withPeer(
                heartbeat(4),
                // The node reads the registrations each 1.2 s.
                fleet -> RelayFleet.await(IN_FORCE_SECONDS + 2, () -> fleet.call("POST", "/book/x", "r", "key-2")
                        .startsWith("HTTP/1.1 200")));
    }

    @Test
    public void evacuationIsObeyed() throws Exception {
        TRelayHeartbeat response = heartbeat(3);
        response.setEvacuations(new TRelayEvacuations(1_000_000, Map.of("a", 999_999L)));
        withPeer(
                response,
                fleet -> RelayFleet.await(IN_FORCE_SECONDS + 2, () -> fleet.call("POST", "/book/x", "r", RelayFleet.KEY)
                        .contains("evacuated")));
    }
}
