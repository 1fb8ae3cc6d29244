package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.VmEntryLog;
import org.apricotdeal.relay.port.RecordCodec;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.WatchStore;

/**
 * Watches the VM entries in the store at intervals, because each heartbeat of a VM would end a waiting watch and each call
 * has a cost. One delegate watches for all nodes, with a second one in reserve. A node that is neither, or that the store
 * rejects, gets changes of VMs from peers, and calls the store if the peers have no current data.
 */
final class VmWatcher extends StoreWatcher {
    /** Time between two watches; a leaving VM is noticed well within the two seconds that the platform allows. */
    private static final long WATCH_INTERVAL_MILLIS = 500;

    private static final long WAIT_MILLIS = 1_000;

    /** Time within which VMs whose entries expired during an outage of the store register again after its recovery. */
    private static final long REREGISTRATION_MILLIS = 2_200;

    /** Age from which data of peers no longer replaces that of the store. */
    private static final long MAX_AGE_MILLIS = 1_500;

    /** Age of a peer's update that still shows that the store is available to some nodes; a few heartbeat periods. */
    private static final long MAX_PEER_UPDATE_AGE_MILLIS = 1_000;

    /**
     * The same for the reserve of the delegate that watches the store. It and the next value are shorter, so that the reserve
     * has called the store before the data of all other nodes is too old and each of them calls it.
     */
    private static final long MAX_RESERVE_UPDATE_AGE_MILLIS = 500;

    /** Age from which data of peers no longer replaces that of the store for the reserve. */
    private static final long MAX_RESERVE_AGE_MILLIS = 1_000;

    /** Where a node gets the changes of VM entries from. */
    enum Source {
        /** The store: the node watches for the others. */
        STORE,
        /** Peers as long as their updates come without a gap, or else the store. */
        RESERVE,
        /** Peers, or the store if they have no current data. */
        PEERS
    }

    private final RecordCodec codec;
    private final FleetDuty fleet;
    private final VmEntryLog entries;
    private volatile long peerUpdateMillis = Long.MIN_VALUE / 2;
    private long keepMissingUntilMillis = Long.MIN_VALUE / 2;

    /** Time at which this node first saw the current incarnation of a store that it had known before. */
    private long restoredMillis = Long.MIN_VALUE / 2;

    /** Time at which the store last confirmed the entries known here, to this node or a peer. */
    private volatile long confirmedMillis = Long.MIN_VALUE / 2;

    private volatile Source source = Source.STORE;

    VmWatcher(WatchStore store, RecordCodec codec, FleetDuty fleet, Clock clock, DecisionLog log) {
        super("vms", store, codec.vmPrefix(), clock, log);
        this.codec = codec;
        this.entries = new VmEntryLog(codec::heartbeat);
        this.fleet = fleet;
    }

    @Override
    synchronized long onListed(WatchStore.Range range) {
        StoreRevision known = entries.revision();
        if (range.revision().incarnation() < known.incarnation()) {
            return WATCH_INTERVAL_MILLIS;
        }
        if (known.isKnown() && !range.revision().hasIncarnationOf(known)) {
            restoredMillis = clock().monotonicMillis();
            entries.withholdRemoved(range.items());
        }
        // If peers could follow the store all the time, missing entries did not expire in an outage: the VMs have left.
        // Entries that the store has lost with its former incarnation are written again, like those that expired.
        long lostMillis = hasRecentPeerUpdate() ? restoredMillis : Math.max(restoredMillis, recoveredMillis());
        keepMissingUntilMillis = lostMillis + REREGISTRATION_MILLIS;
        List<UpstreamVm> vms = replaceAll(range.items(), range.revision());
        confirmedMillis = clock().monotonicMillis();
        fleet.put(new FleetEvent.AllVmsListed(vms, removeAtMillis()));
        return WATCH_INTERVAL_MILLIS;
    }

    @Override
    synchronized long onChanged(WatchStore.Changes changes) {
        if (changes.revision().incarnation() < entries.revision().incarnation()) {
            return WATCH_INTERVAL_MILLIS;
        }
        applyChanges(changes.changes(), removeAtMillis());
        entries.advanceTo(changes.revision());
        confirmedMillis = clock().monotonicMillis();
        return WATCH_INTERVAL_MILLIS;
    }

    /** Sets where this node gets the changes from. */
    void setSource(Source changed) {
        source = changed;
    }

    @Override
    long waitMillis() {
        return WAIT_MILLIS;
    }

    @Override
    boolean isStandby() {
        return switch (source) {
            case STORE -> false;
            case RESERVE -> ageMillis() < MAX_RESERVE_AGE_MILLIS && hasPeerUpdateWithin(MAX_RESERVE_UPDATE_AGE_MILLIS);
            case PEERS -> ageMillis() < MAX_AGE_MILLIS && hasRecentPeerUpdate();
        };
    }

    private boolean hasRecentPeerUpdate() {
        return hasPeerUpdateWithin(MAX_PEER_UPDATE_AGE_MILLIS);
    }

    private boolean hasPeerUpdateWithin(long millis) {
        return clock().monotonicMillis() - peerUpdateMillis < millis;
    }

    @Override
    synchronized StoreRevision peerRevision() {
        return entries.revision();
    }

    /** Returns the time since the store last confirmed the entries known here. */
    long ageMillis() {
        return clock().monotonicMillis() - confirmedMillis;
    }

    /** Applies changes; of several changes of a VM only the last one is published. */
    private void applyChanges(List<StoreChange> changes, long removeAtMillis) {
        Map<VmId, FleetEvent> last = new HashMap<>();
        for (StoreChange change : changes) {
            switch (change) {
                case StoreChange.Written(VersionedValue item) -> {
                    Optional<UpstreamVm> vm = vm(item);
                    entries.recordWrite(item, vm);
                    vm.ifPresent(described -> last.put(described.id(), new FleetEvent.VmListed(described)));
                }
                case StoreChange.Deleted(String key, long atRevision) -> {
                    entries.recordRemoval(key, atRevision);
                    id(key).ifPresent(id -> last.put(id, new FleetEvent.VmRemoved(id, removeAtMillis)));
                }
            }
        }
        last.values().forEach(fleet::put);
    }

    /** Returns the time at which a VM whose entry is missing now is removed. */
    long removeAtMillis() {
        return Math.max(clock().monotonicMillis(), keepMissingUntilMillis);
    }

    /** Returns the revision of the store up to which the entries are known. */
    synchronized StoreRevision revision() {
        return entries.revision();
    }

    /**
     * Returns the changes for a peer that does not watch the store. Empty if this node's own data is old, or if it cannot
     * tell yet whether missing entries expired or were lost in an outage or their VMs have left.
     *
     * @param after revision up to which the peer knows the entries; it gets all if that is of a different incarnation
     */
    synchronized Optional<VmUpdate> changesSince(StoreRevision after) {
        boolean settled = hasRecentPeerUpdate() || reachableMillis() >= REREGISTRATION_MILLIS;
        boolean restoredRecently = clock().monotonicMillis() - restoredMillis < REREGISTRATION_MILLIS;
        if (!settled || restoredRecently || ageMillis() >= MAX_AGE_MILLIS) {
            return Optional.empty();
        }
        StoreRevision begin = after.hasIncarnationOf(entries.revision()) ? after : StoreRevision.NONE;
        return Optional.of(
                new VmUpdate(begin, new WatchStore.Changes(entries.changesSince(begin), entries.revision())));
    }

    /**
     * Applies changes of VM entries from a peer. Ignored if they are of an earlier incarnation of the store, or begin after
     * the revision that this node knows, as after its restart.
     *
     * @param update changes since the revision that this node reported
     * @param updateAgeMillis time since the store confirmed the data
     */
    synchronized void applyPeerUpdate(VmUpdate update, long updateAgeMillis) {
        StoreRevision known = entries.revision();
        StoreRevision upToRevision = update.changes().revision();
        boolean follows = update.isComplete()
                || (update.after().hasIncarnationOf(known) && !update.after().isAfter(known));
        boolean followsStore = source == Source.STORE && !isStoreFailing();
        if (followsStore || !follows || upToRevision.incarnation() < known.incarnation()) {
            return;
        }
        peerUpdateMillis = clock().monotonicMillis();
        confirmedMillis = Math.max(confirmedMillis, peerUpdateMillis - updateAgeMillis);
        if (known.isKnown() && !upToRevision.hasIncarnationOf(known)) {
            // The peer has waited until VMs whose entries the store had lost have registered again.
            List<UpstreamVm> vms = replaceAll(written(update.changes().changes()), upToRevision);
            fleet.put(new FleetEvent.AllVmsListed(vms, peerUpdateMillis));
            return;
        }
        List<StoreChange> newChanges = new ArrayList<>(update.changes().changes());
        newChanges.removeIf(change -> change.revision() <= known.number());
        applyChanges(newChanges, peerUpdateMillis);
        entries.advanceTo(upToRevision);
    }

    private List<UpstreamVm> replaceAll(List<VersionedValue> items, StoreRevision atRevision) {
        Map<String, UpstreamVm> vms = new HashMap<>();
        items.forEach(item -> vm(item).ifPresent(vm -> vms.put(item.key(), vm)));
        return List.copyOf(entries.replaceAll(items, vms, atRevision));
    }

    private static List<VersionedValue> written(List<StoreChange> changes) {
        List<VersionedValue> items = new ArrayList<>();
        for (StoreChange change : changes) {
            if (change instanceof StoreChange.Written(VersionedValue item)) {
                items.add(item);
            }
        }
        return items;
    }

    private Optional<UpstreamVm> vm(VersionedValue item) {
        return id(item.key()).flatMap(id -> codec.vm(id.value(), item.value()));
    }

    private Optional<VmId> id(String key) {
        if (!key.startsWith(codec.vmPrefix())) {
            return Optional.empty();
        }
        String id = key.substring(codec.vmPrefix().length());
        return Names.isValid(id) ? Optional.of(new VmId(id)) : Optional.empty();
    }
}
