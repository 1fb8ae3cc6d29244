package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.platform.Versioned;
import org.apricotdeal.relay.port.RecordCodec;
import org.apricotdeal.relay.port.StoreChange;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.WatchStore;

/** Follows the operator's key and puts each newer catalogue in force. */
final class CatalogueWatcher extends StoreThread {
    /** A connection that went silent is noticed at the end of the wait; a catalogue has to be in force within seconds. */
    private static final long WAIT_MILLIS = 2_000;

    private static final long ABSENT_PAUSE_MILLIS = 200;

    private final WatchStore store;
    private final RecordCodec codec;
    private final CatalogueHolder catalogues;
    private long revision = -1;

    CatalogueWatcher(WatchStore store, RecordCodec codec, CatalogueHolder catalogues, Clock clock, DecisionLog log) {
        super("catalogue", clock, log);
        this.store = store;
        this.codec = codec;
        this.catalogues = catalogues;
    }

    @Override
    long turn() {
        return revision < 0 ? list() : watch();
    }

    private long list() {
        return switch (store.range(codec.operatorPrefix(), false)) {
            case Result.Err<WatchStore.Range, StoreFault>(StoreFault fault) -> failed(fault);
            case Result.Ok<WatchStore.Range, StoreFault>(WatchStore.Range range) -> {
                answered();
                range.items().forEach(this::take);
                revision = range.revision();
                yield catalogues.version() == 0 ? ABSENT_PAUSE_MILLIS : 0;
            }
        };
    }

    private long watch() {
        return switch (store.watch(codec.operatorPrefix(), revision, WAIT_MILLIS)) {
            case Result.Err<WatchStore.Changes, StoreFault>(StoreFault fault) -> {
                // Read again: a watch sent while the store is away would wait in vain beyond its return.
                revision = -1;
                yield fault instanceof StoreFault.HistoryLost ? 0 : failed(fault);
            }
            case Result.Ok<WatchStore.Changes, StoreFault>(WatchStore.Changes changes) -> {
                answered();
                for (StoreChange change : changes.changes()) {
                    if (change instanceof StoreChange.Written(Versioned item)) {
                        take(item);
                    }
                }
                revision = Math.max(revision, changes.revision());
                yield 0;
            }
        };
    }

    private void take(Versioned item) {
        if (item.key().equals(codec.catalogueKey())) {
            catalogues.offer(item.value(), "store");
        }
    }
}
