package org.apricotdeal.policy.planning;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.Versioned;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;

/**
 * Competes for the planner's lease and keeps it. The key holds the node and the lease, so that a claim whose reply was
 * lost is settled by reading, and a claim of the node's former life is not mistaken for its own. The lease counts from
 * the moment at which the call that granted or renewed it was sent, less a margin for clocks that run at different rates.
 */
final class LeaseKeeper {
    private static final long RETRY_MILLIS = 2_000;
    private static final long REPLY_LIMIT_MILLIS = 10_000;
    private static final long SETTLE_MILLIS = 200;
    private static final long RENEWALS_PER_LEASE = 4;
    private static final double CLOCK_RATE_MARGIN = 0.05;

    private final String key;
    private final NodeId node;
    private final LongSupplier callIds;
    private Step step = Step.LOOK;
    private StoreCall pending;
    private long sentMillis;
    private long nextCallMillis;
    private long leaseId;
    private long ttlMillis;
    private long untilMillis;

    /** What the next call is for. */
    private enum Step {
        /** See whether the key is free. */
        LOOK,
        /** Get a lease. */
        GRANT,
        /** Bind the key to the lease. */
        CLAIM,
        /** See whether the key was bound though no reply came. */
        SETTLE,
        /** Keep the lease. */
        RENEW
    }

    LeaseKeeper(String key, NodeId node, LongSupplier callIds) {
        this.key = key;
        this.node = node;
        this.callIds = callIds;
    }

    /** Latest time at which the lease is certainly held; 0 where it is not held. */
    long heldUntilMillis() {
        return step == Step.RENEW ? untilMillis : 0;
    }

    boolean isHeld(long nowMillis) {
        return nowMillis < heldUntilMillis();
    }

    /** Returns the next call where one is due; none while another is under way. */
    Optional<StoreCall> poll(long nowMillis, long wantedTtlMillis, boolean mayCompete) {
        if (pending != null && nowMillis - sentMillis > REPLY_LIMIT_MILLIS) {
            pending = null;
            failed(nowMillis);
        }
        if (pending != null) {
            return Optional.empty();
        }
        if (step != Step.LOOK && step != Step.GRANT && nowMillis >= untilMillis) {
            restart(nowMillis);
        }
        if (nowMillis < nextCallMillis || (step == Step.LOOK && !mayCompete)) {
            return Optional.empty();
        }
        long callId = callIds.getAsLong();
        pending = switch (step) {
            case LOOK, SETTLE -> new StoreCall.Get(callId, key);
            case GRANT -> {
                ttlMillis = wantedTtlMillis;
                yield new StoreCall.GrantLease(callId, wantedTtlMillis);
            }
            case CLAIM -> new StoreCall.Swap(callId, key, 0, claim().getBytes(StandardCharsets.UTF_8), leaseId);
            case RENEW -> new StoreCall.KeepAlive(callId, leaseId);
        };
        sentMillis = nowMillis;
        return Optional.of(pending);
    }

    /** Takes a reply; returns false where it belongs to another call. */
    boolean reply(long nowMillis, StoreReply reply) {
        if (pending == null || reply.callId() != pending.callId()) {
            return false;
        }
        pending = null;
        switch (reply) {
            case StoreReply.Value(long id, Optional<Versioned> value) -> read(nowMillis, value);
            case StoreReply.Swapped swapped -> claimed(nowMillis);
            case StoreReply.Conflict(long id, Optional<Versioned> current) -> {
                if (isOwnClaim(current)) {
                    claimed(nowMillis);
                } else {
                    restart(nowMillis);
                }
            }
            case StoreReply.Lease lease -> leased(nowMillis, lease);
            case StoreReply.Failed(long id, PlatformError error) -> failed(nowMillis);
        }
        return true;
    }

    /** Ends the lease. */
    Optional<StoreCall> giveBack(long nowMillis) {
        long ended = step == Step.RENEW ? leaseId : 0;
        pending = null;
        restart(nowMillis);
        return ended == 0 ? Optional.empty() : Optional.of(new StoreCall.Revoke(callIds.getAsLong(), ended));
    }

    private void read(long nowMillis, Optional<Versioned> value) {
        if (step == Step.SETTLE && isOwnClaim(value)) {
            claimed(nowMillis);
            return;
        }
        if (value.isPresent()) {
            restart(nowMillis);
            return;
        }
        step = step == Step.SETTLE ? Step.CLAIM : Step.GRANT;
    }

    private void leased(long nowMillis, StoreReply.Lease lease) {
        if (lease.ttlMillis() == 0) {
            restart(nowMillis);
            return;
        }
        leaseId = lease.leaseId();
        untilMillis = sentMillis + lease.ttlMillis() - (long) (lease.ttlMillis() * CLOCK_RATE_MARGIN);
        if (step == Step.GRANT) {
            step = Step.CLAIM;
        } else {
            nextCallMillis = nowMillis + ttlMillis / RENEWALS_PER_LEASE;
        }
    }

    private void claimed(long nowMillis) {
        step = Step.RENEW;
        nextCallMillis = nowMillis;
    }

    private void failed(long nowMillis) {
        nextCallMillis = nowMillis + SETTLE_MILLIS;
        if (step == Step.CLAIM) {
            step = Step.SETTLE;
        } else if (step == Step.LOOK || step == Step.GRANT) {
            restart(nowMillis);
        }
    }

    private void restart(long nowMillis) {
        step = Step.LOOK;
        leaseId = 0;
        untilMillis = 0;
        nextCallMillis = nowMillis + RETRY_MILLIS;
    }

    private String claim() {
        return node + " " + leaseId;
    }

    private boolean isOwnClaim(Optional<Versioned> value) {
        return value.isPresent() && claim().equals(new String(value.get().value(), StandardCharsets.UTF_8));
    }
}
