package org.apricotdeal.relay.node;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.policy.RelayDispatcher;
import org.apricotdeal.relay.policy.RepeatBudget;
import org.apricotdeal.relay.port.OrderReply;
import org.apricotdeal.relay.port.ReplicaOrder;
import org.apricotdeal.relay.port.ReplicaOrders;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.WatchStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** When a VM counts as gone for a node that follows the store, or goes by the word of its delegate. */
public final class VmWatcherTest {
    private static final FailureDomainId DOMAIN = new FailureDomainId("a");

    /** Time for which entries are awaited that lapsed while the store was away. */
    private static final long COME_BACK_MILLIS = 2_200;

    /** A clock that a test sets. */
    private static final class SetClock implements Clock {
        private final AtomicLong nowMillis = new AtomicLong(100_000);

        void pass(long millis) {
            nowMillis.addAndGet(millis);
        }

        @Override
        public long monotonicMillis() {
            return nowMillis.get();
        }

        @Override
        public long wallMillis() {
            return nowMillis.get();
        }
    }

    /** A store without VMs, which a test takes away. */
    private static final class EmptyStore implements WatchStore {
        private boolean away;

        @Override
        public Result<Range, StoreFault> range(String prefix, boolean stale) {
            return away ? Result.err(new StoreFault.Refused("away")) : Result.ok(new Range(List.of(), 1));
        }

        @Override
        public Result<Changes, StoreFault> watch(String prefix, long afterRevision, long waitMillis) {
            return away ? Result.err(new StoreFault.Refused("away")) : Result.ok(new Changes(List.of(), 1));
        }

        @Override
        public Result<Long, StoreFault> write(String key, byte[] value, long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Result<Long, StoreFault> grantLease(long ttlMillis) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Result<Long, StoreFault> renewLease(long leaseId) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Result<Boolean, StoreFault> endLease(long leaseId) {
            throw new UnsupportedOperationException();
        }
    }

    /** Takes no orders and gives no reports. */
    private static final class NoVms implements ReplicaOrders {
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

    /** What a test does with a watcher of VMs. */
    private interface Story {
        void tell(VmWatcher watcher, EmptyStore store, SetClock clock);
    }

    private static void tell(Story story) {
        MetricRegistry metrics = new MetricRegistry();
        SetClock clock = new SetClock();
        EmptyStore store = new EmptyStore();
        PrintStream out = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        RelayDispatcher dispatcher =
                new RelayDispatcher(DOMAIN, new RepeatBudget(10_000, 0.2, 20, 1), RandomSource.SPLIT_MIX_64.create(1));
        RelaySettings settings = new RelaySettings(
                "n1",
                DOMAIN,
                List.of(DOMAIN),
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
                1);
        try (DecisionLog log = new DecisionLog(out, metrics);
                RelayDuty relay = new RelayDuty(
                        dispatcher, null, null, clock, RandomSource.SPLIT_MIX_64.create(2), log, metrics);
                FleetDuty fleet = new FleetDuty(settings, relay, new NoVms(), clock, log, metrics)) {
            story.tell(new VmWatcher(store, new UsersPlatform().codec(), fleet, clock, log), store, clock);
        }
    }

    private static void loseStoreAndFollowDelegate(VmWatcher watcher, EmptyStore store, SetClock clock) {
        watcher.turn();
        store.away = true;
        clock.pass(1_000);
        watcher.turn();
        assertTrue(watcher.isAway());
        store.away = false;
        watcher.followStore(false);
        for (int i = 0; i < 100; i++) {
            clock.pass(200);
            watcher.told(new WatchStore.Changes(List.of(), 1), 100);
            watcher.turn();
        }
    }

    /** Guards against requests to a VM that had left, from a node that turned to the store when its delegate was lost. */
    @Test
    public void vmThatLeftIsGoneAtOnceThoughACallFailedBeforeOthersTold() {
        tell((watcher, store, clock) -> {
            loseStoreAndFollowDelegate(watcher, store, clock);
            clock.pass(1_200);
            watcher.turn();
            assertEquals(watcher.removeAtMillis(), clock.monotonicMillis());
        });
    }

    @Test
    public void entriesThatLapsedWhileTheStoreWasAwayAreAwaited() {
        tell((watcher, store, clock) -> {
            loseStoreAndFollowDelegate(watcher, store, clock);
            store.away = true;
            clock.pass(1_200);
            watcher.turn();
            assertTrue(watcher.isAway());
            store.away = false;
            clock.pass(3_000);
            watcher.turn();
            assertEquals(watcher.removeAtMillis(), clock.monotonicMillis() + COME_BACK_MILLIS);
        });
    }
}
