package org.apricotdeal.relay.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.port.RecordCodec;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.WatchStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the calls of a node while the operator writes versions in quick succession, which each of many nodes reads. */
public final class CatalogueStormTest {
    private static final long FIRST_MILLIS = 100_000;
    private static final long GAP_MILLIS = 230;
    private static final int VERSIONS = 12;

    /** Time after which a node asks a peer for a version of which it has heard. */
    private static final long MAX_LAG_MILLIS = 500;

    /** Store in which a version is written each {@value #GAP_MILLIS} ms; a call takes 4 ms. */
    private static final class StormStore implements WatchStore {
        private final ManualClock clock;
        private int watches;

        StormStore(ManualClock clock) {
            this.clock = clock;
        }

        private long revision() {
            return 1 + Math.min(VERSIONS, (clock.monotonicMillis() - FIRST_MILLIS) / GAP_MILLIS);
        }

        @Override
        public Result<Range, StoreFault> range(String prefix, boolean stale) {
            return Result.ok(new Range(List.of(item(1)), 1));
        }

        @Override
        public Result<Changes, StoreFault> watch(String prefix, long afterRevision, long waitMillis) {
            watches++;
            clock.advance(4);
            for (long waited = 0; revision() == afterRevision && waited < waitMillis; waited += 10) {
                clock.advance(10);
            }
            List<StoreChange> changes = new ArrayList<>();
            for (long revision = afterRevision + 1; revision <= revision(); revision++) {
                changes.add(new StoreChange.Written(item(revision)));
            }
            return Result.ok(new Changes(changes, revision()));
        }

        private static VersionedValue item(long revision) {
            String catalogue =
                    "{\"version\":" + revision + ",\"routes\":[],\"services\":[],\"limits\":{},\"tenants\":[]}";
            return new VersionedValue("op/config", revision, catalogue.getBytes(StandardCharsets.UTF_8));
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

    /** Plays the storm; returns the number of watches until the last version is in force. */
    private static int watchesInStorm(boolean followsDelegate) {
        ManualClock clock = new ManualClock();
        StormStore store = new StormStore(clock);
        RecordCodec codec = new UsersPlatform().codec();
        try (FleetDutyFixture fixture = new FleetDutyFixture(clock)) {
            CatalogueHolder catalogues = new CatalogueHolder(codec, fixture.log);
            EvacuationHolder evacuations =
                    new EvacuationHolder(List.of(new FailureDomainId("a")), clock, fixture.log, new MetricRegistry());
            CatalogueWatcher watcher = new CatalogueWatcher(store, codec, catalogues, evacuations, clock, fixture.log);
            watcher.setFollowsDelegate(followsDelegate);
            while (catalogues.version() <= VERSIONS) {
                long pauseMillis = watcher.runOnce();
                long missedMillis = FIRST_MILLIS + catalogues.version() * GAP_MILLIS;
                clock.advance(pauseMillis);
                if (catalogues.version() <= VERSIONS) {
                    assertTrue(clock.monotonicMillis() - missedMillis < MAX_LAG_MILLIS, "too late");
                }
            }
        }
        return store.watches;
    }

    @Test
    public void nodeBesideDelegateReadsSeveralVersionsAtOnce() {
        int watches = watchesInStorm(true);
        assertTrue(watches <= 2 * VERSIONS / 3, watches + " watches");
    }

    /** A delegate, by whose word the others know that there is a new version, reads each one at once. */
    @Test
    public void delegateReadsEachVersion() {
        assertEquals(watchesInStorm(false), VERSIONS);
    }
}
