package org.apricotdeal.relay.node;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.port.RecordCodec;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.WatchStore;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what a node takes from the operator's keys: the newest catalogue, and the evacuations of failure domains. */
public final class CatalogueWatcherTest {
    private static final FailureDomainId A = new FailureDomainId("a");

    /** Steps of a test with a watcher. */
    private interface Scenario {
        void run(
                CatalogueWatcher watcher,
                CatalogueHolder catalogues,
                EvacuationHolder evacuations,
                FleetDutyFixture fixture);
    }

    private static void runScenario(Scenario scenario) {
        ManualClock clock = new ManualClock();
        RecordCodec codec = new UsersPlatform().codec();
        try (FleetDutyFixture fixture = new FleetDutyFixture(clock)) {
            CatalogueHolder catalogues = new CatalogueHolder(codec, fixture.log);
            EvacuationHolder evacuations = new EvacuationHolder(List.of(A), clock, fixture.log, new MetricRegistry());
            scenario.run(
                    new CatalogueWatcher(null, codec, catalogues, evacuations, clock, fixture.log),
                    catalogues,
                    evacuations,
                    fixture);
        }
    }

    private static StoreRevision at(long number) {
        return new StoreRevision(1, number);
    }

    private static VersionedValue item(String key, long revision, String value) {
        return new VersionedValue(key, revision, value.getBytes(StandardCharsets.UTF_8));
    }

    private static StoreChange catalogue(long revision, String version) {
        return new StoreChange.Written(item(
                "op/config",
                revision,
                "{\"version\":" + version + ",\"routes\":[],\"services\":[],\"limits\":{},\"tenants\":[]}"));
    }

    /** Versions in quick succession: a slow node would read each of them for a second, and serve by the first meanwhile. */
    @Test
    public void onlyNewestCatalogueOfSeveralIsRead() {
        runScenario((watcher, catalogues, evacuations, fixture) -> {
            List<Long> adopted = new ArrayList<>();
            catalogues.subscribe(catalogue -> adopted.add(catalogue.version()));
            watcher.onChanged(
                    new WatchStore.Changes(List.of(catalogue(2, "12"), catalogue(3, "15"), catalogue(4, "19")), at(4)));
            assertEquals(adopted, List.of(19L));
        });
    }

    @Test
    public void unreadableNewestCatalogueLeavesTheOneBefore() {
        runScenario((watcher, catalogues, evacuations, fixture) -> {
            watcher.onChanged(new WatchStore.Changes(List.of(catalogue(3, "15"), catalogue(4, "no number")), at(4)));
            assertEquals(catalogues.version(), 15);
        });
    }

    /** A hundred nodes pay for each end of a wait; a node on its own needs it to notice a dead connection. */
    @Test
    public void onlyNodesWithoutDelegateEndTheirWaitsSoon() {
        runScenario((watcher, catalogues, evacuations, fixture) -> {
            assertTrue(watcher.waitMillis() <= 2_000);
            watcher.setFollowsDelegate(true);
            long minuteMillis = 60_000;
            assertTrue(minuteMillis / watcher.waitMillis() <= 2, watcher.waitMillis() + " ms");
            watcher.setFollowsDelegate(false);
            assertTrue(watcher.waitMillis() <= 2_000);
        });
    }

    /** Unknown failure domains and unreadable keys cost a log line; values do not matter. */
    @Test
    public void evacuationsAreReadFromKeys() {
        runScenario((watcher, catalogues, evacuations, fixture) -> {
            watcher.onListed(new WatchStore.Range(
                    List.of(item("op/evacuate/a", 2, "no JSON"), item("op/evacuate/", 3, "{}")), at(5)));
            assertEquals(evacuations.current().domains(), Set.of(A));
            watcher.onChanged(new WatchStore.Changes(
                    List.of(
                            new StoreChange.Deleted("op/evacuate/a", 6),
                            new StoreChange.Written(item("op/evacuate/a b", 7, "{}")),
                            new StoreChange.Written(item("op/evacuate/elsewhere", 8, "{}"))),
                    at(8)));
            assertEquals(evacuations.current().domains(), Set.of(new FailureDomainId("elsewhere")));
            fixture.awaitLog("event=evacuation_unreadable");
            fixture.awaitLog("known=false");
        });
    }
}
