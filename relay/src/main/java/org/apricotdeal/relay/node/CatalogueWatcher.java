package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.Versioned;
import org.apricotdeal.relay.port.RecordCodec;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.WatchStore;

/** Follows the operator's key and puts each newer catalogue in force. */
final class CatalogueWatcher extends StoreWatcher {
    /** A connection that went silent is noticed at the end of the wait; a catalogue has to be in force within seconds. */
    private static final long WAIT_MILLIS = 2_000;

    /** A node that hears a delegate is told by it where its own connection is silent. */
    private static final long WAIT_BESIDE_DELEGATE_MILLIS = 6_000;

    private static final long ABSENT_PAUSE_MILLIS = 200;

    private final RecordCodec codec;
    private final CatalogueHolder catalogues;
    private volatile boolean hearsDelegate;

    CatalogueWatcher(WatchStore store, RecordCodec codec, CatalogueHolder catalogues, Clock clock, DecisionLog log) {
        super("catalogue", store, codec.operatorPrefix(), clock, log);
        this.codec = codec;
        this.catalogues = catalogues;
    }

    /** Sets whether another node would tell this one of a newer catalogue. */
    void hearsDelegate(boolean hears) {
        hearsDelegate = hears;
    }

    @Override
    long waitMillis() {
        return hearsDelegate ? WAIT_BESIDE_DELEGATE_MILLIS : WAIT_MILLIS;
    }

    @Override
    long listed(WatchStore.Range range) {
        range.items().forEach(this::take);
        return catalogues.version() == 0 ? ABSENT_PAUSE_MILLIS : 0;
    }

    @Override
    long changed(WatchStore.Changes changes) {
        for (StoreChange change : changes.changes()) {
            if (change instanceof StoreChange.Written(Versioned item)) {
                take(item);
            }
        }
        return 0;
    }

    private void take(Versioned item) {
        if (item.key().equals(codec.catalogueKey())) {
            catalogues.offer(item.value(), "store");
        }
    }
}
