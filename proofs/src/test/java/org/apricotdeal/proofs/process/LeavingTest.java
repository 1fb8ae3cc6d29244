package org.apricotdeal.proofs.process;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotdeal.standins.engine.ExpectedAnswer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Stops nodes gracefully under load, lets upstreams leave, and changes the catalogue while the platform goes away. */
public final class LeavingTest {
    private static final int CALLERS = 6;
    private static final int TOKENS = 40;

    private final AtomicBoolean stop = new AtomicBoolean();
    private final AtomicInteger whole = new AtomicInteger();
    private final List<String> cut = java.util.Collections.synchronizedList(new ArrayList<>());
    private ProcessFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = ProcessFleet.start();
        stop.set(false);
        whole.set(0);
        cut.clear();
    }

    @AfterMethod
    public void stop() {
        fleet.close();
    }

    @Test
    public void rollingRestartCutsOffNoRequest() throws Exception {
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String prompt = "caller " + i;
            callers.add(CompletableFuture.runAsync(() -> completeUntilStopped(prompt)));
        }
        for (String node : List.of("node1", "node2")) {
            int before = whole.get();
            ProcessFleet.await("answers come", () -> whole.get() > before + CALLERS);
            assertEquals(fleet.process(node).terminate(), 0, "exit status of " + node);
            fleet.startNode(node);
            fleet.awaitReady(node);
        }
        stop.set(true);
        for (CompletableFuture<Void> caller : callers) {
            caller.get();
        }
        assertEquals(cut, List.of());
    }

    /** Sends requests as a balancer would: to a node that reports ready. */
    private void completeUntilStopped(String prompt) {
        for (int i = 0; !stop.get(); i++) {
            String node = fleet.isReady("node" + (i % 2 + 1)) ? "node" + (i % 2 + 1) : "node" + ((i + 1) % 2 + 1);
            try {
                HttpResponse<String> response = fleet.complete(node, prompt, TOKENS, false);
                String expected = ExpectedAnswer.text(prompt, TOKENS).strip();
                if (response.statusCode() == 200 && response.body().contains(expected.split(" ", -1)[0])) {
                    whole.incrementAndGet();
                } else if (!response.headers()
                        .firstValue("apricotdeal-outcome")
                        .orElse("")
                        .equals("not-run")) {
                    cut.add(node + ": " + response.statusCode() + " " + response.body());
                }
            } catch (IOException e) {
                if (!(e instanceof java.net.ConnectException)) {
                    cut.add(node + ": " + e);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    /** Each node reads the VM list on its own period, so each has to learn of the leaving VM before the claim holds. */
    @Test
    public void leavingServiceVmGetsNoNewWork() throws Exception {
        List<String> nodes = List.of("node1", "node2");
        for (String node : nodes) {
            ProcessFleet.await(node + " sends work to desk1", () -> givesWork(node, "desk1"));
        }
        fleet.post("platform", "/standin/vms/desk1/state", "{\"state\": \"leaving\"}");
        for (String node : nodes) {
            ProcessFleet.await(node + " gives desk1 no work", () -> !givesWork(node, "desk1"));
        }
        int before = executions("desk1");
        for (int i = 0; i < 40; i++) {
            lookUp(nodes.get(i % nodes.size()));
        }
        assertEquals(executions("desk1"), before, "executions of the leaving VM");
    }

    /** Sends ten lookups to a node and tells whether any of them ran on a service VM. */
    private boolean givesWork(String node, String desk) throws Exception {
        int before = executions(desk);
        for (int i = 0; i < 10; i++) {
            lookUp(node);
        }
        return executions(desk) > before;
    }

    private void lookUp(String node) throws Exception {
        assertEquals(fleet.send(node, "GET", "/services/desk/lookup", "").statusCode(), 200);
    }

    private int executions(String desk) throws Exception {
        return fleet.get(desk, "/standin/executions").path("executions").size();
    }

    @Test
    public void restartedNodeLearnsCatalogueFromPeerWhilePlatformIsAway() throws Exception {
        assertTrue(fleet.change(2, text -> text.replace("weight = 8", "weight = 9")));
        ProcessFleet.await("version 2 is in force", () -> version("node1") == 2 && version("node2") == 2);
        fleet.process("platform").signal("STOP");
        fleet.process("node1").kill();
        fleet.startNode("node1");
        assertEquals(version("node2"), 2);
        fleet.process("platform").signal("CONT");
        ProcessFleet.await("node1 has version 2 again", () -> version("node1") == 2);
    }

    private long version(String node) throws Exception {
        JsonNode status = fleet.get(node, "/admin/status");
        return status.path("catalogueVersion").asLong();
    }
}
