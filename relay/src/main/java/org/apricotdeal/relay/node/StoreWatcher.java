package org.apricotdeal.relay.node;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.WatchStore;

/** Watches the keys with a prefix: lists them once, then watches for changes, and lists them again after each failure. */
abstract class StoreWatcher extends StoreThread {
    /** Interval at which a watcher in standby checks whether it must become active. */
    private static final long STAND_BY_MILLIS = 100;

    private final WatchStore store;
    private final String prefix;
    private StoreRevision revision = StoreRevision.NONE;
    private StoreRevision lastRevision = StoreRevision.NONE;

    /**
     * Creates a watcher.
     *
     * @param task name of the watched data, for the log and the thread's name
     * @param store the store
     * @param prefix prefix of the watched keys
     * @param clock clock for the duration of failures
     * @param log log for failures and recoveries
     */
    StoreWatcher(String task, WatchStore store, String prefix, Clock clock, DecisionLog log) {
        super(task, clock, log);
        this.store = store;
        this.prefix = prefix;
    }

    /** Returns the longest wait of a watch in milliseconds. */
    abstract long waitMillis();

    /** Handles a full list of the keys; returns the pause before the next call in milliseconds. */
    abstract long onListed(WatchStore.Range range);

    /** Handles changes, ordered by revision; returns the pause before the next call in milliseconds. */
    abstract long onChanged(WatchStore.Changes changes);

    /** Returns whether a peer supplies the changes now, so that no calls to the store are needed. */
    boolean isStandby() {
        return false;
    }

    /** Returns the revision up to which a peer has supplied the changes, or {@link StoreRevision#NONE} if none has. */
    StoreRevision peerRevision() {
        return StoreRevision.NONE;
    }

    @Override
    final long runOnce() {
        if (isStandby()) {
            clearFailure();
            return STAND_BY_MILLIS;
        }
        if (!revision.isKnown()) {
            return list();
        }
        revision = StoreRevision.latest(revision, peerRevision());
        return watch();
    }

    private long list() {
        return switch (store.range(prefix, false)) {
            case Result.Err<WatchStore.Range, StoreFault>(StoreFault fault) -> callFailed(fault);
            case Result.Ok<WatchStore.Range, StoreFault>(WatchStore.Range range) -> {
                callSucceeded();
                reportRestore(range.revision());
                long pauseMillis = onListed(range);
                revision = range.revision();
                lastRevision = revision;
                yield pauseMillis;
            }
        };
    }

    private long watch() {
        return switch (store.watch(prefix, revision, waitMillis())) {
            case Result.Err<WatchStore.Changes, StoreFault>(StoreFault fault) -> {
                // List again: a watch sent while the store is unavailable would go on waiting after its recovery.
                revision = StoreRevision.NONE;
                yield fault instanceof StoreFault.HistoryLost ? 0 : callFailed(fault);
            }
            case Result.Ok<WatchStore.Changes, StoreFault>(WatchStore.Changes changes) -> {
                callSucceeded();
                long pauseMillis = onChanged(changes);
                revision = StoreRevision.latest(revision, changes.revision());
                lastRevision = revision;
                yield pauseMillis;
            }
        };
    }

    /** Logs that the store has been restored from an older copy, or has returned with a lower revision nevertheless. */
    private void reportRestore(StoreRevision listed) {
        StoreRevision known = StoreRevision.latest(lastRevision, peerRevision());
        if (!known.isKnown() || (listed.hasIncarnationOf(known) && !known.isAfter(listed))) {
            return;
        }
        log().state(listed.isAfter(known) ? "store_restored" : "store_revision_decreased")
                .with("matter", task())
                .with("listed", listed)
                .with("known", known)
                .write();
    }
}
