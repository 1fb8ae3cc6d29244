package org.apricotdeal.policy.spread;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.duty.Machine;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.misc.Invariants;

/**
 * Learns catalogue versions from the platform and from peers, and passes them on.
 *
 * <p>One or two nodes of each failure domain, its watchers, keep a waiting call open at the platform; it ends and is
 * renewed every few seconds, so a connection that has silently died costs no more than that. A watcher that learns a
 * version tells all nodes of its failure domain, which ask it for the changed entries. Heartbeats carry versions too: a
 * node that hears of a higher one from anybody asks for it, which mends lost messages and serves failure domains that are
 * cut off from the platform but not from others. The other nodes of a failure domain together call the platform at a
 * fixed low rate, in case its watchers cannot; so the calls grow with failure domains, not with nodes.
 *
 * <p>A version is adopted only if it is higher than the one in force. A node that has none takes the platform's; while
 * the platform is away it collects its peers' versions for a moment and takes the highest; without either it says that it
 * is not ready.
 */
public final class CatalogueSpread implements Machine<SpreadEvent, SpreadAction> {
    private static final long POLL_WAIT_MILLIS = 50;

    private final SpreadSettings settings;
    private final NodeId self;
    private final FailureDomainId failureDomain;
    private final UniformRandomProvider random;
    private final SpreadFault fault;
    private final CatalogueHistory history;
    private final Map<NodeId, Known> peerVersions = new HashMap<>();
    private Set<PeerRef> live = Set.of();
    private List<NodeId> watchers = List.of();
    private Catalogue current;
    private String digest = "";
    private long platformRevision;
    private long currentRevision;
    private long lastCallId;
    private PlatformCall platformCall;
    private PeerCall peerCall;
    private long nextCallAtMillis;
    private boolean platformFailed;
    private long collectingSinceMillis;
    private boolean wantsWhole;
    private String lastNotReady;

    private record Known(long version, String digest) {}

    private record PlatformCall(long callId, long givenUpAtMillis) {}

    private record PeerCall(NodeId peer, long version, long givenUpAtMillis) {}

    /**
     * Creates the spread of one node that has just started.
     *
     * @param settings settings
     * @param self this node and its failure domain
     * @param random seeded source for the spread of calls
     */
    public CatalogueSpread(SpreadSettings settings, PeerRef self, UniformRandomProvider random) {
        this(settings, self, random, SpreadFault.NONE);
    }

    /**
     * Creates a spread with a deliberate fault, for tests of the checks.
     *
     * @param settings settings
     * @param self this node and its failure domain
     * @param random seeded source
     * @param fault the fault
     */
    public CatalogueSpread(SpreadSettings settings, PeerRef self, UniformRandomProvider random, SpreadFault fault) {
        this.settings = settings;
        this.self = self.node();
        this.failureDomain = self.failureDomain();
        this.random = random;
        this.fault = fault;
        this.history = new CatalogueHistory(settings.keptVersions());
    }

    @Override
    public List<SpreadAction> step(long nowMillis, SpreadEvent event) {
        List<SpreadAction> actions = new ArrayList<>();
        switch (event) {
            case SpreadEvent.PeersChanged(Set<PeerRef> peers) -> peersChanged(peers);
            case SpreadEvent.PlatformCatalogue reply -> platformAnswered(reply, actions);
            case SpreadEvent.PlatformFailed(long callId) -> platformFailed(nowMillis, callId);
            case SpreadEvent.PeerVersion told -> peerTold(told, actions);
            case SpreadEvent.PeerAsks(NodeId peer, long haveVersion) -> {
                if (current != null && current.version() > haveVersion) {
                    actions.add(new SpreadAction.SendCatalogue(peer, history.since(haveVersion, currentRevision)));
                }
            }
            case SpreadEvent.PeerCatalogue(NodeId peer, CatalogueChange change) -> peerSent(peer, change, actions);
            case SpreadEvent.Tick tick -> {}
        }
        expireCalls(nowMillis);
        askPlatform(nowMillis, actions);
        askPeer(nowMillis, actions);
        reportReadiness(actions);
        return actions;
    }

    /**
     * Returns the catalogue in force.
     *
     * @return the catalogue, or nothing before the first was learned
     */
    public Optional<Catalogue> current() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns the digest of the catalogue in force.
     *
     * @return the digest, empty before the first catalogue was learned
     */
    public String digest() {
        return digest;
    }

    /**
     * Tells whether this node watches the platform for its failure domain.
     *
     * @return true where it does
     */
    public boolean isWatcher() {
        return watchers.contains(self);
    }

    private long version() {
        return current == null ? 0 : current.version();
    }

    private void peersChanged(Set<PeerRef> peers) {
        live = peers;
        watchers = WatcherChoice.choose(peers, failureDomain, settings.watchersPerDomain());
        peerVersions.keySet().removeIf(peer -> peers.stream()
                .noneMatch(p -> p.node().equals(peer)));
    }

    private void platformAnswered(SpreadEvent.PlatformCatalogue reply, List<SpreadAction> actions) {
        if (platformCall == null || platformCall.callId() != reply.callId()) {
            return;
        }
        platformCall = null;
        platformFailed = false;
        platformRevision = Math.max(platformRevision, reply.revision());
        reply.catalogue().ifPresent(catalogue -> adopt(catalogue, reply.revision(), "platform", actions));
    }

    private void platformFailed(long nowMillis, long callId) {
        if (platformCall != null && platformCall.callId() == callId) {
            platformCallFailed(nowMillis);
        }
    }

    private void platformCallFailed(long nowMillis) {
        platformCall = null;
        if (!platformFailed) {
            collectingSinceMillis = nowMillis;
        }
        platformFailed = true;
        nextCallAtMillis = nowMillis + settings.retryMillis() + random.nextLong(settings.retryMillis() + 1);
    }

    private void peerTold(SpreadEvent.PeerVersion told, List<SpreadAction> actions) {
        peerVersions.put(told.peer(), new Known(told.version(), told.digest()));
        if (current != null && told.version() == version() && !told.digest().equals(digest)) {
            actions.add(new SpreadAction.Diverged(told.peer(), told.version()));
        }
    }

    private void peerSent(NodeId peer, CatalogueChange change, List<SpreadAction> actions) {
        if (peerCall != null && peerCall.peer().equals(peer)) {
            peerCall = null;
        }
        if (change.version() <= version() && fault != SpreadFault.ADOPT_OLDER) {
            return;
        }
        boolean fits = change.isWhole() || change.baseVersion() == version();
        Catalogue next = change.applyTo(current == null ? Catalogue.EMPTY : current);
        boolean intact = fits && CatalogueDigest.of(next).equals(change.digest());
        if (!intact && fault != SpreadFault.IGNORE_DIGEST) {
            wantsWhole = true;
            return;
        }
        adopt(next, change.platformRevision(), peer.value(), actions);
    }

    private void adopt(Catalogue catalogue, long revision, String source, List<SpreadAction> actions) {
        long before = version();
        if (catalogue.version() <= before && fault != SpreadFault.ADOPT_OLDER) {
            return;
        }
        Invariants.check(
                catalogue.version() > before,
                "catalogue-monotonic",
                () -> "version " + catalogue.version() + " would follow " + before + " on " + self);
        current = current == null ? catalogue : sharingUnchanged(current, catalogue);
        digest = CatalogueDigest.of(current);
        currentRevision = revision;
        platformRevision = Math.max(platformRevision, revision);
        wantsWhole = false;
        history.add(current);
        actions.add(new SpreadAction.Adopt(current, source));
        if (source.equals("platform") && fault != SpreadFault.NO_PEERS) {
            tellFailureDomain(actions);
        }
    }

    /** Reuses the objects of unchanged entries, so that the kept versions cost little memory. */
    private static Catalogue sharingUnchanged(Catalogue before, Catalogue after) {
        Map<String, Entry> entries = new HashMap<>(after.entries());
        entries.replaceAll((key, entry) ->
                entry.equals(before.entries().get(key)) ? before.entries().get(key) : entry);
        return new Catalogue(after.version(), after.changeId(), entries);
    }

    private void tellFailureDomain(List<SpreadAction> actions) {
        live.stream()
                .filter(peer -> peer.failureDomain().equals(failureDomain)
                        && !peer.node().equals(self))
                .map(PeerRef::node)
                .sorted()
                .forEach(node -> actions.add(new SpreadAction.TellVersion(node, version(), digest)));
    }

    private void expireCalls(long nowMillis) {
        if (platformCall != null && nowMillis >= platformCall.givenUpAtMillis()) {
            platformCallFailed(nowMillis);
        }
        if (peerCall != null && nowMillis >= peerCall.givenUpAtMillis()) {
            peerVersions.remove(peerCall.peer());
            peerCall = null;
        }
    }

    private void askPlatform(long nowMillis, List<SpreadAction> actions) {
        if (platformCall != null || nowMillis < nextCallAtMillis) {
            return;
        }
        long waitMillis = platformRevision == 0 ? 0 : isWatcher() ? settings.watchMillis() : POLL_WAIT_MILLIS;
        lastCallId++;
        platformCall = new PlatformCall(lastCallId, nowMillis + waitMillis + settings.callTimeoutMillis());
        nextCallAtMillis = nowMillis + pauseAfterCallMillis();
        actions.add(new SpreadAction.AskPlatform(lastCallId, platformRevision, waitMillis));
    }

    /** A watcher renews its call at once; the other nodes of a failure domain share a fixed rate of calls. */
    private long pauseAfterCallMillis() {
        if (current == null) {
            return settings.retryMillis();
        }
        if (isWatcher()) {
            return 0;
        }
        long others = live.stream()
                .filter(peer -> peer.failureDomain().equals(failureDomain))
                .count();
        long periodMillis = Math.max(settings.minPollMillis(), settings.domainPollMillis() * others);
        return periodMillis / 2 + random.nextLong(periodMillis);
    }

    /** Asks the peer with the highest version above this node's own; equals are chosen among at random. */
    private void askPeer(long nowMillis, List<SpreadAction> actions) {
        if (peerCall != null || fault == SpreadFault.NO_PEERS || !mayLearnFromPeers(nowMillis)) {
            return;
        }
        long highest =
                peerVersions.values().stream().mapToLong(Known::version).max().orElse(0);
        if (highest <= version()) {
            return;
        }
        List<NodeId> best = new ArrayList<>();
        peerVersions.forEach((peer, known) -> {
            if (known.version() == highest) {
                best.add(peer);
            }
        });
        best.sort(Comparator.naturalOrder());
        NodeId peer = best.get(random.nextInt(best.size()));
        peerCall = new PeerCall(peer, highest, nowMillis + settings.peerTimeoutMillis());
        actions.add(new SpreadAction.AskPeer(peer, wantsWhole ? 0 : version()));
    }

    private boolean mayLearnFromPeers(long nowMillis) {
        boolean collected = platformFailed && nowMillis - collectingSinceMillis >= settings.settleMillis();
        return current != null || collected;
    }

    private void reportReadiness(List<SpreadAction> actions) {
        if (current != null) {
            return;
        }
        if (fault == SpreadFault.GUESS && platformFailed) {
            adopt(new Catalogue(1, "guess", Map.of()), 0, "guess", actions);
            return;
        }
        String reason = platformFailed ? "platform is away and no peer has a catalogue" : "no catalogue was read yet";
        if (!reason.equals(lastNotReady)) {
            lastNotReady = reason;
            actions.add(new SpreadAction.NotReady(reason));
        }
    }
}
