package org.apricotdeal.relay.node;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.StoreLease;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.WatchStore;

/** Decorates a store with counters of its calls: one of all calls, and one for each kind of call of each caller. */
final class CountedStore implements WatchStore {
    /** Name of the counter of all calls, and beginning of the names of the others. */
    static final String CALLS = "store.calls";

    private final WatchStore store;
    private final MetricRegistry metrics;
    private final String task;

    /**
     * Decorates a store.
     *
     * @param store the store
     * @param metrics registry of the counters
     * @param task name of the caller, such as {@code vms}
     */
    CountedStore(WatchStore store, MetricRegistry metrics, String task) {
        this.store = store;
        this.metrics = metrics;
        this.task = task;
    }

    private void count(String kind) {
        metrics.counter(CALLS).inc();
        metrics.counter(CALLS + "." + task + "." + kind).inc();
    }

    @Override
    public Result<Range, StoreFault> range(String prefix, boolean stale) {
        count(stale ? "staleRange" : "range");
        return store.range(prefix, stale);
    }

    @Override
    public Result<Changes, StoreFault> watch(String prefix, StoreRevision after, long waitMillis) {
        count("watch");
        return store.watch(prefix, after, waitMillis);
    }

    @Override
    public Result<StoreRevision, StoreFault> write(String key, byte[] value, StoreLease lease) {
        count("write");
        return store.write(key, value, lease);
    }

    @Override
    public Result<StoreLease, StoreFault> grantLease(long ttlMillis) {
        count("grant");
        return store.grantLease(ttlMillis);
    }

    @Override
    public Result<Long, StoreFault> renewLease(StoreLease lease) {
        count("renewal");
        return store.renewLease(lease);
    }

    @Override
    public Result<Boolean, StoreFault> endLease(StoreLease lease) {
        count("end");
        return store.endLease(lease);
    }
}
