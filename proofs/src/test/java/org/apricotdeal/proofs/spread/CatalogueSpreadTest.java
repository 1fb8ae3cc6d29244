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

/** Tests single courses of the catalogue's spread. */
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
    public void neverGoesBack() {
        learnFromPlatform(catalogue(5, 1, 2));
        tell(new SpreadEvent.PeerCatalogue(PEER, CatalogueChange.whole(catalogue(4, 1), 0)));
        tell(new SpreadEvent.PeerCatalogue(PEER, CatalogueChange.whole(catalogue(5, 9), 0)));
        assertEquals(spread.current().orElseThrow(), catalogue(5, 1, 2));
    }

    @Test
    public void sendsOnlyWhatHasChangedSinceAVersionThatItHeld() {
        learnFromPlatform(catalogue(1, 1, 2, 3));
        learnFromPlatform(catalogue(2, 1, 3, 4));
        CatalogueChange change = sent(tell(new SpreadEvent.PeerAsks(PEER, 1)));
        assertEquals(change.baseVersion(), 1);
        assertEquals(change.entries().keySet(), Set.of("class c2", "class c4"));
        assertEquals(change.applyTo(catalogue(1, 1, 2, 3)), catalogue(2, 1, 3, 4));
    }

    @Test
    public void sendsTheWholeCatalogueWhereItNeverHeldTheVersion() {
        learnFromPlatform(catalogue(3, 1, 2));
        CatalogueChange change = sent(tell(new SpreadEvent.PeerAsks(PEER, 2)));
        assertTrue(change.isWhole());
        assertEquals(change.applyTo(Catalogue.EMPTY), catalogue(3, 1, 2));
    }

    @Test
    public void asksForTheWholeCatalogueWhereTheDigestDiffers() {
        learnFromPlatform(catalogue(1, 1));
        tell(new SpreadEvent.PeerVersion(PEER, 2, "digest"));
        CatalogueChange damaged =
                new CatalogueChange(2, "change-2", 1, 0, java.util.Map.of(), CatalogueDigest.of(catalogue(2, 1, 2)));
        List<SpreadAction> actions = tell(new SpreadEvent.PeerCatalogue(PEER, damaged));
        assertEquals(spread.current().orElseThrow().version(), 1);
        assertTrue(actions.contains(new SpreadAction.AskPeer(PEER, 0)), actions.toString());
    }

    @Test
    public void saysThatItIsNotReadyWhereItCanLearnFromNobody() {
        List<SpreadAction> actions = new ArrayList<>(tell(new SpreadEvent.Tick()));
        failPlatform(actions);
        for (int i = 0; i < 100; i++) {
            nowMillis += 200;
            actions.addAll(tell(new SpreadEvent.Tick()));
        }
        assertTrue(actions.stream().anyMatch(SpreadAction.NotReady.class::isInstance), actions.toString());
        assertFalse(actions.stream().anyMatch(SpreadAction.Adopt.class::isInstance), actions.toString());
    }

    @Test
    public void asksThePeerWithTheHighestVersionAfterARestartWithoutPlatform() {
        failPlatform(tell(new SpreadEvent.Tick()));
        List<SpreadAction> early = new ArrayList<>(tell(new SpreadEvent.PeerVersion(PEER, 7, "a")));
        early.addAll(tell(new SpreadEvent.PeerVersion(OTHER, 9, "b")));
        assertFalse(early.stream().anyMatch(SpreadAction.AskPeer.class::isInstance), early.toString());
        nowMillis += SpreadSettings.DEFAULT.settleMillis();
        assertTrue(tell(new SpreadEvent.Tick()).contains(new SpreadAction.AskPeer(OTHER, 0)));
    }

    @Test
    public void tellsItsFailureDomainWhatItLearnedFromThePlatform() {
        tell(new SpreadEvent.PeersChanged(Set.of(
                new PeerRef(new NodeId("self"), DOMAIN),
                new PeerRef(PEER, DOMAIN),
                new PeerRef(OTHER, new FailureDomainId("far")))));
        List<SpreadAction> actions = learnFromPlatform(catalogue(1, 1));
        String digest = CatalogueDigest.of(catalogue(1, 1));
        assertTrue(actions.contains(new SpreadAction.TellVersion(PEER, 1, digest)), actions.toString());
        assertFalse(actions.contains(new SpreadAction.TellVersion(OTHER, 1, digest)), actions.toString());
    }

    @Test
    public void reportsPeerWithOtherEntriesUnderTheSameVersion() {
        learnFromPlatform(catalogue(1, 1));
        assertTrue(tell(new SpreadEvent.PeerVersion(PEER, 1, "another")).contains(new SpreadAction.Diverged(PEER, 1)));
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

    private List<SpreadAction> tell(SpreadEvent event) {
        return spread.step(nowMillis, event);
    }

    private List<SpreadAction> learnFromPlatform(Catalogue catalogue) {
        for (int i = 0; i < 500; i++) {
            for (SpreadAction action : tell(new SpreadEvent.Tick())) {
                if (action instanceof SpreadAction.AskPlatform ask) {
                    return tell(new SpreadEvent.PlatformCatalogue(
                            ask.callId(), 10 * catalogue.version(), Optional.of(catalogue)));
                }
            }
            nowMillis += 200;
        }
        throw new AssertionError("the platform was not asked");
    }

    private void failPlatform(List<SpreadAction> actions) {
        for (SpreadAction action : List.copyOf(actions)) {
            if (action instanceof SpreadAction.AskPlatform ask) {
                tell(new SpreadEvent.PlatformFailed(ask.callId()));
            }
        }
    }

    private static CatalogueChange sent(List<SpreadAction> actions) {
        return actions.stream()
                .filter(SpreadAction.SendCatalogue.class::isInstance)
                .map(SpreadAction.SendCatalogue.class::cast)
                .findFirst()
                .orElseThrow()
                .change();
    }
}
