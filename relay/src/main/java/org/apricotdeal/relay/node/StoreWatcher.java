package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.WatchStore;

/** Follows the keys with a prefix: lists them once, then watches for changes, and lists again after each fault. */
abstract class StoreWatcher extends StoreThread {
    /** Time after which a watcher that stands by looks whether it still may. */
    private static final long STAND_BY_MILLIS = 100;

    private final WatchStore store;
    private final String prefix;
    private long revision = -1;

    /**
     * Creates a watcher.
     *
     * @param matter what it follows, for the log and the thread's name
     * @param store the store
     * @param prefix prefix of the keys
     */
    StoreWatcher(String matter, WatchStore store, String prefix, Clock clock, DecisionLog log) {
        super(matter, clock, log);
        this.store = store;
        this.prefix = prefix;
    }

    /** Returns the longest wait of a watch. */
    abstract long waitMillis();

    /** Takes all items at once; returns how long to pause before the next call. */
    abstract long listed(WatchStore.Range range);

    /** Takes changes in their order; returns how long to pause before the next call. */
    abstract long changed(WatchStore.Changes changes);

    /** Tells whether another source serves as well now, so that no call is made. */
    boolean standsBy() {
        return false;
    }

    /** Returns the revision up to which another source has told the changes meanwhile. */
    long toldRevision() {
        return -1;
    }

    @Override
    final long turn() {
        if (standsBy()) {
            leftToOthers();
            return STAND_BY_MILLIS;
        }
        if (revision < 0) {
            return list();
        }
        revision = Math.max(revision, toldRevision());
        return watch();
    }

    private long list() {
        return switch (store.range(prefix, false)) {
            case Result.Err<WatchStore.Range, StoreFault>(StoreFault fault) -> failed(fault);
            case Result.Ok<WatchStore.Range, StoreFault>(WatchStore.Range range) -> {
                answered();
                long pauseMillis = listed(range);
                revision = range.revision();
                yield pauseMillis;
            }
        };
    }

    private long watch() {
        return switch (store.watch(prefix, revision, waitMillis())) {
            case Result.Err<WatchStore.Changes, StoreFault>(StoreFault fault) -> {
                // Read again: a watch sent while the store is away would wait in vain beyond its return.
                revision = -1;
                yield fault instanceof StoreFault.HistoryLost ? 0 : failed(fault);
            }
            case Result.Ok<WatchStore.Changes, StoreFault>(WatchStore.Changes changes) -> {
                answered();
                long pauseMillis = changed(changes);
                revision = Math.max(revision, changes.revision());
                yield pauseMillis;
            }
        };
    }
}
