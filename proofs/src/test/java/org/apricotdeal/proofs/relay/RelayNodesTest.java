package org.apricotdeal.proofs.relay;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.standins.users.UsersStoreStandin;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests several nodes in relay mode that share a store: the messages between them and their calls to the store. */
public final class RelayNodesTest {
    private static final int DOMAINS = 3;
    private static final int NODES_PER_DOMAIN = 3;
    private static final int NODES = DOMAINS * NODES_PER_DOMAIN;

    /** Time within which a catalogue must be in force according to the users' specification for small fleets. */
    private static final int IN_FORCE_SECONDS = 2;

    private RelayFleet fleet;
    private final List<RelayFleet.Member> nodes = new ArrayList<>();
    private final HttpClient http = HttpClient.newHttpClient();

    private void start() throws Exception {
        fleet = new RelayFleet(1, 1);
        for (int i = 0; i < NODES; i++) {
            nodes.add(fleet.addNode("m" + i, "d" + i % DOMAINS, DOMAINS));
        }
        fleet.configure(3, RelayFleet.KEY);
        RelayFleet.await(15, () -> nodes.stream().allMatch(this::isServing));
        RelayFleet.pause(4_000);
    }

    private boolean isServing(RelayFleet.Member node) {
        return fleet.call(node.callerAddress(), "POST", "/book/x", "r", RelayFleet.KEY)
                .startsWith("HTTP/1.1 200");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        nodes.forEach(RelayFleet.Member::close);
        nodes.clear();
        if (fleet != null) {
            fleet.close();
            fleet = null;
        }
    }

    private long metric(RelayFleet.Member node, String name) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + node.metricsAddress() + "/metrics"))
                .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString())
                    .body()
                    .lines()
                    .filter(line -> line.startsWith(name + " "))
                    .mapToLong(line -> Long.parseLong(line.substring(name.length() + 1)))
                    .sum();
        } catch (IOException e) {
            throw new IllegalStateException("failed to read the metrics of " + node, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private long sum(String name) {
        return nodes.stream().mapToLong(node -> metric(node, name)).sum();
    }

    /** Guards against each node sending the whole catalogue to every node whose last heartbeat had the previous version. */
    @Test
    public void newCatalogueIsNotSentFromEveryNodeToEveryNode() throws Exception {
        start();
        for (int version = 4; version < 12; version++) {
            fleet.configure(version, RelayFleet.KEY);
            RelayFleet.pause(300);
        }
        fleet.configure(12, "key-2");
        RelayFleet.await(IN_FORCE_SECONDS, () -> nodes.stream()
                .allMatch(node -> fleet.call(node.callerAddress(), "POST", "/book/x", "r", "key-2")
                        .startsWith("HTTP/1.1 200")));
        RelayFleet.pause(1_000);
        long sent = sum("catalogues_sent_bytes");
        assertTrue(sent <= (long) NODES * fleet.catalogueBytes(), sent + " bytes of catalogues sent to peers");
    }

    /** Guards against a heartbeat from each node to each other node, and against all nodes watching the VM entries. */
    @Test
    public void heartbeatsAndStoreCallsPerNodeDoNotGrowWithFleet() throws Exception {
        start();
        long heartbeats = sum("heartbeats_sent");
        long calls = sum("store_calls");
        RelayFleet.pause(5_000);
        long heartbeatsPerNode = (sum("heartbeats_sent") - heartbeats) / NODES;
        long callsPerNode = (sum("store_calls") - calls) / NODES;
        // Five heartbeats per second and partner: the delegate, and for a delegate those of the other failure domains.
        assertTrue(heartbeatsPerNode <= 2 * 5 * 5, heartbeatsPerNode + " heartbeats per node in 5 s");
        // All nodes call the store for their registration and the catalogue; a third also watch the VMs twice per
        // second.
        assertTrue(callsPerNode <= 5 * 4, callsPerNode + " calls per node in 5 s");
    }

    /** A node that relied on a lost delegate for VM changes watches the store itself or relies on the next delegate. */
    @Test
    public void leavingVmGetsNoRequestsAfterDelegateLoss() throws Exception {
        start();
        List<RelayFleet.Member> delegates =
                nodes.stream().filter(node -> metric(node, "delegate") == 1).toList();
        assertTrue(delegates.size() == DOMAINS, delegates + " are delegates");
        delegates.forEach(RelayFleet.Member::close);
        List<RelayFleet.Member> remaining =
                nodes.stream().filter(node -> !delegates.contains(node)).toList();
        fleet.service.drain();
        RelayFleet.await(3, () -> remaining.stream()
                .allMatch(node -> fleet.call(node.callerAddress(), "POST", "/book/x", "r", RelayFleet.KEY)
                        .startsWith("HTTP/1.1 503")));
        nodes.removeAll(delegates);
    }

    /** Nodes that the store rejects get a new catalogue from their peers. */
    @Test
    public void catalogueReachesNodesWhileStoreIsUnavailable() throws Exception {
        start();
        fleet.configure(4, "key-2");
        RelayFleet.pause(300);
        fleet.store.setMode(UsersStoreStandin.Mode.BUSY);
        RelayFleet.await(IN_FORCE_SECONDS, () -> nodes.stream()
                .allMatch(node -> fleet.call(node.callerAddress(), "POST", "/book/x", "r", "key-2")
                        .startsWith("HTTP/1.1 200")));
    }
}
