package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.misc.Names;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.policy.Evacuations;
import org.apricotdeal.relay.port.RecordCodec;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.WatchStore;

/** Watches the keys of the operator: applies each newer catalogue, and the evacuations of failure domains. */
final class CatalogueWatcher extends StoreWatcher {
    /** A dead connection is detected only when the wait ends, and a new catalogue must be in force within seconds. */
    private static final long WAIT_MILLIS = 2_000;

    /**
     * A node that exchanges heartbeats with a delegate learns from it of new catalogues and evacuations if its own connection
     * is dead; so it waits nearly as long as the platform allows, because each end of a wait costs a call on each node.
     */
    private static final long WAIT_WITH_DELEGATE_MILLIS = 25_000;

    private static final String SOURCE = "store";

    private static final long MISSING_CATALOGUE_PAUSE_MILLIS = 200;

    private final RecordCodec codec;
    private final CatalogueHolder catalogues;
    private final EvacuationHolder evacuations;
    private final DecisionLog log;
    private volatile boolean followsDelegate;

    CatalogueWatcher(
            WatchStore store,
            RecordCodec codec,
            CatalogueHolder catalogues,
            EvacuationHolder evacuations,
            Clock clock,
            DecisionLog log) {
        super("catalogue", store, codec.operatorPrefix(), clock, log);
        this.codec = codec;
        this.catalogues = catalogues;
        this.evacuations = evacuations;
        this.log = log;
    }

    /** Sets whether a delegate sends newer catalogues to this node. */
    void setFollowsDelegate(boolean follows) {
        followsDelegate = follows;
    }

    @Override
    long waitMillis() {
        return followsDelegate ? WAIT_WITH_DELEGATE_MILLIS : WAIT_MILLIS;
    }

    @Override
    long onListed(WatchStore.Range range) {
        // The evacuations come first: they bar targets, whatever catalogue is in force.
        Map<FailureDomainId, Long> evacuated = new HashMap<>();
        for (VersionedValue item : range.items()) {
            evacuation(item.key()).ifPresent(domain -> evacuated.put(domain, item.revision()));
        }
        evacuations.offer(new Evacuations(range.revision(), evacuated), SOURCE);
        range.items().stream().filter(this::isCatalogue).forEach(item -> catalogues.offer(item.value(), SOURCE));
        return catalogues.version() == 0 ? MISSING_CATALOGUE_PAUSE_MILLIS : 0;
    }

    @Override
    long onChanged(WatchStore.Changes changes) {
        List<Evacuations.Change> words = new ArrayList<>();
        for (StoreChange change : changes.changes()) {
            switch (change) {
                case StoreChange.Written(VersionedValue item) ->
                    evacuation(item.key())
                            .ifPresent(domain -> words.add(new Evacuations.Change(domain, true, item.revision())));
                case StoreChange.Deleted(String key, long revision) ->
                    evacuation(key).ifPresent(domain -> words.add(new Evacuations.Change(domain, false, revision)));
            }
        }
        evacuations.apply(words, changes.revision(), SOURCE);
        // Only the last one: reading a catalogue takes a slow node up to a second, in which it would serve by an older
        // one.
        for (StoreChange change : changes.changes().reversed()) {
            if (change instanceof StoreChange.Written(VersionedValue item)
                    && isCatalogue(item)
                    && catalogues.offer(item.value(), SOURCE)) {
                break;
            }
        }
        return 0;
    }

    private boolean isCatalogue(VersionedValue item) {
        return item.key().equals(codec.catalogueKey());
    }

    /** Returns the failure domain that a key evacuates; empty if the key is none of these. */
    private Optional<FailureDomainId> evacuation(String key) {
        if (!key.startsWith(codec.evacuationPrefix())) {
            return Optional.empty();
        }
        String name = key.substring(codec.evacuationPrefix().length());
        if (Names.isValid(name)) {
            return Optional.of(new FailureDomainId(name));
        }
        log.state("evacuation_unreadable").with("key", key).write();
        return Optional.empty();
    }
}
