package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;
import org.apricotdeal.relay.port.VmClient;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests that the VMs of an evacuated failure domain get neither polls nor orders, also if they are suspected meanwhile. */
public final class FleetEvacuationTest {
    private static final VmId VM = new VmId("v1");

    /** Longer than a starting node waits before it plans, and than the time between two polls of a silent VM. */
    private static final long EVACUATED_MILLIS = 2_500;

    /** Client that counts its calls. */
    private static final class CountingVmClient implements VmClient {
        private final AtomicInteger calls = new AtomicInteger();

        @Override
        public CompletableFuture<OrderReply> order(
                UpstreamVm vm, long expected, ReplicaOrder order, long timeoutMillis) {
            calls.incrementAndGet();
            return CompletableFuture.completedFuture(OrderReply.UNKNOWN);
        }

        @Override
        public CompletableFuture<Result<VmReport, String>> report(UpstreamVm vm, long timeoutMillis) {
            calls.incrementAndGet();
            return CompletableFuture.completedFuture(Result.err("no VM"));
        }
    }

    @Test
    public void evacuatedDomainIsNeitherPolledNorPlanned() throws Exception {
        CountingVmClient client = new CountingVmClient();
        try (FleetDutyFixture fixture = new FleetDutyFixture(new SystemClock(), client, false)) {
            fixture.fleet.put(new FleetEvent.EvacuationsChanged(Set.of(FleetDutyFixture.PLANNED_DOMAIN)));
            fixture.fleet.put(new FleetEvent.CatalogueChanged(UnregisteredPlannerTest.catalogue()));
            fixture.fleet.put(new FleetEvent.PeersListed(List.of()));
            fixture.fleet.put(new FleetEvent.AllVmsListed(List.of(FleetDutyFixture.vm(VM)), Long.MAX_VALUE));
            fixture.fleet.put(new FleetEvent.VmsSuspected(List.of(VM), Optional.empty(), "test"));
            Thread.sleep(EVACUATED_MILLIS);
            assertEquals(client.calls.get(), 0);
            assertFalse(fixture.logText().contains("planner_took_over"), fixture.logText());
            fixture.awaitLog("event=evacuation_running");
            fixture.fleet.put(new FleetEvent.EvacuationsChanged(Set.of()));
            fixture.awaitLog("event=planner_took_over");
            assertTrue(client.calls.get() > 0, "the poll that was left out is caught up");
        }
    }
}
