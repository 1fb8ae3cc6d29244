package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.relay.port.StoreFault;
import org.apricotdeal.relay.port.WatchStore;

/** Fake store that holds registrations, counts its calls and can lose responses. */
final class RegistrationStore implements WatchStore {
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
        return reply(new Range(List.copyOf(items), 1));
    }

    @Override
    public Result<Changes, StoreFault> watch(String prefix, long afterRevision, long waitMillis) {
        return reply(new Changes(List.of(), 1));
    }

    @Override
    public Result<Long, StoreFault> write(String key, byte[] value, long leaseId) {
        if (!loses) {
            items.removeIf(item -> item.key().equals(key));
            items.add(new VersionedValue(key, 1, value));
        }
        return reply(1L);
    }

    @Override
    public Result<Long, StoreFault> grantLease(long ttlMillis) {
        grants++;
        return reply(1L);
    }

    @Override
    public Result<Long, StoreFault> renewLease(long leaseId) {
        renewals++;
        return reply(leaseId);
    }

    @Override
    public Result<Boolean, StoreFault> endLease(long leaseId) {
        return reply(true);
    }
}
