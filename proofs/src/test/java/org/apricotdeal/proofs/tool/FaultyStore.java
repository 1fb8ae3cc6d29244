package org.apricotdeal.proofs.tool;

import java.util.List;
import java.util.Optional;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.SwapOutcome;
import org.apricotdeal.platform.VersionedValue;

/** A key-value service of one key, in memory, that loses replies or is away when told to. */
final class FaultyStore implements KeyValueStore {
    private Optional<VersionedValue> value = Optional.empty();
    private boolean isAway;
    private int lostSwapReplies;
    private Runnable beforeSwap = () -> {};

    void away(boolean away) {
        isAway = away;
    }

    void loseSwapReplies(int count) {
        lostSwapReplies = count;
    }

    /** Runs something once, just before the next swap reaches the service. */
    void beforeNextSwap(Runnable body) {
        beforeSwap = body;
    }

    @Override
    public Result<Optional<VersionedValue>, PlatformError> get(String key) {
        return isAway ? Result.err(new PlatformError.NotDone("connection refused")) : Result.ok(value);
    }

    @Override
    public Result<SwapOutcome, PlatformError> compareAndSwap(
            String key, long expectedRevision, byte[] bytes, long leaseId) {
        if (isAway) {
            return Result.err(new PlatformError.NotDone("connection refused"));
        }
        Runnable body = beforeSwap;
        beforeSwap = () -> {};
        body.run();
        long revision = value.map(VersionedValue::revision).orElse(0L);
        if (revision != expectedRevision) {
            return Result.ok(new SwapOutcome.Conflict(value));
        }
        value = Optional.of(new VersionedValue(key, revision + 1, bytes));
        if (lostSwapReplies > 0) {
            lostSwapReplies--;
            return Result.err(new PlatformError.Unknown("no reply in time"));
        }
        return Result.ok(new SwapOutcome.Swapped(revision + 1));
    }

    @Override
    public Result<List<VersionedValue>, PlatformError> list(String prefix) {
        throw new UnsupportedOperationException("not used");
    }

    @Override
    public Result<SwapOutcome, PlatformError> compareAndDelete(String key, long expectedRevision) {
        throw new UnsupportedOperationException("not used");
    }

    @Override
    public Result<Long, PlatformError> grantLease(long ttlMillis) {
        throw new UnsupportedOperationException("not used");
    }

    @Override
    public Result<Long, PlatformError> keepAlive(long leaseId) {
        throw new UnsupportedOperationException("not used");
    }

    @Override
    public Result<Boolean, PlatformError> revokeLease(long leaseId) {
        throw new UnsupportedOperationException("not used");
    }

    @Override
    public Result<Optional<VersionedValue>, PlatformError> awaitChange(
            String key, long afterRevision, long timeoutMillis) {
        throw new UnsupportedOperationException("not used");
    }
}
