package org.apricotdeal.relay.node;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.WatchStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** When a VM counts as gone for a node that follows the store, or goes by the word of its delegate. */
public final class VmWatcherTest {
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

    /** What a test does with a watcher of VMs. */
    private interface Story {
        void tell(VmWatcher watcher, EmptyStore store, SetClock clock);
    }

    private static void tell(Story story) {
        SetClock clock = new SetClock();
        EmptyStore store = new EmptyStore();
        try (FleetDutyFixture fixture = new FleetDutyFixture(clock)) {
            story.tell(
                    new VmWatcher(store, new UsersPlatform().codec(), fixture.fleet, clock, fixture.log), store, clock);
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
