package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.StoreLease;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.relay.port.WatchStore;

/** Fake store that holds registrations, counts its calls and can lose responses. */
final class RegistrationStore implements WatchStore {
    private static final StoreRevision FIRST = new StoreRevision(1, 1);

    final List<VersionedValue> items = new ArrayList<>();
    int ranges;
    int renewals;
    int grants;
    boolean loses;

    private <T> Result<T, StoreFault> reply(T value) {
        return loses ? Result.err(new StoreFault.Unknown("lost")) : Result.ok(value);
    }

    @Override
    public Result<Range, StoreFault> range(String prefix, boolean stale) {
        ranges++;
        return reply(new Range(List.copyOf(items), FIRST));
    }

    @Override
    public Result<Changes, StoreFault> watch(String prefix, StoreRevision after, long waitMillis) {
        return reply(new Changes(List.of(), FIRST));
    }

    @Override
    public Result<StoreRevision, StoreFault> write(String key, byte[] value, StoreLease lease) {
        if (!loses) {
            items.removeIf(item -> item.key().equals(key));
            items.add(new VersionedValue(key, 1, value));
        }
        return reply(FIRST);
    }

    @Override
    public Result<StoreLease, StoreFault> grantLease(long ttlMillis) {
        grants++;
        return reply(new StoreLease(1, FIRST.incarnation()));
    }

    @Override
    public Result<Long, StoreFault> renewLease(StoreLease lease) {
        renewals++;
        return reply(lease.id());
    }

    @Override
    public Result<Boolean, StoreFault> endLease(StoreLease lease) {
        return reply(true);
    }
}
