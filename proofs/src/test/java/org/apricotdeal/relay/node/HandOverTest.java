package org.apricotdeal.relay.node;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.proofs.http.ScriptedServer;
import org.apricotdeal.relay.peer.HeardNodes;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.policy.RelayEvent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Guards against callers being refused by a node that has lost its links to the VMs while another node reaches them. */
public final class HandOverTest {
    private static final FailureDomainId DOMAIN = new FailureDomainId("a");
    private static final String SIGNED = "X-Response-Signature: s\n";
    private static final String OWN = NodeAttempt.HOP_HEADER + ": 1\n";
    private static final String STREAM = "Transfer-Encoding: chunked\n\n15\nid: 1\ndata: token 1\n\n\n";

    @DataProvider
    static Object[][] answers() {
        return new Object[][] {
            // path, answer of the other node ("" closes the connection), start and end of the caller's answer
            {"/x", "200 OK\n" + SIGNED + "Content-Length: 2\n\nok", "200", "ok"},
            {"/x", "500 Failed\n" + SIGNED + "Content-Length: 2\n\nno", "500", "no"},
            {"/watch/x", "200 OK\n" + SIGNED + STREAM + "0\n\n", "200", "0\r\n\r\n"},
            {"/watch/x", "200 OK\n" + SIGNED + STREAM, "200", "token 1\n\n"},
            {"/x", "503 Busy\n" + OWN + "Retry-After: 9\nContent-Length: 0\n\n", "503", "{\"error\":\"no_target\"}"},
            {"/x", "404 No route\n" + OWN + "Content-Length: 0\n\n", "503", "{\"error\":\"no_target\"}"},
            {"/x", "502 Broken\n" + OWN + "Content-Length: 2\n\nno", "502", "no"},
            {"/x", "504 Late\n" + OWN + "Content-Length: 2\n\nno", "504", "no"},
            {"/x", "200 OK\nContent-Length: 2\n\nok", "502", "{\"error\":\"broken\"}"},
            {"/x", "", "502", "{\"error\":\"broken\"}"},
        };
    }

    @Test(dataProvider = "answers")
    public void callerWasRefusedThoughOtherNodeServed(String path, String answer, String status, String end)
            throws Exception {
        try (ScriptedServer partner = new ScriptedServer(connection -> {
                    String id = connection.read().header("x-attempt-id");
                    if (!answer.isEmpty()) {
                        String head = "HTTP/1.1 " + answer.replaceFirst("\n", "\nX-Attempt-Id: " + id + "\n");
                        connection.write(head.replace("\n", "\r\n")
                                .replace("1\r\ndata: token 1\r\n\r\n", "1\ndata: token 1\n\n"));
                    }
                });
                FailingActionsTest.Node node = isolatedNode(partner.address(), false)) {
            String received = call(node, path, "");
            assertTrue(received.startsWith("HTTP/1.1 " + status), received);
            assertTrue(received.endsWith(end), received);
        }
    }

    @Test
    public void requestIsRefusedIfOtherNodeIsGone() throws Exception {
        try (FailingActionsTest.Node node = isolatedNode("127.0.0.1:1", false)) {
            String received = call(node, "/x", "");
            assertTrue(received.startsWith("HTTP/1.1 503"), received);
            assertTrue(received.contains("Retry-After: "), received);
        }
    }

    @Test
    public void requestFromOtherNodeIsNotHandedOver() throws Exception {
        AtomicInteger reached = new AtomicInteger();
        try (ScriptedServer partner = new ScriptedServer(connection -> reached.incrementAndGet());
                FailingActionsTest.Node node = isolatedNode(partner.address(), true)) {
            String received = call(node, "/x", NodeAttempt.HOP_HEADER + ": 1\r\n");
            assertTrue(received.startsWith("HTTP/1.1 503"), received);
            assertTrue(received.contains(NodeAttempt.HOP_HEADER + ": 1"), received);
        }
        assertEquals(reached.get(), 0);
    }

    /** A node that knows that it is isolated spends no attempt at a VM on a request. */
    @Test
    public void isolatedNodeHandsOverAtOnce() throws Exception {
        try (ScriptedServer partner = new ScriptedServer(HandOverTest::serve);
                FailingActionsTest.Node node = isolatedNode(partner.address(), true)) {
            String received = call(node, "/x", "");
            assertTrue(received.endsWith("ok"), received);
            assertFalse(node.metrics.getCounters().containsKey("attempts.failed.NOT_SENT"), "a VM was tried");
        }
    }

    /** Guards against the nodes of a failure domain that are cut off together handing all requests over to each other. */
    @Test
    public void nodesThatAreCutOffTogetherHandedOverToEachOther() throws Exception {
        AtomicInteger refused = new AtomicInteger();
        try (ScriptedServer neighbour = new ScriptedServer(connection -> {
                    connection.read();
                    refused.incrementAndGet();
                    connection.write(
                            "HTTP/1.1 503 Busy\r\n" + NodeAttempt.HOP_HEADER + ": 1\r\nContent-Length: 0\r\n\r\n");
                });
                ScriptedServer other = new ScriptedServer(HandOverTest::serve);
                FailingActionsTest.Node node = isolatedNode(
                        true,
                        peer("n2", DOMAIN, neighbour.address()),
                        peer("n3", new FailureDomainId("b"), other.address()))) {
            assertTrue(call(node, "/x", "").startsWith("HTTP/1.1 503"));
            assertTrue(call(node, "/x", "").endsWith("ok"));
            assertTrue(call(node, "/x", "").endsWith("ok"));
        }
        assertEquals(refused.get(), 1);
    }

    private static void serve(ScriptedServer.Connection connection) throws IOException {
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: "
                + connection.read().header("x-attempt-id")
                + "\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok");
    }

    private static Peer peer(String name, FailureDomainId domain, String callerAddress) {
        return new Peer(name, domain, "127.0.0.1:1", 1, Optional.of(callerAddress));
    }

    private static FailingActionsTest.Node isolatedNode(String partnerAddress, boolean isolated) throws Exception {
        return isolatedNode(isolated, peer("n2", DOMAIN, partnerAddress));
    }

    /** Returns a node whose only VM refuses connections, beside other nodes. */
    private static FailingActionsTest.Node isolatedNode(boolean isolated, Peer... partners) throws Exception {
        SystemClock clock = new SystemClock();
        VmReach reach = new VmReach() {
            @Override
            public boolean isListed(QueueId queue) {
                return true;
            }

            @Override
            public boolean isIsolated() {
                return isolated;
            }

            @Override
            public PeerSnapshot peerSnapshot() {
                Map<String, HeardNodes.Heard> heard = new HashMap<>();
                for (Peer partner : partners) {
                    heard.put(partner.name(), new HeardNodes.Heard(clock.monotonicMillis(), OptionalLong.empty()));
                }
                return new PeerSnapshot(List.of(partners), Set.of(), heard);
            }
        };
        FailingActionsTest.Node node = new FailingActionsTest.Node(FailingActionsTest.Fault.NONE);
        node.relay.handOverBy(new HandOver(
                DOMAIN,
                (address, target) -> new UpstreamRequest(node.client, address, target),
                new UsersPlatform().headers(),
                node.relay.callerResources(),
                reach,
                clock,
                node.log,
                node.metrics));
        node.relay.put(new RelayEvent.TargetsChanged(List.of(FailingActionsTest.target("v1", "127.0.0.1:1"))));
        return node;
    }

    private static String call(FailingActionsTest.Node node, String path, String header) throws Exception {
        try (Socket caller = node.call("r1", path, header)) {
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
