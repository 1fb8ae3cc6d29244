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

/** Several nodes in relay mode before one store: what they tell each other, and what they ask of the store. */
public final class RelayNodesTest {
    private static final int DOMAINS = 3;
    private static final int NODES_PER_DOMAIN = 3;
    private static final int NODES = DOMAINS * NODES_PER_DOMAIN;

    /** Time within which a catalogue has to be in force, as the users' pages say for small fleets. */
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
            throw new IllegalStateException("no metrics of " + node, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    private long sum(String name) {
        return nodes.stream().mapToLong(node -> metric(node, name)).sum();
    }

    /** Every node once sent the whole catalogue to every node whose last heartbeat named the one before. */
    @Test
    public void newCataloguesAreNotSentByEachNodeToEach() throws Exception {
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
        assertTrue(sent <= (long) NODES * fleet.catalogueBytes(), sent + " bytes of catalogues sent along");
    }

    /** Each node once sent to each other one, and followed the VMs' entries in the store. */
    @Test
    public void heartbeatsAndStoreCallsOfANodeDoNotGrowWithTheFleet() throws Exception {
        start();
        long heartbeats = sum("heartbeats_sent");
        long calls = sum("store_calls");
        RelayFleet.pause(5_000);
        long heartbeatsANode = (sum("heartbeats_sent") - heartbeats) / NODES;
        long callsANode = (sum("store_calls") - calls) / NODES;
        // A node has one partner, a delegate one in each other failure domain; five heartbeats a second.
        assertTrue(heartbeatsANode <= 2 * 5 * 5, heartbeatsANode + " heartbeats a node in 5 s");
        // Registration and catalogue; a third of the nodes follow the VMs twice a second besides.
        assertTrue(callsANode <= 5 * 4, callsANode + " calls a node in 5 s");
    }

    /** A node that stands by for its delegate goes on by itself, or by the next one, where the delegate is lost. */
    @Test
    public void leavingVmGetsNothingNewWhereADelegateHasJustBeenLost() throws Exception {
        start();
        List<RelayFleet.Member> delegates =
                nodes.stream().filter(node -> metric(node, "delegate") == 1).toList();
        assertTrue(delegates.size() == DOMAINS, delegates + " are delegates");
        delegates.forEach(RelayFleet.Member::close);
        List<RelayFleet.Member> left =
                nodes.stream().filter(node -> !delegates.contains(node)).toList();
        fleet.service.drain();
        RelayFleet.await(3, () -> left.stream()
                .allMatch(node -> fleet.call(node.callerAddress(), "POST", "/book/x", "r", RelayFleet.KEY)
                        .startsWith("HTTP/1.1 503")));
        nodes.removeAll(delegates);
    }

    /** A node that alone is turned away by the store has each catalogue from others. */
    @Test
    public void catalogueReachesNodesWhileTheStoreIsLost() throws Exception {
        start();
        fleet.configure(4, "key-2");
        RelayFleet.pause(300);
        fleet.store.setMode(UsersStoreStandin.Mode.BUSY);
        RelayFleet.await(IN_FORCE_SECONDS, () -> nodes.stream()
                .allMatch(node -> fleet.call(node.callerAddress(), "POST", "/book/x", "r", "key-2")
                        .startsWith("HTTP/1.1 200")));
    }
}
