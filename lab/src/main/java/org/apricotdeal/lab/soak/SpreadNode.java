package org.apricotdeal.lab.soak;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.policy.spread.CatalogueChange;
import org.apricotdeal.policy.spread.CatalogueSpread;
import org.apricotdeal.policy.spread.PeerRef;
import org.apricotdeal.policy.spread.SpreadAction;
import org.apricotdeal.policy.spread.SpreadEvent;

/** One node of a run of the catalogue's spread; it can be killed and starts again knowing nothing. */
final class SpreadNode {
    private static final long TICK_MILLIS = 200;
    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final int HEARTBEAT_FANOUT = 3;
    private static final int VERSION_BYTES = 56;
    private static final int ASK_BYTES = 24;
    private static final int REPLY_HEADER_BYTES = 120;

    private final PeerRef self;
    private final SpreadWorld world;
    private CatalogueSpread spread;
    private int incarnation;
    private Set<PeerRef> knownLive;
    private long inForceVersion;
    private long highestVersion;
    private long sentBytes;
    private long receivedBytes;
    private long platformCalls;

    SpreadNode(PeerRef self, SpreadWorld world) {
        this.self = self;
        this.world = world;
    }

    PeerRef self() {
        return self;
    }

    String name() {
        return self.node().value();
    }

    /** Returns the version in force, 0 while the node is not ready. */
    long version() {
        return inForceVersion;
    }

    boolean isUp() {
        return !world.network().isStopped(name()) && !world.network().isPaused(name());
    }

    long trafficBytes() {
        return sentBytes + receivedBytes;
    }

    long platformCalls() {
        return platformCalls;
    }

    void boot() {
        incarnation++;
        inForceVersion = 0;
        knownLive = null;
        long seed = world.scheduler().random().nextLong();
        spread = new CatalogueSpread(
                world.settings(), self, RandomSource.XO_RO_SHI_RO_128_PP.create(seed), world.fault());
        world.network().stopped(name(), false);
        int of = incarnation;
        later(of, world.scheduler().random().nextLong(TICK_MILLIS), () -> tick(of));
        later(of, world.scheduler().random().nextLong(HEARTBEAT_MILLIS), () -> heartbeat(of));
    }

    void kill(long downMillis) {
        if (world.network().isStopped(name())) {
            return;
        }
        world.trace().add("", name() + " is killed for " + downMillis + " ms");
        incarnation++;
        inForceVersion = 0;
        world.network().stopped(name(), true);
        world.scheduler().after(downMillis, this::boot);
    }

    private void later(int of, long delayMillis, Runnable task) {
        world.scheduler().after(delayMillis, () -> runNow(of, task));
    }

    private void runNow(int of, Runnable task) {
        if (of != incarnation) {
            return;
        }
        if (world.network().isPaused(name())) {
            later(of, 5, task);
            return;
        }
        task.run();
    }

    private void tick(int of) {
        tell(new SpreadEvent.Tick());
        later(of, TICK_MILLIS, () -> tick(of));
    }

    /** Tells a few nodes of the own failure domain the version, and as a watcher one of each other failure domain. */
    private void heartbeat(int of) {
        Set<PeerRef> live = world.liveNodes();
        if (live != knownLive) {
            knownLive = live;
            tell(new SpreadEvent.PeersChanged(live));
        }
        List<SpreadNode> own = world.nodesOf(self.failureDomain());
        for (int i = 0; i < Math.min(HEARTBEAT_FANOUT, own.size() - 1); i++) {
            tellVersion(world.random(own));
        }
        if (spread.isWatcher()) {
            Set<Object> done = new HashSet<>(Set.of(self.failureDomain()));
            for (SpreadNode other : world.nodes()) {
                if (done.add(other.self.failureDomain())) {
                    tellVersion(world.random(world.nodesOf(other.self.failureDomain())));
                }
            }
        }
        later(of, HEARTBEAT_MILLIS, () -> heartbeat(of));
    }

    private void tellVersion(SpreadNode other) {
        if (other != this && inForceVersion > 0) {
            send(other, VERSION_BYTES, new SpreadEvent.PeerVersion(self.node(), inForceVersion, spread.digest()));
        }
    }

    private void send(SpreadNode other, int bytes, SpreadEvent event) {
        sentBytes += bytes;
        world.network().send(name(), other.name(), () -> {
            other.receivedBytes += bytes;
            other.tell(event);
        });
    }

    void tell(SpreadEvent event) {
        int of = incarnation;
        for (SpreadAction action : spread.step(world.scheduler().monotonicMillis(), event)) {
            runNow(of, () -> carryOut(action));
        }
    }

    private void carryOut(SpreadAction action) {
        switch (action) {
            case SpreadAction.QueryPlatform ask -> askPlatform(ask);
            case SpreadAction.AnnounceVersion(NodeId peer, long version, String digest) ->
                send(world.node(peer), VERSION_BYTES, new SpreadEvent.PeerVersion(self.node(), version, digest));
            case SpreadAction.RequestCatalogue(NodeId peer, long haveVersion) ->
                send(world.node(peer), ASK_BYTES, new SpreadEvent.PeerRequest(self.node(), haveVersion));
            case SpreadAction.SendCatalogue(NodeId peer, CatalogueChange change) ->
                send(
                        world.node(peer),
                        bytesOf(change),
                        new SpreadEvent.PeerCatalogue(self.node(), world.damaged(change)));
            case SpreadAction.Adopt(Catalogue catalogue, String source) -> {
                world.trace().add("", name() + " adopts " + catalogue.version() + " from " + source);
                world.checkAdopted(this, catalogue);
                inForceVersion = catalogue.version();
                if (inForceVersion < highestVersion) {
                    world.revertedByRestart(this, highestVersion);
                }
                highestVersion = Math.max(highestVersion, inForceVersion);
                world.adopted(this);
            }
            case SpreadAction.NotReady(String reason) -> world.trace().add("", name() + " is not ready: " + reason);
            case SpreadAction.Diverged(NodeId peer, long version) ->
                world.checkNotDiverged(name() + " and " + peer + " differ in version " + version);
        }
    }

    private void askPlatform(SpreadAction.QueryPlatform ask) {
        int of = incarnation;
        platformCalls++;
        sentBytes += ASK_BYTES;
        world.store()
                .awaitChange(
                        name(),
                        SpreadWorld.KEY,
                        ask.afterRevision(),
                        ask.waitMillis(),
                        value -> runNow(of, () -> platformReplied(ask, value)));
    }

    private void platformReplied(SpreadAction.QueryPlatform ask, Optional<VersionedValue> value) {
        Optional<Catalogue> catalogue =
                value.map(found -> world.catalogue(new String(found.value(), StandardCharsets.UTF_8)));
        receivedBytes += REPLY_HEADER_BYTES + catalogue.map(world::bytesOf).orElse(0);
        long revision = value.map(VersionedValue::revision).orElse(ask.afterRevision());
        tell(new SpreadEvent.PlatformCatalogue(ask.callId(), revision, catalogue));
    }

    private static int bytesOf(CatalogueChange change) {
        int bytes = REPLY_HEADER_BYTES;
        for (var entry : change.entries().entrySet()) {
            bytes += entry.getKey().length()
                    + entry.getValue().map(e -> e.toString().length()).orElse(0);
        }
        return bytes;
    }
}
