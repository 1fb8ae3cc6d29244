package org.apricotdeal.relay.node;

import java.util.List;

import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.StoreLease;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.WatchStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests when a VM with a missing entry is removed, for nodes that watch the store or use the updates of a delegate. */
public final class VmWatcherTest {
    /** Time for VMs to register again after their entries expired in an outage of the store. */
    private static final long REREGISTRATION_MILLIS = 2_200;

    private static final StoreRevision FIRST = new StoreRevision(1, 1);
    private static final VmUpdate NOTHING_NEW = new VmUpdate(FIRST, new WatchStore.Changes(List.of(), FIRST));

    /** Empty store that can be made unavailable. */
    private static final class EmptyStore implements WatchStore {
        private boolean unavailable;
        private int calls;

        @Override
        public Result<Range, StoreFault> range(String prefix, boolean stale) {
            calls++;
            return unavailable ? Result.err(new StoreFault.Refused("away")) : Result.ok(new Range(List.of(), FIRST));
        }

        @Override
        public Result<Changes, StoreFault> watch(String prefix, StoreRevision after, long waitMillis) {
            calls++;
            return unavailable ? Result.err(new StoreFault.Refused("away")) : Result.ok(new Changes(List.of(), FIRST));
        }

        @Override
        public Result<StoreRevision, StoreFault> write(String key, byte[] value, StoreLease lease) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Result<StoreLease, StoreFault> grantLease(long ttlMillis) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Result<Long, StoreFault> renewLease(StoreLease lease) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Result<Boolean, StoreFault> endLease(StoreLease lease) {
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
        watcher.setSource(VmWatcher.Source.PEERS);
        for (int i = 0; i < 100; i++) {
            clock.advance(200);
            watcher.applyPeerUpdate(NOTHING_NEW, 100);
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

    /** A delegate that the store answers no more goes on sending what it knows; others would all call the store at 1.5 s. */
    @Test
    public void reserveCallsStoreBeforeDataOfPeersIsTooOldForOthers() {
        runScenario((watcher, store, clock) -> {
            watcher.runOnce();
            watcher.setSource(VmWatcher.Source.RESERVE);
            for (int ageMillis = 200; ageMillis <= 1_000; ageMillis += 200) {
                assertEquals(store.calls, 1);
                clock.advance(200);
                watcher.applyPeerUpdate(NOTHING_NEW, ageMillis);
                watcher.runOnce();
            }
            assertEquals(store.calls, 2);
        });
    }

    /** Each call has a price, and two followers of one store would learn the same twice. */
    @Test
    public void reserveCallsStoreOnlyWhenUpdatesOfPeersStop() {
        runScenario((watcher, store, clock) -> {
            watcher.runOnce();
            watcher.setSource(VmWatcher.Source.RESERVE);
            for (int i = 0; i < 100; i++) {
                clock.advance(200);
                watcher.applyPeerUpdate(NOTHING_NEW, 500);
                watcher.runOnce();
            }
            assertEquals(store.calls, 1);
            // The updates stop: others must still get current data from the reserve.
            clock.advance(500);
            watcher.runOnce();
            assertEquals(store.calls, 2);
            assertTrue(watcher.changesSince(FIRST).isPresent());
        });
    }
}
