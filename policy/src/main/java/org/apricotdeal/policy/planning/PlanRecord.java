package org.apricotdeal.policy.planning;

import java.util.Optional;
import java.util.function.LongSupplier;

import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.Versioned;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;

/**
 * Reads the plan record and changes it by compare-and-swap. A swap whose reply was lost is settled by reading: where the
 * record is the proposed plan it was done, where the record is still as before the same swap is tried again, and where
 * it is another the proposal is given up.
 */
final class PlanRecord {
    private static final long RETRY_MILLIS = 300;
    private static final long REPLY_LIMIT_MILLIS = 10_000;

    private final String key;
    private final LongSupplier callIds;
    private Plan committed;
    private long revision;
    private boolean known;
    private Plan proposed;
    private boolean unsettled;
    private boolean readWanted;
    private StoreCall pending;
    private long nextCallMillis;
    private long sentMillis;

    /** What a reply has changed. */
    enum Change {
        /** The reply was not for the plan record. */
        FOREIGN,
        /** Nothing that the planner has to know. */
        NONE,
        /** The record was read; no proposal is under way. */
        READ,
        /** The proposed plan is committed. */
        COMMITTED,
        /** The record is another than the proposal was built on; the proposal is given up. */
        CONFLICT
    }

    PlanRecord(String key, LongSupplier callIds) {
        this.key = key;
        this.callIds = callIds;
    }

    /** The newest plan that was read or committed; null before the first, or where there is none. */
    Plan committed() {
        return committed;
    }

    /** Whether the record was read at all. */
    boolean isKnown() {
        return known;
    }

    /** The plan to act on; the proposed one only where a deliberate fault asks for it. */
    Plan proposedOrCommitted(boolean preferProposed) {
        return preferProposed && proposed != null ? proposed : committed;
    }

    boolean isProposing() {
        return proposed != null;
    }

    void wantRead() {
        readWanted = true;
    }

    void propose(Plan plan) {
        proposed = plan;
        unsettled = false;
    }

    void giveUp() {
        proposed = null;
        unsettled = false;
    }

    Optional<StoreCall> poll(long nowMillis) {
        if (pending != null && nowMillis - sentMillis > REPLY_LIMIT_MILLIS) {
            failed(nowMillis, true);
        }
        if (pending != null || nowMillis < nextCallMillis) {
            return Optional.empty();
        }
        sentMillis = nowMillis;
        if (proposed != null && !unsettled) {
            pending = new StoreCall.Swap(callIds.getAsLong(), key, revision, PlanCodec.encode(proposed), 0);
        } else if (proposed != null || readWanted) {
            pending = new StoreCall.Get(callIds.getAsLong(), key);
            readWanted = false;
        }
        return Optional.ofNullable(pending);
    }

    Change reply(long nowMillis, StoreReply reply) {
        if (pending == null || reply.callId() != pending.callId()) {
            return Change.FOREIGN;
        }
        if (reply instanceof StoreReply.Failed(long id, PlatformError error)) {
            failed(nowMillis, error instanceof PlatformError.Unknown);
            return Change.NONE;
        }
        pending = null;
        return switch (reply) {
            case StoreReply.Swapped(long id, long written) -> swapped(written);
            case StoreReply.Conflict(long id, Optional<Versioned> current) -> read(current);
            case StoreReply.Value(long id, Optional<Versioned> value) -> read(value);
            case StoreReply.Lease lease -> Change.NONE;
            case StoreReply.Failed failed -> Change.NONE;
        };
    }

    private void failed(long nowMillis, boolean outcomeUnknown) {
        boolean wasSwap = pending instanceof StoreCall.Swap;
        pending = null;
        nextCallMillis = nowMillis + RETRY_MILLIS;
        unsettled |= wasSwap && outcomeUnknown;
        readWanted |= !wasSwap;
    }

    private Change swapped(long written) {
        revision = written;
        if (proposed == null) {
            readWanted = true;
            return Change.NONE;
        }
        committed = proposed;
        giveUp();
        return Change.COMMITTED;
    }

    private Change read(Optional<Versioned> value) {
        long newRevision = value.map(Versioned::revision).orElse(0L);
        boolean unchanged = known && newRevision == revision;
        known = true;
        revision = newRevision;
        Plan found = value.isPresent() ? decode(value.get()) : null;
        if (found != null) {
            committed = found;
        }
        if (proposed == null) {
            return Change.READ;
        }
        if (proposed.equals(found)) {
            giveUp();
            return Change.COMMITTED;
        }
        if (unchanged) {
            unsettled = false;
            return Change.NONE;
        }
        giveUp();
        return Change.CONFLICT;
    }

    private static Plan decode(Versioned value) {
        return switch (PlanCodec.decode(value.value())) {
            case Result.Ok<Plan, String>(Plan plan) -> plan;
            case Result.Err<Plan, String>(String detail) -> null;
        };
    }
}
