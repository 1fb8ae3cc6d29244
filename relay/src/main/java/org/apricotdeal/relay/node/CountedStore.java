package org.apricotdeal.relay.node;

import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.port.StoreFault;
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
    public Result<Changes, StoreFault> watch(String prefix, long afterRevision, long waitMillis) {
        count("watch");
        return store.watch(prefix, afterRevision, waitMillis);
    }

    @Override
    public Result<Long, StoreFault> write(String key, byte[] value, long leaseId) {
        count("write");
        return store.write(key, value, leaseId);
    }

    @Override
    public Result<Long, StoreFault> grantLease(long ttlMillis) {
        count("grant");
        return store.grantLease(ttlMillis);
    }

    @Override
    public Result<Long, StoreFault> renewLease(long leaseId) {
        count("renewal");
        return store.renewLease(leaseId);
    }

    @Override
    public Result<Boolean, StoreFault> endLease(long leaseId) {
        count("end");
        return store.endLease(leaseId);
    }
}
