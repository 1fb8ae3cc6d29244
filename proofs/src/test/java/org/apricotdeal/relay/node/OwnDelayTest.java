package org.apricotdeal.relay.node;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.kernel.time.SystemClock;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;
import org.apricotdeal.relay.port.VmClient;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests that a node that was held up for some seconds does not take its own expired timeouts for silent VMs. Its planner
 * would dissolve their replicas, and so cut off the requests that run there.
 */
public final class OwnDelayTest {
    private static final VmId VM = new VmId("v1");
    private static final long TICKS_MILLIS = 400;
    private static final long HELD_UP_MILLIS = 3_000;

    /** A clock that can be moved forward. */
    private static final class JumpingClock implements Clock {
        private final Clock real = new SystemClock();
        private final AtomicLong offsetMillis = new AtomicLong();

        @Override
        public long monotonicMillis() {
            return real.monotonicMillis() + offsetMillis.get();
        }

        @Override
        public long wallMillis() {
            return real.wallMillis() + offsetMillis.get();
        }
    }

    /** Client whose calls are still open. */
    private static final class PendingVmClient implements VmClient {
        @Override
        public CompletableFuture<OrderReply> order(
                UpstreamVm vm, long expected, ReplicaOrder order, long timeoutMillis) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Result<VmReport, String>> report(UpstreamVm vm, long timeoutMillis) {
            return new CompletableFuture<>();
        }
    }

    @Test
    public void reportsThatExpiredWhileTheNodeWasHeldUpAreNoSilence() throws Exception {
        JumpingClock clock = new JumpingClock();
        try (FleetDutyFixture fixture = new FleetDutyFixture(clock, new PendingVmClient())) {
            fixture.fleet.put(new FleetEvent.AllVmsListed(List.of(FleetDutyFixture.vm(VM)), Long.MAX_VALUE));
            Thread.sleep(TICKS_MILLIS);
            clock.offsetMillis.addAndGet(HELD_UP_MILLIS);
            missReports(fixture);
            assertFalse(fixture.logText().contains("vm_silent"), fixture.logText());
            Thread.sleep(TICKS_MILLIS);
            missReports(fixture);
            assertTrue(fixture.logText().contains("vm_silent"), fixture.logText());
        }
    }

    private static void missReports(FleetDutyFixture fixture) throws InterruptedException {
        fixture.fleet.put(new FleetEvent.VmReported(VM, Result.err("timeout")));
        fixture.fleet.put(new FleetEvent.VmReported(VM, Result.err("timeout")));
        Thread.sleep(TICKS_MILLIS / 2);
    }
}
