package org.apricotdeal.policy.planning;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;

/**
 * Acquires and renews the planner's lease. The value of the key names the node and the lease. If the reply to a claim is
 * lost, reading the key shows whether the claim succeeded, and a claim made before a restart of this node is not mistaken
 * for a current one. The lease period is counted from the time at which the call that granted or renewed it was sent, less a
 * margin for clocks that run at different rates.
 */
final class PlannerLease {
    private static final long COMPETE_RETRY_MILLIS = 2_000;
    private static final long REPLY_TIMEOUT_MILLIS = 10_000;
    private static final long FAILED_CALL_RETRY_MILLIS = 200;
    private static final long RENEWALS_PER_LEASE = 4;
    private static final double CLOCK_RATE_MARGIN = 0.05;

    private final String key;
    private final NodeId node;
    private final LongSupplier callIds;
    private NextCall nextCall = NextCall.CHECK_KEY;
    private StoreCall pending;
    private long sentMillis;
    private long nextCallMillis;
    private long leaseId;
    private long requestedTtlMillis;
    private long expiresMillis;

    /** Purpose of the next call to the store. */
    private enum NextCall {
        /** Read the key to see whether another node holds it. */
        CHECK_KEY,
        /** Request a lease. */
        GRANT_LEASE,
        /** Write the key under the lease. */
        CLAIM_KEY,
        /** Read the key to see whether a claim without a reply succeeded. */
        CONFIRM_CLAIM,
        /** Renew the lease. */
        RENEW_LEASE
    }

    PlannerLease(String key, NodeId node, LongSupplier callIds) {
        this.key = key;
        this.node = node;
        this.callIds = callIds;
    }

    /** Returns the time until which the lease is certainly held, or 0 if it is not held. */
    long heldUntilMillis() {
        return nextCall == NextCall.RENEW_LEASE ? expiresMillis : 0;
    }

    boolean isHeld(long nowMillis) {
        return nowMillis < heldUntilMillis();
    }

    /** Returns the next call if one is due; none while another is in progress. */
    Optional<StoreCall> poll(long nowMillis, long leaseTtlMillis, boolean mayCompete) {
        if (pending != null && nowMillis - sentMillis > REPLY_TIMEOUT_MILLIS) {
            pending = null;
            handleFailure(nowMillis);
        }
        if (pending != null) {
            return Optional.empty();
        }
        if (nextCall != NextCall.CHECK_KEY && nextCall != NextCall.GRANT_LEASE && nowMillis >= expiresMillis) {
            restart(nowMillis);
        }
        if (nowMillis < nextCallMillis || (nextCall == NextCall.CHECK_KEY && !mayCompete)) {
            return Optional.empty();
        }
        long callId = callIds.getAsLong();
        pending = switch (nextCall) {
            case CHECK_KEY, CONFIRM_CLAIM -> new StoreCall.Get(callId, key);
            case GRANT_LEASE -> {
                requestedTtlMillis = leaseTtlMillis;
                yield new StoreCall.GrantLease(callId, leaseTtlMillis);
            }
            case CLAIM_KEY ->
                new StoreCall.Swap(callId, key, 0, claimValue().getBytes(StandardCharsets.UTF_8), leaseId);
            case RENEW_LEASE -> new StoreCall.KeepAlive(callId, leaseId);
        };
        sentMillis = nowMillis;
        return Optional.of(pending);
    }

    /** Handles a reply; returns false if it belongs to a different call. */
    boolean handleReply(long nowMillis, StoreReply reply) {
        if (pending == null || reply.callId() != pending.callId()) {
            return false;
        }
        pending = null;
        switch (reply) {
            case StoreReply.Value(long id, Optional<VersionedValue> value) -> handleValue(nowMillis, value);
            case StoreReply.Swapped swapped -> startRenewing(nowMillis);
            case StoreReply.Conflict(long id, Optional<VersionedValue> current) -> {
                if (isOwnClaim(current)) {
                    startRenewing(nowMillis);
                } else {
                    restart(nowMillis);
                }
            }
            case StoreReply.Lease lease -> handleLease(nowMillis, lease);
            case StoreReply.Failed(long id, PlatformError error) -> handleFailure(nowMillis);
        }
        return true;
    }

    /** Gives up the lease; returns the call that revokes it if it was held. */
    Optional<StoreCall> release(long nowMillis) {
        long releasedLeaseId = nextCall == NextCall.RENEW_LEASE ? leaseId : 0;
        pending = null;
        restart(nowMillis);
        return releasedLeaseId == 0
                ? Optional.empty()
                : Optional.of(new StoreCall.Revoke(callIds.getAsLong(), releasedLeaseId));
    }

    private void handleValue(long nowMillis, Optional<VersionedValue> value) {
        if (nextCall == NextCall.CONFIRM_CLAIM && isOwnClaim(value)) {
            startRenewing(nowMillis);
            return;
        }
        if (value.isPresent()) {
            restart(nowMillis);
            return;
        }
        nextCall = nextCall == NextCall.CONFIRM_CLAIM ? NextCall.CLAIM_KEY : NextCall.GRANT_LEASE;
    }

    private void handleLease(long nowMillis, StoreReply.Lease lease) {
        if (lease.ttlMillis() == 0) {
            restart(nowMillis);
            return;
        }
        leaseId = lease.leaseId();
        expiresMillis = sentMillis + lease.ttlMillis() - (long) (lease.ttlMillis() * CLOCK_RATE_MARGIN);
        if (nextCall == NextCall.GRANT_LEASE) {
            nextCall = NextCall.CLAIM_KEY;
        } else {
            nextCallMillis = nowMillis + requestedTtlMillis / RENEWALS_PER_LEASE;
        }
    }

    private void startRenewing(long nowMillis) {
        nextCall = NextCall.RENEW_LEASE;
        nextCallMillis = nowMillis;
    }

    private void handleFailure(long nowMillis) {
        nextCallMillis = nowMillis + FAILED_CALL_RETRY_MILLIS;
        if (nextCall == NextCall.CLAIM_KEY) {
            nextCall = NextCall.CONFIRM_CLAIM;
        } else if (nextCall == NextCall.CHECK_KEY || nextCall == NextCall.GRANT_LEASE) {
            restart(nowMillis);
        }
    }

    private void restart(long nowMillis) {
        nextCall = NextCall.CHECK_KEY;
        leaseId = 0;
        expiresMillis = 0;
        nextCallMillis = nowMillis + COMPETE_RETRY_MILLIS;
    }

    private String claimValue() {
        return node + " " + leaseId;
    }

    private boolean isOwnClaim(Optional<VersionedValue> value) {
        return value.isPresent() && claimValue().equals(new String(value.get().value(), StandardCharsets.UTF_8));
    }
}
