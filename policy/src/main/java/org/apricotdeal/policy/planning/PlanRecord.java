package org.apricotdeal.policy.planning;

import java.util.Optional;
import java.util.function.LongSupplier;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;

/**
 * Reads the plan record and changes it by compare-and-swap. If the reply to a swap is lost, the record is read again: if it
 * is the proposed plan, the swap has succeeded; if it is unchanged, the swap is retried; otherwise the proposal is dropped.
 */
final class PlanRecord {
    private static final long FAILED_CALL_RETRY_MILLIS = 300;
    private static final long REPLY_TIMEOUT_MILLIS = 10_000;

    private final String key;
    private final LongSupplier callIds;
    private Plan committed;
    private long revision;
    private boolean hasBeenRead;
    private Plan proposed;
    private boolean swapOutcomeUnknown;
    private boolean readRequested;
    private StoreCall pending;
    private long nextCallMillis;
    private long sentMillis;

    /** Effect of a reply. */
    enum Change {
        /** The reply belongs to a call that was not made for the plan record. */
        UNRELATED,
        /** Nothing that the planner has to react to. */
        NONE,
        /** The record was read while no proposal was in progress. */
        READ,
        /** The proposed plan is committed. */
        COMMITTED,
        /** The record is not the one on which the proposal was based; the proposal is dropped. */
        CONFLICT
    }

    PlanRecord(String key, LongSupplier callIds) {
        this.key = key;
        this.callIds = callIds;
    }

    /** Returns the newest plan that was read or committed, or null if there is none. */
    Plan committed() {
        return committed;
    }

    /** Tells whether the record has been read at least once. */
    boolean hasBeenRead() {
        return hasBeenRead;
    }

    /** Returns the plan to carry out: the committed plan, or the proposed one if an injected fault prefers it. */
    Plan proposedOrCommitted(boolean preferProposed) {
        return preferProposed && proposed != null ? proposed : committed;
    }

    boolean isProposing() {
        return proposed != null;
    }

    void requestRead() {
        readRequested = true;
    }

    void propose(Plan plan) {
        proposed = plan;
        swapOutcomeUnknown = false;
    }

    void dropProposal() {
        proposed = null;
        swapOutcomeUnknown = false;
    }

    Optional<StoreCall> poll(long nowMillis) {
        if (pending != null && nowMillis - sentMillis > REPLY_TIMEOUT_MILLIS) {
            handleFailure(nowMillis, true);
        }
        if (pending != null || nowMillis < nextCallMillis) {
            return Optional.empty();
        }
        sentMillis = nowMillis;
        if (proposed != null && !swapOutcomeUnknown) {
            pending = new StoreCall.Swap(callIds.getAsLong(), key, revision, PlanCodec.encode(proposed), 0);
        } else if (proposed != null || readRequested) {
            pending = new StoreCall.Get(callIds.getAsLong(), key);
            readRequested = false;
        }
        return Optional.ofNullable(pending);
    }

    Change handleReply(long nowMillis, StoreReply reply) {
        if (pending == null || reply.callId() != pending.callId()) {
            return Change.UNRELATED;
        }
        if (reply instanceof StoreReply.Failed(long id, PlatformError error)) {
            handleFailure(nowMillis, error instanceof PlatformError.Unknown);
            return Change.NONE;
        }
        pending = null;
        return switch (reply) {
            case StoreReply.Swapped(long id, long newRevision) -> handleSwapped(newRevision);
            case StoreReply.Conflict(long id, Optional<VersionedValue> current) -> handleRead(current);
            case StoreReply.Value(long id, Optional<VersionedValue> value) -> handleRead(value);
            case StoreReply.Lease lease -> Change.NONE;
            case StoreReply.Failed failed -> Change.NONE;
        };
    }

    private void handleFailure(long nowMillis, boolean outcomeUnknown) {
        boolean wasSwap = pending instanceof StoreCall.Swap;
        pending = null;
        nextCallMillis = nowMillis + FAILED_CALL_RETRY_MILLIS;
        swapOutcomeUnknown |= wasSwap && outcomeUnknown;
        readRequested |= !wasSwap;
    }

    private Change handleSwapped(long newRevision) {
        revision = newRevision;
        if (proposed == null) {
            readRequested = true;
            return Change.NONE;
        }
        committed = proposed;
        dropProposal();
        return Change.COMMITTED;
    }

    private Change handleRead(Optional<VersionedValue> value) {
        long newRevision = value.map(VersionedValue::revision).orElse(0L);
        boolean unchanged = hasBeenRead && newRevision == revision;
        hasBeenRead = true;
        revision = newRevision;
        Plan storedPlan = value.isPresent() ? decode(value.get()) : null;
        if (storedPlan != null) {
            committed = storedPlan;
        }
        if (proposed == null) {
            return Change.READ;
        }
        if (proposed.equals(storedPlan)) {
            dropProposal();
            return Change.COMMITTED;
        }
        if (unchanged) {
            swapOutcomeUnknown = false;
            return Change.NONE;
        }
        dropProposal();
        return Change.CONFLICT;
    }

    private static Plan decode(VersionedValue value) {
        return switch (PlanCodec.decode(value.value())) {
            case Result.Ok<Plan, String>(Plan plan) -> plan;
            case Result.Err<Plan, String>(String detail) -> null;
        };
    }
}
