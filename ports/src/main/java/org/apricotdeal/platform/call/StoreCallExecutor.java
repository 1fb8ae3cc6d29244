package org.apricotdeal.platform.call;

import java.util.function.Function;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.SwapOutcome;

/** Carries out store calls on a key-value service. */
public final class StoreCallExecutor {
    private final KeyValueStore store;

    /**
     * Creates a store caller.
     *
     * @param store the key-value service
     */
    public StoreCallExecutor(KeyValueStore store) {
        this.store = store;
    }

    /**
     * Carries out a call; blocks until the service has answered or the call has failed.
     *
     * @param call the call
     * @return the reply
     */
    public StoreReply call(StoreCall call) {
        return switch (call) {
            case StoreCall.Get get -> reply(call, store.get(get.key()), v -> new StoreReply.Value(call.callId(), v));
            case StoreCall.Swap swap ->
                reply(
                        call,
                        store.compareAndSwap(swap.key(), swap.expectedRevision(), swap.value(), swap.leaseId()),
                        outcome -> swapped(call, outcome));
            case StoreCall.Delete delete ->
                reply(call, store.compareAndDelete(delete.key(), delete.expectedRevision()), o -> swapped(call, o));
            case StoreCall.GrantLease grant ->
                reply(
                        call,
                        store.grantLease(grant.ttlMillis()),
                        id -> new StoreReply.Lease(call.callId(), id, grant.ttlMillis()));
            case StoreCall.KeepAlive keepAlive ->
                reply(
                        call,
                        store.keepAlive(keepAlive.leaseId()),
                        ttl -> new StoreReply.Lease(call.callId(), keepAlive.leaseId(), ttl));
            case StoreCall.Revoke revoke ->
                reply(
                        call,
                        store.revokeLease(revoke.leaseId()),
                        existed -> new StoreReply.Lease(call.callId(), revoke.leaseId(), 0));
        };
    }

    private static StoreReply swapped(StoreCall call, SwapOutcome outcome) {
        return switch (outcome) {
            case SwapOutcome.Swapped(long revision) -> new StoreReply.Swapped(call.callId(), revision);
            case SwapOutcome.Conflict(var current) -> new StoreReply.Conflict(call.callId(), current);
        };
    }

    private static <T> StoreReply reply(StoreCall call, Result<T, PlatformError> result, Function<T, StoreReply> onOk) {
        return switch (result) {
            case Result.Ok<T, PlatformError>(T value) -> onOk.apply(value);
            case Result.Err<T, PlatformError>(PlatformError error) -> new StoreReply.Failed(call.callId(), error);
        };
    }
}
