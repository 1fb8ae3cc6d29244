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
import org.apricotdeal.kernel.duty.StateMachine;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.misc.Invariants;

/**
 * Obtains catalogue versions from the platform and from peers, and distributes them to other nodes.
 *
 * <p>One or two nodes of each failure domain, its watchers, keep a long-polling call open to the platform. The call ends
 * and is renewed every few seconds, which limits the delay caused by a connection that was lost without notice. A watcher
 * that receives a new version announces it to all nodes of its failure domain, which request the changed entries from it.
 * Heartbeats carry versions as well: a node that learns of a higher version from any peer requests it. This compensates
 * for lost messages and updates failure domains that can reach other failure domains but not the platform. The other nodes
 * of a failure domain together poll the platform at a low fixed rate in case the watchers cannot reach it. Therefore the
 * number of calls grows with the number of failure domains, not with the number of nodes.
 *
 * <p>A version is adopted only if it is higher than the current one. A node without a catalogue adopts the one of the
 * platform. If the platform is unavailable, the node collects the versions of its peers for a short time and requests the
 * highest one. If neither is available, the node reports that it is not ready.
 */
public final class CatalogueSpread implements StateMachine<SpreadEvent, SpreadAction> {
    private static final long POLL_WAIT_MILLIS = 50;

    private final SpreadSettings settings;
    private final NodeId self;
    private final FailureDomainId failureDomain;
    private final UniformRandomProvider random;
    private final SpreadFault fault;
    private final CatalogueHistory history;
    private final Map<NodeId, KnownVersion> peerVersions = new HashMap<>();
    private Set<PeerRef> livePeers = Set.of();
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
    private boolean needsFullCatalogue;
    private String lastNotReadyReason;

    private record KnownVersion(long version, String digest) {}

    private record PlatformCall(long callId, long timeoutAtMillis) {}

    private record PeerCall(NodeId peer, long version, long timeoutAtMillis) {}

    /**
     * Creates the state of one node that has just started.
     *
     * @param settings intervals, timeouts and limits
     * @param self this node and its failure domain
     * @param random source of random delays between calls and of the choice among peers
     */
    public CatalogueSpread(SpreadSettings settings, PeerRef self, UniformRandomProvider random) {
        this(settings, self, random, SpreadFault.NONE);
    }

    /**
     * Creates an instance with an injected fault, to test the checks.
     *
     * @param settings intervals, timeouts and limits
     * @param self this node and its failure domain
     * @param random source of random delays between calls and of the choice among peers
     * @param fault fault to inject
     */
    public CatalogueSpread(SpreadSettings settings, PeerRef self, UniformRandomProvider random, SpreadFault fault) {
        this.settings = settings;
        this.self = self.node();
        this.failureDomain = self.failureDomain();
        this.random = random;
        this.fault = fault;
        this.history = new CatalogueHistory(settings.retainedVersions());
    }

    @Override
    public List<SpreadAction> step(long nowMillis, SpreadEvent event) {
        List<SpreadAction> actions = new ArrayList<>();
        switch (event) {
            case SpreadEvent.PeersChanged(Set<PeerRef> peers) -> peersChanged(peers);
            case SpreadEvent.PlatformCatalogue reply -> platformAnswered(reply, actions);
            case SpreadEvent.PlatformFailed(long callId) -> platformFailed(nowMillis, callId);
            case SpreadEvent.PeerVersion received -> peerVersionReceived(received, actions);
            case SpreadEvent.PeerRequest(NodeId peer, long haveVersion) -> {
                if (current != null && current.version() > haveVersion) {
                    actions.add(new SpreadAction.SendCatalogue(peer, history.since(haveVersion, currentRevision)));
                }
            }
            case SpreadEvent.PeerCatalogue(NodeId peer, CatalogueChange change) ->
                peerCatalogueReceived(peer, change, actions);
            case SpreadEvent.Tick tick -> {}
        }
        expireCalls(nowMillis);
        queryPlatform(nowMillis, actions);
        requestFromPeer(nowMillis, actions);
        reportReadiness(actions);
        return actions;
    }

    /**
     * Returns the current catalogue.
     *
     * @return the catalogue; empty until the first one is adopted
     */
    public Optional<Catalogue> current() {
        return Optional.ofNullable(current);
    }

    /**
     * Returns the digest of the current catalogue.
     *
     * @return the digest; an empty string until the first catalogue is adopted
     */
    public String digest() {
        return digest;
    }

    /**
     * Returns whether this node watches the platform for its failure domain.
     *
     * @return true if this node is one of the watchers
     */
    public boolean isWatcher() {
        return watchers.contains(self);
    }

    private long version() {
        return current == null ? 0 : current.version();
    }

    private void peersChanged(Set<PeerRef> peers) {
        livePeers = peers;
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

    private void peerVersionReceived(SpreadEvent.PeerVersion received, List<SpreadAction> actions) {
        peerVersions.put(received.peer(), new KnownVersion(received.version(), received.digest()));
        if (current != null
                && received.version() == version()
                && !received.digest().equals(digest)) {
            actions.add(new SpreadAction.Diverged(received.peer(), received.version()));
        }
    }

    private void peerCatalogueReceived(NodeId peer, CatalogueChange change, List<SpreadAction> actions) {
        if (peerCall != null && peerCall.peer().equals(peer)) {
            peerCall = null;
        }
        if (change.version() <= version() && fault != SpreadFault.ADOPT_OLDER) {
            return;
        }
        boolean appliesToCurrent = change.isFull() || change.baseVersion() == version();
        Catalogue next = change.applyTo(current == null ? Catalogue.EMPTY : current);
        boolean intact = appliesToCurrent && CatalogueDigest.of(next).equals(change.digest());
        if (!intact && fault != SpreadFault.IGNORE_DIGEST) {
            needsFullCatalogue = true;
            return;
        }
        adopt(next, change.platformRevision(), peer.value(), actions);
    }

    private void adopt(Catalogue catalogue, long revision, String source, List<SpreadAction> actions) {
        long previousVersion = version();
        if (catalogue.version() <= previousVersion && fault != SpreadFault.ADOPT_OLDER) {
            return;
        }
        Invariants.check(
                catalogue.version() > previousVersion,
                "catalogue-monotonic",
                () -> "version " + catalogue.version() + " would replace version " + previousVersion + " on " + self);
        current = current == null ? catalogue : reuseUnchangedEntries(current, catalogue);
        digest = CatalogueDigest.of(current);
        currentRevision = revision;
        platformRevision = Math.max(platformRevision, revision);
        needsFullCatalogue = false;
        history.add(current);
        actions.add(new SpreadAction.Adopt(current, source));
        if (source.equals("platform") && fault != SpreadFault.NO_PEERS) {
            announceToFailureDomain(actions);
        }
    }

    /** Reuses the objects of unchanged entries, so that retained versions need little memory. */
    private static Catalogue reuseUnchangedEntries(Catalogue before, Catalogue after) {
        Map<String, Entry> entries = new HashMap<>(after.entries());
        entries.replaceAll((key, entry) ->
                entry.equals(before.entries().get(key)) ? before.entries().get(key) : entry);
        return new Catalogue(after.version(), after.changeId(), entries);
    }

    private void announceToFailureDomain(List<SpreadAction> actions) {
        livePeers.stream()
                .filter(peer -> peer.failureDomain().equals(failureDomain)
                        && !peer.node().equals(self))
                .map(PeerRef::node)
                .sorted()
                .forEach(node -> actions.add(new SpreadAction.AnnounceVersion(node, version(), digest)));
    }

    private void expireCalls(long nowMillis) {
        if (platformCall != null && nowMillis >= platformCall.timeoutAtMillis()) {
            platformCallFailed(nowMillis);
        }
        if (peerCall != null && nowMillis >= peerCall.timeoutAtMillis()) {
            peerVersions.remove(peerCall.peer());
            peerCall = null;
        }
    }

    private void queryPlatform(long nowMillis, List<SpreadAction> actions) {
        if (platformCall != null || nowMillis < nextCallAtMillis) {
            return;
        }
        long waitMillis = platformRevision == 0 ? 0 : isWatcher() ? settings.watchMillis() : POLL_WAIT_MILLIS;
        lastCallId++;
        platformCall = new PlatformCall(lastCallId, nowMillis + waitMillis + settings.callTimeoutMillis());
        nextCallAtMillis = nowMillis + callIntervalMillis();
        actions.add(new SpreadAction.QueryPlatform(lastCallId, platformRevision, waitMillis));
    }

    /** Returns 0 for a watcher, which renews its call at once; all other nodes of a failure domain share a fixed rate. */
    private long callIntervalMillis() {
        if (current == null) {
            return settings.retryMillis();
        }
        if (isWatcher()) {
            return 0;
        }
        long domainNodes = livePeers.stream()
                .filter(peer -> peer.failureDomain().equals(failureDomain))
                .count();
        long periodMillis = Math.max(settings.minPollMillis(), settings.domainPollMillis() * domainNodes);
        return periodMillis / 2 + random.nextLong(periodMillis);
    }

    /** Requests the highest version reported by a peer if it is above this node's own; ties are broken at random. */
    private void requestFromPeer(long nowMillis, List<SpreadAction> actions) {
        if (peerCall != null || fault == SpreadFault.NO_PEERS || !mayRequestFromPeers(nowMillis)) {
            return;
        }
        long highest = peerVersions.values().stream()
                .mapToLong(KnownVersion::version)
                .max()
                .orElse(0);
        if (highest <= version()) {
            return;
        }
        List<NodeId> candidates = new ArrayList<>();
        peerVersions.forEach((peer, known) -> {
            if (known.version() == highest) {
                candidates.add(peer);
            }
        });
        candidates.sort(Comparator.naturalOrder());
        NodeId peer = candidates.get(random.nextInt(candidates.size()));
        peerCall = new PeerCall(peer, highest, nowMillis + settings.peerTimeoutMillis());
        actions.add(new SpreadAction.RequestCatalogue(peer, needsFullCatalogue ? 0 : version()));
    }

    private boolean mayRequestFromPeers(long nowMillis) {
        boolean collected = platformFailed && nowMillis - collectingSinceMillis >= settings.collectMillis();
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
        if (!reason.equals(lastNotReadyReason)) {
            lastNotReadyReason = reason;
            actions.add(new SpreadAction.NotReady(reason));
        }
    }
}
