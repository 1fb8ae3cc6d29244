package org.apricotdeal.proofs.spread;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.policy.spread.CatalogueChange;
import org.apricotdeal.policy.spread.CatalogueDigest;
import org.apricotdeal.policy.spread.CatalogueSpread;
import org.apricotdeal.policy.spread.PeerRef;
import org.apricotdeal.policy.spread.SpreadAction;
import org.apricotdeal.policy.spread.SpreadEvent;
import org.apricotdeal.policy.spread.SpreadSettings;
import org.apricotdeal.policy.spread.WatcherChoice;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the distribution of catalogue versions in single scenarios. */
public final class CatalogueSpreadTest {
    private static final FailureDomainId DOMAIN = new FailureDomainId("d");
    private static final NodeId PEER = new NodeId("peer");
    private static final NodeId OTHER = new NodeId("other");

    private CatalogueSpread spread;
    private long nowMillis;

    @BeforeMethod
    public void start() {
        nowMillis = 0;
        spread = new CatalogueSpread(
                SpreadSettings.DEFAULT,
                new PeerRef(new NodeId("self"), DOMAIN),
                RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    }

    @Test
    public void neverAdoptsAnEarlierVersion() {
        adoptFromPlatform(catalogue(5, 1, 2));
        handle(new SpreadEvent.PeerCatalogue(PEER, CatalogueChange.full(catalogue(4, 1), 0)));
        handle(new SpreadEvent.PeerCatalogue(PEER, CatalogueChange.full(catalogue(5, 9), 0)));
        assertEquals(spread.current().orElseThrow(), catalogue(5, 1, 2));
    }

    @Test
    public void sendsOnlyEntriesChangedSinceAVersionInItsHistory() {
        adoptFromPlatform(catalogue(1, 1, 2, 3));
        adoptFromPlatform(catalogue(2, 1, 3, 4));
        CatalogueChange change = sentChange(handle(new SpreadEvent.PeerRequest(PEER, 1)));
        assertEquals(change.baseVersion(), 1);
        assertEquals(change.entries().keySet(), Set.of("class c2", "class c4"));
        assertEquals(change.applyTo(catalogue(1, 1, 2, 3)), catalogue(2, 1, 3, 4));
    }

    @Test
    public void sendsFullCatalogueIfTheVersionIsNotInItsHistory() {
        adoptFromPlatform(catalogue(3, 1, 2));
        CatalogueChange change = sentChange(handle(new SpreadEvent.PeerRequest(PEER, 2)));
        assertTrue(change.isFull());
        assertEquals(change.applyTo(Catalogue.EMPTY), catalogue(3, 1, 2));
    }

    @Test
    public void requestsFullCatalogueIfTheDigestDiffers() {
        adoptFromPlatform(catalogue(1, 1));
        handle(new SpreadEvent.PeerVersion(PEER, 2, "digest"));
        CatalogueChange damaged =
                new CatalogueChange(2, "change-2", 1, 0, java.util.Map.of(), CatalogueDigest.of(catalogue(2, 1, 2)));
        List<SpreadAction> actions = handle(new SpreadEvent.PeerCatalogue(PEER, damaged));
        assertEquals(spread.current().orElseThrow().version(), 1);
        assertTrue(actions.contains(new SpreadAction.RequestCatalogue(PEER, 0)), actions.toString());
    }

    @Test
    public void reportsNotReadyWithoutPlatformAndPeers() {
        List<SpreadAction> actions = new ArrayList<>(handle(new SpreadEvent.Tick()));
        failPlatformCalls(actions);
        for (int i = 0; i < 100; i++) {
            nowMillis += 200;
            actions.addAll(handle(new SpreadEvent.Tick()));
        }
        assertTrue(actions.stream().anyMatch(SpreadAction.NotReady.class::isInstance), actions.toString());
        assertFalse(actions.stream().anyMatch(SpreadAction.Adopt.class::isInstance), actions.toString());
    }

    @Test
    public void requestsHighestPeerVersionAfterRestartWithoutPlatform() {
        failPlatformCalls(handle(new SpreadEvent.Tick()));
        List<SpreadAction> early = new ArrayList<>(handle(new SpreadEvent.PeerVersion(PEER, 7, "a")));
        early.addAll(handle(new SpreadEvent.PeerVersion(OTHER, 9, "b")));
        assertFalse(early.stream().anyMatch(SpreadAction.RequestCatalogue.class::isInstance), early.toString());
        nowMillis += SpreadSettings.DEFAULT.collectMillis();
        assertTrue(handle(new SpreadEvent.Tick()).contains(new SpreadAction.RequestCatalogue(OTHER, 0)));
    }

    @Test
    public void announcesVersionFromPlatformToItsFailureDomain() {
        handle(new SpreadEvent.PeersChanged(Set.of(
                new PeerRef(new NodeId("self"), DOMAIN),
                new PeerRef(PEER, DOMAIN),
                new PeerRef(OTHER, new FailureDomainId("far")))));
        List<SpreadAction> actions = adoptFromPlatform(catalogue(1, 1));
        String digest = CatalogueDigest.of(catalogue(1, 1));
        assertTrue(actions.contains(new SpreadAction.AnnounceVersion(PEER, 1, digest)), actions.toString());
        assertFalse(actions.contains(new SpreadAction.AnnounceVersion(OTHER, 1, digest)), actions.toString());
    }

    @Test
    public void reportsPeerWithDifferentEntriesForTheSameVersion() {
        adoptFromPlatform(catalogue(1, 1));
        assertTrue(
                handle(new SpreadEvent.PeerVersion(PEER, 1, "another")).contains(new SpreadAction.Diverged(PEER, 1)));
    }

    @Test
    public void replacesALostWatcherAndKeepsTheOther() {
        Set<PeerRef> live = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            live.add(new PeerRef(new NodeId("node-" + i), DOMAIN));
        }
        List<NodeId> before = WatcherChoice.choose(live, DOMAIN, 2);
        live.remove(new PeerRef(before.getFirst(), DOMAIN));
        List<NodeId> after = WatcherChoice.choose(live, DOMAIN, 2);
        assertEquals(after.getFirst(), before.get(1));
        assertEquals(after.size(), 2);
    }

    private static Catalogue catalogue(long version, int... classes) {
        List<Entry> entries = new ArrayList<>();
        for (int number : classes) {
            entries.add(new ClassEntry(new ClassId("c" + number), "owner", number, 0, 1, 1, false, 1));
        }
        return Catalogue.of(version, "change-" + version, entries);
    }

    private List<SpreadAction> handle(SpreadEvent event) {
        return spread.step(nowMillis, event);
    }

    private List<SpreadAction> adoptFromPlatform(Catalogue catalogue) {
        for (int i = 0; i < 500; i++) {
            for (SpreadAction action : handle(new SpreadEvent.Tick())) {
                if (action instanceof SpreadAction.QueryPlatform ask) {
                    return handle(new SpreadEvent.PlatformCatalogue(
                            ask.callId(), 10 * catalogue.version(), Optional.of(catalogue)));
                }
            }
            nowMillis += 200;
        }
        throw new AssertionError("the platform was not queried");
    }

    private void failPlatformCalls(List<SpreadAction> actions) {
        for (SpreadAction action : List.copyOf(actions)) {
            if (action instanceof SpreadAction.QueryPlatform ask) {
                handle(new SpreadEvent.PlatformFailed(ask.callId()));
            }
        }
    }

    private static CatalogueChange sentChange(List<SpreadAction> actions) {
        return actions.stream()
                .filter(SpreadAction.SendCatalogue.class::isInstance)
                .map(SpreadAction.SendCatalogue.class::cast)
                .findFirst()
                .orElseThrow()
                .change();
    }
}
