package org.apricotdeal.relay.node;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.port.RecordCodec;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.StoreLease;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.WatchStore;
import org.apricotdeal.standins.users.UsersStoreStandin;
import org.apricotdeal.wire.gen.TRelayNode;
import org.eclipse.jetty.client.HttpClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the tasks of a node that call the store after the store has been restored from an older copy. */
public final class RestoredStoreTest {
    private static final FailureDomainId A = new FailureDomainId("a");
    private static final String EVACUATE_A = "op/evacuate/a";
    private static final long LEASE_MILLIS = 60_000;

    private final RecordCodec codec = new UsersPlatform().codec();
    private ManualClock clock;
    private UsersStoreStandin standin;
    private HttpClient http;
    private FleetDutyFixture fixture;
    private EvacuationHolder evacuations;

    @BeforeMethod
    public void start() throws Exception {
        clock = new ManualClock();
        standin = new UsersStoreStandin();
        http = new HttpClient();
        http.start();
        fixture = new FleetDutyFixture(clock);
        evacuations = new EvacuationHolder(List.of(A), clock, fixture.log, new MetricRegistry());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        fixture.close();
        http.stop();
        standin.close();
    }

    private WatchStore store() {
        return new UsersPlatform().store(http, standin.address(), 1_000);
    }

    private CatalogueWatcher catalogueWatcher() {
        return new CatalogueWatcher(
                store(), codec, new CatalogueHolder(codec, fixture.log), evacuations, clock, fixture.log);
    }

    private VmWatcher vmWatcher() {
        return new VmWatcher(store(), codec, fixture.fleet, clock, fixture.log);
    }

    private Registration registration(String name, WatchStore store) {
        TRelayNode node = new TRelayNode(name, "b", "127.0.0.1:1", 1);
        return new Registration(node, store, fixture.fleet, clock, fixture.log);
    }

    private void write(String key, int times) {
        for (int i = 0; i < times; i++) {
            standin.put(key, "{}");
        }
    }

    private void writeVm(String id, long heartbeat) {
        standin.put(
                "servers/" + id,
                "{\"service\":\"shop\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":1,"
                        + "\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":" + heartbeat + ",\"born\":5}");
    }

    private static long run(StoreThread task, int times) {
        long pauseMillis = 0;
        for (int i = 0; i < times; i++) {
            pauseMillis += task.runOnce();
        }
        return pauseMillis;
    }

    private static Set<String> vms(VmWatcher watcher) {
        Set<String> keys = new TreeSet<>();
        watcher.changesSince(StoreRevision.NONE).orElseThrow().changes().changes().stream()
                .filter(StoreChange.Written.class::isInstance)
                .forEach(
                        change -> keys.add(((StoreChange.Written) change).item().key()));
        return keys;
    }

    private static VmUpdate sent(VmUpdate update) {
        return VmUpdateCodec.decode(VmUpdateCodec.encode(update));
    }

    /** Guards against a watch from a revision that was given out again, which returns only what came after it. */
    @Test
    public void watchFromReusedRevisionSkipsNothing() {
        standin.copy();
        write("op/lost", 5);
        CatalogueWatcher watcher = catalogueWatcher();
        run(watcher, 1);
        standin.restore();
        standin.put(EVACUATE_A, "{}");
        write("op/other", 9);
        run(watcher, 2);
        assertEquals(evacuations.current().domains(), Set.of(A));
    }

    /** Guards against words that are ignored until the store's counter has passed its former value. */
    @Test
    public void wordOfLowerRevisionIsObeyedAfterEachOfTwoRestores() {
        standin.copy();
        write("op/lost", 20);
        CatalogueWatcher watcher = catalogueWatcher();
        run(watcher, 1);
        standin.restore();
        standin.put(EVACUATE_A, "{}");
        run(watcher, 2);
        assertEquals(evacuations.current().domains(), Set.of(A));
        standin.restore();
        run(watcher, 2);
        assertEquals(evacuations.current().domains(), Set.of());
        // One incarnation is missed altogether.
        standin.restore();
        standin.restore();
        standin.put(EVACUATE_A, "{}");
        run(watcher, 2);
        assertEquals(evacuations.current().domains(), Set.of(A));
    }

    /** Guards against a list and a watch without a pause between them until the counter has passed its former value. */
    @Test
    public void vmEntriesAreListedOnceAfterRestore() {
        standin.copy();
        writeVm("v1", 1);
        VmWatcher watcher = vmWatcher();
        run(watcher, 1);
        standin.restore();
        assertEquals(run(watcher, 4), 1_500);
    }

    /** Guards against VM news between nodes that have seen different incarnations of the store. */
    @Test
    public void laterIncarnationWinsBetweenPeers() {
        writeVm("v1", 1);
        standin.copy();
        writeVm("v2", 1);
        VmWatcher behind = vmWatcher();
        run(behind, 1);
        clock.advance(3_000);
        run(behind, 1);
        VmUpdate old = sent(behind.changesSince(StoreRevision.NONE).orElseThrow());
        standin.restore();
        writeVm("v3", 1);
        VmWatcher ahead = vmWatcher();
        run(ahead, 1);
        clock.advance(3_000);
        run(ahead, 1);
        StoreRevision newest = ahead.revision();

        ahead.setSource(VmWatcher.Source.PEERS);
        ahead.applyPeerUpdate(old, 0);
        assertEquals(ahead.revision(), newest);
        assertEquals(vms(ahead), Set.of("servers/v1", "servers/v3"));

        behind.setSource(VmWatcher.Source.PEERS);
        StoreRevision known = behind.revision();
        WatchStore.Changes none = new WatchStore.Changes(List.of(), newest);
        behind.applyPeerUpdate(sent(new VmUpdate(newest, none)), 0);
        assertEquals(behind.revision(), known);
        behind.applyPeerUpdate(sent(ahead.changesSince(known).orElseThrow()), 0);
        assertEquals(behind.revision(), newest);
        assertEquals(vms(behind), Set.of("servers/v1", "servers/v3"));
        StoreRevision later = new StoreRevision(newest.incarnation(), newest.number() + 9);
        behind.applyPeerUpdate(sent(new VmUpdate(later, new WatchStore.Changes(List.of(), later))), 0);
        assertEquals(behind.revision(), newest);
    }

    /** Guards against a response that a node reads after a freeze, when a peer has told it of the next incarnation. */
    @Test
    public void lateChangesOfFormerIncarnationAreIgnored() {
        VmWatcher watcher = vmWatcher();
        run(watcher, 1);
        StoreRevision former = new StoreRevision(watcher.revision().incarnation(), 90);
        StoreRevision restored = new StoreRevision(former.incarnation() + 1, 1);
        watcher.setSource(VmWatcher.Source.PEERS);
        watcher.applyPeerUpdate(new VmUpdate(StoreRevision.NONE, new WatchStore.Changes(List.of(), restored)), 0);
        VersionedValue lost = new VersionedValue("servers/v1", former.number(), new byte[0]);
        watcher.onChanged(new WatchStore.Changes(List.of(new StoreChange.Written(lost)), former));
        assertEquals(vms(watcher), Set.of());
    }

    /** Guards against a lease id that denotes the lease of another node since the store was restored. */
    @Test
    public void leaseOfOtherNodeIsNeitherRenewedNorEnded() {
        standin.copy();
        WatchStore first = store();
        Registration former = registration("n1", first);
        former.runOnce();
        standin.restore();
        WatchStore second = store();
        Registration holder = registration("n2", second);
        holder.runOnce();
        assertTrue(first.range("op/", false) instanceof Result.Ok);
        int calls = standin.calls();
        former.deregister();
        assertEquals(standin.calls(), calls);
        former.runOnce();
        // A grant, a write and a read of the registrations.
        assertEquals(former.runOnce(), 1_200);
        assertEquals(registeredNames(second), Set.of("apricotdeal/nodes/n1", "apricotdeal/nodes/n2"));
        holder.deregister();
        assertEquals(registeredNames(second), Set.of("apricotdeal/nodes/n1"));
    }

    /** Guards against a node that takes another node's lease for its own because the first call that tells is about it. */
    @Test
    public void callThatTellsOfRestoreEndsLease() {
        standin.copy();
        WatchStore store = store();
        StoreLease lease = store.grantLease(LEASE_MILLIS) instanceof Result.Ok<StoreLease, StoreFault> ok
                ? ok.value()
                : new StoreLease(0, 0);
        standin.restore();
        Result<StoreLease, StoreFault> again = store().grantLease(LEASE_MILLIS);
        assertEquals(again, Result.ok(new StoreLease(lease.id(), lease.incarnation() + 1)));
        assertEquals(store.renewLease(lease), Result.err(new StoreFault.LeaseEnded()));
        assertEquals(store.write("apricotdeal/x", new byte[0], lease), Result.err(new StoreFault.LeaseEnded()));
    }

    /** A store that names no incarnation is served as before. */
    @Test
    public void storeThatNamesNoIncarnationIsFollowed() {
        standin.setEraNamed(false);
        CatalogueWatcher watcher = catalogueWatcher();
        run(watcher, 1);
        standin.put(EVACUATE_A, "{}");
        run(watcher, 1);
        assertEquals(evacuations.current().domains(), Set.of(A));
        standin.compact();
        standin.remove(EVACUATE_A);
        run(watcher, 2);
        assertEquals(evacuations.current().domains(), Set.of());
        Registration registration = registration("n1", store());
        assertEquals(run(registration, 2), 2_400);
        registration.deregister();
        assertFalse(registeredNames(store()).contains("apricotdeal/nodes/n1"));
    }

    private static Set<String> registeredNames(WatchStore store) {
        Set<String> names = new TreeSet<>();
        Optional.of(store.range("apricotdeal/nodes/", false))
                .filter(Result.Ok.class::isInstance)
                .map(range -> ((Result.Ok<WatchStore.Range, StoreFault>) range).value())
                .orElseThrow()
                .items()
                .forEach(item -> names.add(item.key()));
        return names;
    }
}
