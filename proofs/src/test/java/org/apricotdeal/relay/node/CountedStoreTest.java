package org.apricotdeal.relay.node;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.relay.health.LocalHealth;
import org.apricotdeal.relay.port.StoreLease;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/** Tests that the log tells which calls a node makes; a fleet of many small nodes pays for each call on each of them. */
public final class CountedStoreTest {
    @Test
    public void loadLineTellsCallsByCallerAndKind() {
        MetricRegistry metrics = new MetricRegistry();
        RegistrationStore store = new RegistrationStore();
        new CountedStore(store, metrics, "vms").range("servers/", false);
        CountedStore registration = new CountedStore(store, metrics, "registration");
        registration.renewLease(new StoreLease(1, 1));
        registration.renewLease(new StoreLease(1, 1));
        registration.range("nodes/", true);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        try (DecisionLog log =
                new DecisionLog(new PrintStream(written, true, StandardCharsets.UTF_8), new MetricRegistry())) {
            NodeLoadLog loads = new NodeLoadLog(log, metrics, new LocalHealth());
            loads.tick(1);
            loads.tick(10_000);
        }
        String line = written.toString(StandardCharsets.UTF_8);
        assertTrue(line.contains("store.calls=4"), line);
        assertTrue(
                line.contains("storeCalls=\"{registration.renewal=2, registration.staleRange=1, vms.range=1}\""), line);
    }
}
