package org.apricotdeal.relay.node;

import com.codahale.metrics.Counter;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.WatchStore;

/** Decorates a store with a counter of its calls. */
final class CountedStore implements WatchStore {
    private final WatchStore store;
    private final Counter calls;

    CountedStore(WatchStore store, Counter calls) {
        this.store = store;
        this.calls = calls;
    }

    @Override
    public Result<Range, StoreFault> range(String prefix, boolean stale) {
        calls.inc();
        return store.range(prefix, stale);
    }

    @Override
    public Result<Changes, StoreFault> watch(String prefix, long afterRevision, long waitMillis) {
        calls.inc();
        return store.watch(prefix, afterRevision, waitMillis);
    }

    @Override
    public Result<Long, StoreFault> write(String key, byte[] value, long leaseId) {
        calls.inc();
        return store.write(key, value, leaseId);
    }

    @Override
    public Result<Long, StoreFault> grantLease(long ttlMillis) {
        calls.inc();
        return store.grantLease(ttlMillis);
    }

    @Override
    public Result<Long, StoreFault> renewLease(long leaseId) {
        calls.inc();
        return store.renewLease(leaseId);
    }

    @Override
    public Result<Boolean, StoreFault> endLease(long leaseId) {
        calls.inc();
        return store.endLease(leaseId);
    }
}
