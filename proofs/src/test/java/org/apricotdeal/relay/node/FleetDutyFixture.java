package org.apricotdeal.relay.node;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.health.LocalHealth;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.policy.ColdBounds;
import org.apricotdeal.relay.policy.FleetNode;
import org.apricotdeal.relay.policy.RelayDispatcher;
import org.apricotdeal.relay.policy.RetryBudget;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;
import org.apricotdeal.relay.port.VmClient;

/** A fleet duty of node {@code n1} in failure domain {@code b} with unreachable VMs, and its log. */
final class FleetDutyFixture implements AutoCloseable {
    static final FailureDomainId PLANNED_DOMAIN = new FailureDomainId("a");
    static final FailureDomainId OWN_DOMAIN = new FailureDomainId("b");

    final FleetDuty fleet;
    final DecisionLog log;
    final LocalHealth health = new LocalHealth();
    private final RelayDuty relay;
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    FleetDutyFixture(Clock clock) {
        this(clock, new UnreachableVmClient());
    }

    FleetDutyFixture(Clock clock, VmClient vmClient) {
        this(clock, vmClient, true);
    }

    /** Creates a fleet duty that knows that nothing is evacuated, or does not know it yet. */
    FleetDutyFixture(Clock clock, VmClient vmClient, boolean knowsEvacuations) {
        MetricRegistry metrics = new MetricRegistry();
        log = new DecisionLog(new PrintStream(written, true, StandardCharsets.UTF_8), metrics);
        RelayDispatcher dispatcher = new RelayDispatcher(
                new FleetNode("n1", OWN_DOMAIN),
                new RetryBudget(10_000, 0.2, 20, 1),
                RandomSource.SPLIT_MIX_64.create(1));
        relay = new RelayDuty(
                dispatcher,
                null,
                null,
                domain -> false,
                clock,
                RandomSource.SPLIT_MIX_64.create(2),
                log,
                metrics,
                ResourceLimits.of(0, 0));
        fleet = new FleetDuty(settings(), relay, vmClient, health, clock, log, metrics);
        if (knowsEvacuations) {
            fleet.put(new FleetEvent.EvacuationsChanged(Set.of()));
        }
    }

    /** Returns a blank engine VM of the planned failure domain. */
    static UpstreamVm vm(VmId id) {
        return new UpstreamVm(
                id,
                new UpstreamId("chat"),
                "127.0.0.1:1",
                PLANNED_DOMAIN,
                Optional.of(new FabricDomainId("f0")),
                "v1",
                12,
                false,
                1,
                0,
                List.of(),
                Optional.empty(),
                Optional.empty());
    }

    String logText() {
        return written.toString(StandardCharsets.UTF_8);
    }

    /** Waits until a text is in the log, which is written by a thread of its own. */
    void awaitLog(String text) {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (!logText().contains(text)) {
            if (System.nanoTime() > endNanos) {
                throw new AssertionError("no " + text + " in the log: " + logText());
            }
            Thread.onSpinWait();
        }
    }

    private static RelaySettings settings() {
        return new RelaySettings(
                "n1",
                OWN_DOMAIN,
                List.of(PLANNED_DOMAIN),
                false,
                "127.0.0.1:1",
                "127.0.0.1:2",
                "127.0.0.1:3",
                4,
                "users",
                "127.0.0.1:5",
                500,
                1_000,
                3_000,
                10_000,
                0.2,
                20,
                1,
                0,
                0,
                ColdBounds.OFF);
    }

    @Override
    public void close() {
        fleet.close();
        relay.close();
        log.close();
    }

    /** Client whose orders have an unknown outcome and whose reports fail. */
    static class UnreachableVmClient implements VmClient {
        @Override
        public CompletableFuture<OrderReply> order(
                UpstreamVm vm, long expected, ReplicaOrder order, long timeoutMillis) {
            return CompletableFuture.completedFuture(OrderReply.UNKNOWN);
        }

        @Override
        public CompletableFuture<Result<VmReport, String>> report(UpstreamVm vm, long timeoutMillis) {
            return CompletableFuture.completedFuture(Result.err("no VM"));
        }
    }
}
