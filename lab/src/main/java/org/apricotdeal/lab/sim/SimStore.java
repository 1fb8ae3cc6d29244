package org.apricotdeal.lab.sim;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;

/**
 * A fake of the platform's key-value service on the virtual clock. It can be away, be slow, refuse, and lose replies after
 * the write has taken effect; each call gets exactly one reply, a failure where the service gave none in time.
 */
public final class SimStore {
    /** Name of the service as an actor of the network. */
    public static final String ACTOR = "platform";

    private static final long CALL_TIMEOUT_MILLIS = 1_000;
    private static final long WATCH_CHECK_MILLIS = 10;

    private final Scheduler scheduler;
    private final Network network;
    private final Map<String, Stored> values = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private boolean away;
    private double lostReplyShare;
    private long extraDelayMillis;
    private long revision;
    private long nextLease = 1;
    private long calls;

    private record Stored(VersionedValue value, long leaseId) {}

    private record Lease(long ttlMillis, long expiresAtMillis) {}

    /**
     * Creates an empty service.
     *
     * @param scheduler virtual clock of the run
     * @param network the network between callers and the service
     */
    public SimStore(Scheduler scheduler, Network network) {
        this.scheduler = scheduler;
        this.network = network;
    }

    /**
     * Takes the service away or brings it back.
     *
     * @param isAway true while no call is answered
     */
    public void away(boolean isAway) {
        away = isAway;
    }

    /**
     * Sets the share of replies that are lost after the call has taken effect.
     *
     * @param share share lost, from 0 to 1
     */
    public void lostReplies(double share) {
        lostReplyShare = share;
    }

    /**
     * Makes the service slow.
     *
     * @param delayMillis time added to each call
     */
    public void slow(long delayMillis) {
        extraDelayMillis = delayMillis;
    }

    /**
     * Returns how many calls reached the service.
     *
     * @return number of calls
     */
    public long calls() {
        return calls;
    }

    /**
     * Reads a key without a call, for invariants.
     *
     * @param key the key
     * @return its value, or nothing
     */
    public Optional<VersionedValue> peek(String key) {
        expire();
        return Optional.ofNullable(values.get(key)).map(Stored::value);
    }

    /**
     * Calls the service.
     *
     * @param from name of the calling actor
     * @param call the call
     * @param onReply takes the reply, unless the caller is stopped by then; waits while the caller is paused
     */
    public void call(String from, StoreCall call, Consumer<StoreReply> onReply) {
        boolean[] replied = new boolean[1];
        boolean[] reached = new boolean[1];
        Consumer<StoreReply> once = reply -> {
            if (!replied[0]) {
                replied[0] = true;
                onReply.accept(reply);
            }
        };
        network.send(
                from,
                ACTOR,
                () -> scheduler.after(extraDelayMillis, () -> {
                    if (away || reached[0]) {
                        return;
                    }
                    reached[0] = true;
                    StoreReply reply = execute(call);
                    if (scheduler.random().nextDouble() >= lostReplyShare) {
                        network.send(ACTOR, from, () -> once.accept(reply));
                    }
                }));
        scheduler.after(CALL_TIMEOUT_MILLIS, () -> fail(from, call, once));
    }

    /**
     * Waits for a change of a key. No reply comes while the service is away; the caller sets its own timeout.
     *
     * @param from name of the calling actor
     * @param key the key
     * @param afterRevision changes up to this revision are known already; 0 to read the key at once
     * @param waitMillis longest time to wait
     * @param onReply takes the newest value after that revision, or nothing where there was none in time
     */
    public void awaitChange(
            String from, String key, long afterRevision, long waitMillis, Consumer<Optional<VersionedValue>> onReply) {
        network.send(from, ACTOR, () -> {
            if (!away) {
                calls++;
                long untilMillis = scheduler.monotonicMillis() + waitMillis;
                checkChange(from, key, afterRevision, untilMillis, onReply);
            }
        });
    }

    private void checkChange(
            String from, String key, long afterRevision, long untilMillis, Consumer<Optional<VersionedValue>> onReply) {
        if (away) {
            return;
        }
        Optional<VersionedValue> found = peek(key).filter(value -> value.revision() > afterRevision);
        if (found.isEmpty() && scheduler.monotonicMillis() < untilMillis && afterRevision > 0) {
            scheduler.after(WATCH_CHECK_MILLIS, () -> checkChange(from, key, afterRevision, untilMillis, onReply));
            return;
        }
        if (scheduler.random().nextDouble() >= lostReplyShare) {
            scheduler.after(extraDelayMillis, () -> network.send(ACTOR, from, () -> onReply.accept(found)));
        }
    }

    private void fail(String from, StoreCall call, Consumer<StoreReply> once) {
        if (network.isStopped(from)) {
            return;
        }
        if (network.isPaused(from)) {
            scheduler.after(1, () -> fail(from, call, once));
            return;
        }
        once.accept(new StoreReply.Failed(call.callId(), new PlatformError.Unknown("no reply in time")));
    }

    private StoreReply execute(StoreCall call) {
        calls++;
        expire();
        return switch (call) {
            case StoreCall.Get get -> new StoreReply.Value(call.callId(), peek(get.key()));
            case StoreCall.Swap swap -> swap(swap);
            case StoreCall.Delete delete -> delete(delete);
            case StoreCall.GrantLease grant -> grant(grant);
            case StoreCall.KeepAlive keepAlive -> keepAlive(keepAlive);
            case StoreCall.Revoke revoke -> {
                leases.remove(revoke.leaseId());
                expire();
                yield new StoreReply.Lease(call.callId(), revoke.leaseId(), 0);
            }
        };
    }

    private StoreReply swap(StoreCall.Swap swap) {
        if (revisionOf(swap.key()) != swap.expectedRevision()) {
            return new StoreReply.Conflict(swap.callId(), peek(swap.key()));
        }
        if (swap.leaseId() != 0 && !leases.containsKey(swap.leaseId())) {
            return new StoreReply.Failed(swap.callId(), new PlatformError.NotDone("lease does not exist"));
        }
        revision++;
        values.put(
                swap.key(),
                new Stored(new VersionedValue(swap.key(), revision, swap.value().clone()), swap.leaseId()));
        return new StoreReply.Swapped(swap.callId(), revision);
    }

    private StoreReply delete(StoreCall.Delete delete) {
        if (revisionOf(delete.key()) != delete.expectedRevision()) {
            return new StoreReply.Conflict(delete.callId(), peek(delete.key()));
        }
        revision++;
        values.remove(delete.key());
        return new StoreReply.Swapped(delete.callId(), revision);
    }

    private StoreReply grant(StoreCall.GrantLease grant) {
        long id = nextLease++;
        leases.put(id, new Lease(grant.ttlMillis(), scheduler.monotonicMillis() + grant.ttlMillis()));
        return new StoreReply.Lease(grant.callId(), id, grant.ttlMillis());
    }

    private StoreReply keepAlive(StoreCall.KeepAlive keepAlive) {
        Lease lease = leases.get(keepAlive.leaseId());
        if (lease == null) {
            return new StoreReply.Lease(keepAlive.callId(), keepAlive.leaseId(), 0);
        }
        leases.put(keepAlive.leaseId(), new Lease(lease.ttlMillis(), scheduler.monotonicMillis() + lease.ttlMillis()));
        return new StoreReply.Lease(keepAlive.callId(), keepAlive.leaseId(), lease.ttlMillis());
    }

    private long revisionOf(String key) {
        Stored stored = values.get(key);
        return stored == null ? 0 : stored.value().revision();
    }

    private void expire() {
        long nowMillis = scheduler.monotonicMillis();
        leases.values().removeIf(lease -> lease.expiresAtMillis() <= nowMillis);
        values.values().removeIf(stored -> stored.leaseId() != 0 && !leases.containsKey(stored.leaseId()));
    }
}
