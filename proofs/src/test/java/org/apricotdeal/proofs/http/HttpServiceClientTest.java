package org.apricotdeal.proofs.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotdeal.engine.ServiceOutcome;
import org.apricotdeal.engine.ServiceRequest;
import org.apricotdeal.http.HttpServiceClient;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.proofs.standins.StandinFixture;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests {@link HttpServiceClient} against the service's stand-in. */
public final class HttpServiceClientTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private StandinFixture standins;
    private HttpServiceClient services;

    @BeforeMethod
    public void start() {
        standins = StandinFixture.start("""
                [defaults office]
                kind = service
                failureDomain = at-east-a
                latencyMillis = 1

                [vm office-1]
                upstream = office
                port = ${office}

                [vm office-2]
                upstream = office
                port = ${hasty}
                idleTimeoutMillis = 1
                """);
        services = new HttpServiceClient(standins.client());
    }

    @AfterMethod
    public void stop() {
        standins.close();
    }

    @Test
    public void answerIsPassedThroughWholeAndRunsOnce() {
        ServiceOutcome.Answered answer = (ServiceOutcome.Answered) call("office", "booking-1", TIMEOUT_MILLIS);
        assertEquals(answer.status(), 200);
        assertEquals(answer.headers().get("content-type"), "application/json");
        assertTrue(new String(answer.body(), StandardCharsets.UTF_8).contains("survey at 9"));
        JsonNode execution = executions("office").getFirst();
        assertEquals(execution.path("requestId").asText(), "booking-1");
        assertEquals(execution.path("idempotencyKey").asText(), "key-booking-1");
        assertEquals(execution.path("method").asText(), "POST");
        assertEquals(execution.path("path").asText(), "/surveys");
        assertEquals(executions("office").size(), 1);
    }

    @Test
    public void refusedConnectionIsNotSent() {
        ServiceOutcome outcome = call("nothing", "booking-1", TIMEOUT_MILLIS);
        assertTrue(outcome instanceof ServiceOutcome.NotSent, outcome.toString());
    }

    @Test
    public void invalidAddressIsNotSent() {
        ServiceOutcome outcome =
                services.call("nowhere", request("booking-1"), TIMEOUT_MILLIS).join();
        assertTrue(outcome instanceof ServiceOutcome.NotSent, outcome.toString());
    }

    @Test
    public void connectionCutBeforeTheRunIsUnknownAndHasNotRun() {
        standins.faults("office", "{\"dieBeforeRunShare\": 1}");
        assertTrue(call("office", "booking-1", TIMEOUT_MILLIS) instanceof ServiceOutcome.Unknown);
        assertEquals(executions("office").size(), 0);
    }

    @Test
    public void connectionCutAfterTheRunIsUnknownAndHasRunOnce() {
        standins.faults("office", "{\"dieAfterRunShare\": 1}");
        assertTrue(call("office", "booking-1", TIMEOUT_MILLIS) instanceof ServiceOutcome.Unknown);
        assertEquals(executions("office").size(), 1);
    }

    /** Several pooled connections go silent at once: the first call finds out, and no later one may wait for another. */
    @Test
    public void silentConnectionsAreUnknownOnceAndThenAvoided() {
        List<CompletableFuture<ServiceOutcome>> first = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            first.add(services.call(standins.address("office"), request("booking-" + i), TIMEOUT_MILLIS));
        }
        first.forEach(outcome -> assertTrue(outcome.join() instanceof ServiceOutcome.Answered));
        standins.faults("office", "{\"silent\": true}");
        assertTrue(call("office", "booking-8", 200) instanceof ServiceOutcome.Unknown);
        assertTrue(call("office", "booking-9", TIMEOUT_MILLIS) instanceof ServiceOutcome.Answered);
    }

    /**
     * The service closes each connection a millisecond after it falls idle, so that many requests find a pooled connection
     * that is closed already or just being closed. None may run twice, and none that is reported as not sent may run.
     */
    @Test
    public void connectionClosedWhileIdleNeverLeadsToASecondExecution() {
        int requests = 400;
        List<ServiceOutcome> outcomes = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            outcomes.add(call("hasty", "booking-" + i, TIMEOUT_MILLIS));
            pauseMicros(800 + i);
        }
        int[] runs = new int[requests];
        for (JsonNode execution : executions("hasty")) {
            runs[Integer.parseInt(execution.path("requestId").asText().substring("booking-".length()))]++;
        }
        for (int i = 0; i < requests; i++) {
            int allowed = outcomes.get(i) instanceof ServiceOutcome.NotSent ? 0 : 1;
            assertTrue(runs[i] <= allowed, "booking-" + i + " ran " + runs[i] + " times: " + outcomes.get(i));
            if (outcomes.get(i) instanceof ServiceOutcome.Answered answered) {
                int expected = answered.status() == 200 ? 1 : 0;
                assertEquals(runs[i], expected, "booking-" + i + ": " + answered);
            }
        }
    }

    private static void pauseMicros(long micros) {
        LockSupport.parkNanos(micros * 1_000);
    }

    private ServiceOutcome call(String portName, String id, long timeoutMillis) {
        return services.call(standins.address(portName), request(id), timeoutMillis)
                .join();
    }

    private static ServiceRequest request(String id) {
        return new ServiceRequest(
                new RequestId(id),
                "POST",
                "/surveys?day=2",
                Map.of("idempotency-key", "key-" + id, "content-type", "text/plain", "Connection", "close-not"),
                "survey at 9".getBytes(StandardCharsets.UTF_8));
    }

    private List<JsonNode> executions(String portName) {
        List<JsonNode> executions = new ArrayList<>();
        standins.get(portName, "/standin/executions").path("executions").forEach(executions::add);
        return executions;
    }
}
