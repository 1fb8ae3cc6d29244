package org.apricotdeal.lab.soak;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.Entry;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.lab.sim.SimStore;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;
import org.apricotdeal.policy.spread.CatalogueChange;
import org.apricotdeal.policy.spread.PeerRef;
import org.apricotdeal.policy.spread.SpreadFault;
import org.apricotdeal.policy.spread.SpreadSettings;

/** Nodes in failure domains, the platform and the accepted catalogue versions of a run of the catalogue's spread. */
final class SpreadWorld {
    /** The catalogue's key; its values are names of catalogues kept here. */
    static final String KEY = "/apricotdeal/catalogue";

    private static final long MAX_DELAY_MICROS = 8_000;

    private final Scheduler scheduler;
    private final Network network;
    private final SimStore store;
    private final Trace trace;
    private final SpreadSettings settings;
    private final SpreadFault fault;
    private final Map<NodeId, SpreadNode> nodes = new LinkedHashMap<>();
    private final Map<FailureDomainId, List<SpreadNode>> byDomain = new LinkedHashMap<>();
    private final Map<String, Catalogue> written = new HashMap<>();
    private final Map<Long, String> accepted = new TreeMap<>();
    private final Map<Long, Long> acceptedAtMillis = new TreeMap<>();
    private final Map<Long, Integer> sizes = new HashMap<>();
    private final Set<String> told = new HashSet<>();
    private Consumer<SpreadNode> onAdopted = node -> {};
    private long lastCallId;
    private long changes;
    private double damageShare;
    private Set<PeerRef> liveNodes;
    private long liveNodesUntilMillis;
    private int restartReverts;

    SpreadWorld(long seed, int nodeCount, int domainCount, SpreadSettings settings, SpreadFault fault) {
        this.scheduler = new Scheduler(seed);
        this.network = new Network(scheduler, 300, MAX_DELAY_MICROS);
        this.store = new SimStore(scheduler, network);
        this.trace = new Trace(scheduler);
        this.settings = settings;
        this.fault = fault;
        for (int i = 0; i < nodeCount; i++) {
            PeerRef self = new PeerRef(new NodeId("node-" + i), new FailureDomainId("domain-" + i % domainCount));
            SpreadNode node = new SpreadNode(self, this);
            nodes.put(self.node(), node);
            byDomain.computeIfAbsent(self.failureDomain(), d -> new ArrayList<>())
                    .add(node);
        }
        scheduler.every(1, this::recordAccepted);
    }

    Scheduler scheduler() {
        return scheduler;
    }

    Network network() {
        return network;
    }

    SimStore store() {
        return store;
    }

    Trace trace() {
        return trace;
    }

    SpreadSettings settings() {
        return settings;
    }

    SpreadFault fault() {
        return fault;
    }

    Iterable<SpreadNode> nodes() {
        return nodes.values();
    }

    SpreadNode node(NodeId id) {
        return nodes.get(id);
    }

    List<SpreadNode> nodesOf(FailureDomainId domain) {
        return byDomain.get(domain);
    }

    List<FailureDomainId> domains() {
        return List.copyOf(byDomain.keySet());
    }

    <T> T random(List<T> of) {
        return of.get(scheduler.random().nextInt(of.size()));
    }

    /** Returns the nodes that are up, as seen at most a second ago; the same object while nothing was looked at again. */
    Set<PeerRef> liveNodes() {
        if (liveNodes != null && scheduler.monotonicMillis() < liveNodesUntilMillis) {
            return liveNodes;
        }
        Set<PeerRef> live = new HashSet<>();
        for (SpreadNode node : nodes.values()) {
            if (!network.isStopped(node.name())) {
                live.add(node.self());
            }
        }
        liveNodesUntilMillis = scheduler.monotonicMillis() + 1_000;
        if (!live.equals(liveNodes)) {
            liveNodes = live;
        }
        return liveNodes;
    }

    Catalogue catalogue(String name) {
        return written.get(name);
    }

    int bytesOf(Catalogue catalogue) {
        return sizes.computeIfAbsent(catalogue.version(), version -> {
            int bytes = 0;
            for (Entry entry : catalogue.entries().values()) {
                bytes += entry.toString().length();
            }
            return bytes;
        });
    }

    void onAdopted(Consumer<SpreadNode> listener) {
        onAdopted = listener;
    }

    void adopted(SpreadNode node) {
        onAdopted.accept(node);
    }

    Map<Long, Long> acceptedAtMillis() {
        return acceptedAtMillis;
    }

    long newestAccepted() {
        return accepted.isEmpty() ? 0 : ((TreeMap<Long, String>) accepted).lastKey();
    }

    private void recordAccepted() {
        Optional<VersionedValue> value = store.peek(KEY);
        if (value.isEmpty()) {
            return;
        }
        String name = new String(value.get().value(), StandardCharsets.UTF_8);
        long version = written.get(name).version();
        if (!accepted.containsKey(version)) {
            accepted.put(version, name);
            acceptedAtMillis.put(version, scheduler.monotonicMillis());
            trace.add("", "platform accepted " + name);
        }
    }

    /** An operator reads the catalogue, changes one entry and swaps; a lost reply is settled by the change's id. */
    void change(String operator, int entries) {
        long change = ++changes;
        store.call(operator, new StoreCall.Get(++lastCallId, KEY), reply -> {
            if (reply instanceof StoreReply.Value(long id, Optional<VersionedValue> value)) {
                swap(operator, change, entries, value);
            }
        });
    }

    private void swap(String operator, long change, int entries, Optional<VersionedValue> base) {
        Catalogue from = base.map(value -> catalogue(new String(value.value(), StandardCharsets.UTF_8)))
                .orElse(Catalogue.EMPTY);
        Map<String, Entry> changed = new HashMap<>(from.entries());
        for (int i = changed.size(); i < entries; i++) {
            Entry entry = entry(i, change);
            changed.put(entry.key(), entry);
        }
        Entry entry = entry(scheduler.random().nextInt(entries), change);
        if (scheduler.random().nextInt(5) == 0) {
            changed.remove(entry.key());
        } else {
            changed.put(entry.key(), entry);
        }
        Catalogue to = new Catalogue(from.version() + 1, operator + "-" + change, changed);
        String name = to.version() + "/" + to.changeId();
        written.put(name, to);
        long revision = base.map(VersionedValue::revision).orElse(0L);
        store.call(
                operator,
                new StoreCall.Swap(++lastCallId, KEY, revision, name.getBytes(StandardCharsets.UTF_8), 0),
                reply -> {
                    if (reply instanceof StoreReply.Swapped) {
                        told.add(name);
                    }
                });
    }

    private static Entry entry(int index, long change) {
        return new ClassEntry(new ClassId("class-" + index), "owner-" + change, index, 0.1, 760, 30_000, false, 1_000);
    }

    /** Sets the share of changes between nodes that lose an entry on their way. */
    void damageShare(double share) {
        damageShare = share;
    }

    CatalogueChange damaged(CatalogueChange change) {
        if (change.entries().isEmpty() || scheduler.random().nextDouble() >= damageShare) {
            return change;
        }
        Map<String, Optional<Entry>> entries = new TreeMap<>(change.entries());
        entries.remove(random(List.copyOf(entries.keySet())));
        return new CatalogueChange(
                change.version(),
                change.changeId(),
                change.baseVersion(),
                change.platformRevision(),
                entries,
                change.digest());
    }

    void checkAdopted(SpreadNode node, Catalogue catalogue) {
        recordAccepted();
        String name = accepted.get(catalogue.version());
        boolean isAccepted = name != null
                && written.get(name).changeId().equals(catalogue.changeId())
                && written.get(name).entries().equals(catalogue.entries());
        Invariants.check(
                isAccepted,
                "catalogue-accepted",
                () -> node.name() + " adopted " + catalogue.version() + "/" + catalogue.changeId()
                        + ", the platform accepted " + name);
        Invariants.check(
                catalogue.version() > node.version(),
                "catalogue-monotonic",
                () -> node.name() + " went from " + node.version() + " to " + catalogue.version());
    }

    /** Counts a node that lost a version by its restart and could learn only a lower one. */
    void revertedByRestart(SpreadNode node, long highestVersion) {
        restartReverts++;
        trace.add("", node.name() + " had " + highestVersion + " before its restart and now has " + node.version());
    }

    int restartReverts() {
        return restartReverts;
    }

    void checkNotDiverged(String detail) {
        Invariants.check(false, "catalogue-accepted", () -> detail);
    }

    /** Checks that no change of which an operator was told that it was accepted has been lost. */
    void checkToldAreAccepted() {
        for (String name : told) {
            Invariants.check(
                    accepted.containsValue(name), "catalogue-never-reverts", () -> name + " was accepted and is gone");
        }
    }
}
