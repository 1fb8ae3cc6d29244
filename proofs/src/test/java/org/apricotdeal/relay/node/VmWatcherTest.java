package org.apricotdeal.relay.node;

import java.util.List;

import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.WatchStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests when a VM with a missing entry is removed, for nodes that watch the store or use the updates of a delegate. */
public final class VmWatcherTest {
    /** Time for VMs to register again after their entries expired in an outage of the store. */
    private static final long REREGISTRATION_MILLIS = 2_200;

    /** Empty store that can be made unavailable. */
    private static final class EmptyStore implements WatchStore {
        private boolean unavailable;

        @Override
        public Result<Range, StoreFault> range(String prefix, boolean stale) {
            return unavailable ? Result.err(new StoreFault.Refused("away")) : Result.ok(new Range(List.of(), 1));
        }

        @Override
        public Result<Changes, StoreFault> watch(String prefix, long afterRevision, long waitMillis) {
            return unavailable ? Result.err(new StoreFault.Refused("away")) : Result.ok(new Changes(List.of(), 1));
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

    /** Steps of a test with a VM watcher. */
    private interface Scenario {
        void run(VmWatcher watcher, EmptyStore store, ManualClock clock);
    }

    private static void runScenario(Scenario scenario) {
        ManualClock clock = new ManualClock();
        EmptyStore store = new EmptyStore();
        try (FleetDutyFixture fixture = new FleetDutyFixture(clock)) {
            scenario.run(
                    new VmWatcher(store, new UsersPlatform().codec(), fixture.fleet, clock, fixture.log), store, clock);
        }
    }

    private static void loseStoreAndFollowDelegate(VmWatcher watcher, EmptyStore store, ManualClock clock) {
        watcher.runOnce();
        store.unavailable = true;
        clock.advance(1_000);
        watcher.runOnce();
        assertTrue(watcher.isStoreFailing());
        store.unavailable = false;
        watcher.setFollowsStore(false);
        for (int i = 0; i < 100; i++) {
            clock.advance(200);
            watcher.applyPeerUpdate(new WatchStore.Changes(List.of(), 1), 100);
            watcher.runOnce();
        }
    }

    /** Guards against requests to a removed VM from a node that went back to the store after losing its delegate. */
    @Test
    public void removedVmExpiresImmediatelyDespiteFailedCallBeforePeerUpdates() {
        runScenario((watcher, store, clock) -> {
            loseStoreAndFollowDelegate(watcher, store, clock);
            clock.advance(1_200);
            watcher.runOnce();
            assertEquals(watcher.removeAtMillis(), clock.monotonicMillis());
        });
    }

    @Test
    public void missingEntriesAreKeptForReregistrationAfterStoreOutage() {
        runScenario((watcher, store, clock) -> {
            loseStoreAndFollowDelegate(watcher, store, clock);
            store.unavailable = true;
            clock.advance(1_200);
            watcher.runOnce();
            assertTrue(watcher.isStoreFailing());
            store.unavailable = false;
            clock.advance(3_000);
            watcher.runOnce();
            assertEquals(watcher.removeAtMillis(), clock.monotonicMillis() + REREGISTRATION_MILLIS);
        });
    }
}
