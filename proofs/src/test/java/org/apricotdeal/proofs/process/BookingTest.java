package org.apricotdeal.proofs.process;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListSet;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Kills nodes and service VMs, and takes the platform away, while bookings with idempotency keys are made. */
public final class BookingTest {
    private static final int CALLERS = 4;
    private static final int BOOKINGS_PER_CALLER = 40;

    private final Set<String> answered = new ConcurrentSkipListSet<>();
    private final Set<String> everUnknown = new ConcurrentSkipListSet<>();
    private final Set<String> onlyNotRun = new ConcurrentSkipListSet<>();
    private ProcessFleet fleet;

    @BeforeMethod
    public void start() throws Exception {
        fleet = ProcessFleet.start();
        answered.clear();
        everUnknown.clear();
        onlyNotRun.clear();
    }

    @AfterMethod
    public void stop() {
        fleet.close();
    }

    @Test
    public void runsOnceWhenNodeAndServiceVmAreKilled() throws Exception {
        List<CompletableFuture<Void>> callers = startCallers();
        ProcessFleet.await("some bookings are made", () -> answered.size() >= CALLERS * 4);
        fleet.process("node1").kill();
        fleet.startNode("node1");
        ProcessFleet.await("more bookings are made", () -> answered.size() >= CALLERS * 10);
        fleet.process("desk1").signal("STOP");
        ProcessFleet.await("more bookings are made", () -> answered.size() >= CALLERS * 16);
        fleet.process("desk1").signal("CONT");
        for (CompletableFuture<Void> caller : callers) {
            caller.get();
        }
        assertAtMostOnce();
        assertTrue(answered.size() > CALLERS * BOOKINGS_PER_CALLER / 2, answered.size() + " bookings were answered");
    }

    @Test
    public void refusesAsNotRunWhilePlatformIsAway() throws Exception {
        assertEquals(book("node1", "before").statusCode(), 200);
        fleet.process("platform").signal("STOP");
        HttpResponse<String> away = book("node1", "away");
        assertEquals(away.statusCode(), 503, away.body());
        assertEquals(away.headers().firstValue("apricotdeal-outcome").orElse(""), "not-run");
        assertEquals(fleet.complete("node1", "platform away", 5, false).statusCode(), 200);
        assertEquals(fleet.send("node1", "GET", "/services/desk/lookup?x=1", "").statusCode(), 200);
        assertFalse(fleet.executedKeys().contains("away"));
        fleet.process("platform").signal("CONT");
        ProcessFleet.await("bookings go on", () -> book("node1", "after").statusCode() == 200);
        assertAtMostOnce();
        assertFalse(fleet.executedKeys().contains("away"));
    }

    private List<CompletableFuture<Void>> startCallers() {
        List<CompletableFuture<Void>> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String name = "caller" + i;
            callers.add(CompletableFuture.runAsync(() -> bookAll(name)));
        }
        return callers;
    }

    private void bookAll(String name) {
        for (int i = 0; i < BOOKINGS_PER_CALLER; i++) {
            bookUntilSettled(name + "-" + i);
        }
    }

    /** Sends a booking to the nodes in turn, always with the same key, until it is answered or tried often enough. */
    private void bookUntilSettled(String key) {
        boolean everSent = false;
        for (int attempt = 0; attempt < 6; attempt++) {
            try {
                HttpResponse<String> response = book(attempt % 2 == 0 ? "node1" : "node2", key);
                String outcome =
                        response.headers().firstValue("apricotdeal-outcome").orElse("");
                if (outcome.equals("answered")) {
                    answered.add(key);
                    return;
                }
                everSent |= !outcome.equals("not-run");
                Thread.sleep(200);
            } catch (IOException e) {
                everSent = true;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
        (everSent ? everUnknown : onlyNotRun).add(key);
    }

    private HttpResponse<String> book(String node, String key) throws IOException, InterruptedException {
        return fleet.send(node, "POST", "/services/desk/book", "{\"for\":\"" + key + "\"}", "idempotency-key", key);
    }

    private void assertAtMostOnce() throws Exception {
        List<String> executed = fleet.executedKeys();
        Set<String> seen = new HashSet<>();
        for (String key : executed) {
            assertTrue(seen.add(key), key + " ran twice");
        }
        for (String key : onlyNotRun) {
            assertFalse(seen.contains(key), key + " was refused as not run and has run");
        }
        for (String key : answered) {
            assertTrue(seen.contains(key), key + " was answered and has not run");
        }
    }
}
