package org.apricotdeal.policy.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;

/**
 * Applies one node's changes to one shard of the journal.
 *
 * <p>Changes are collected in {@code pending}. If changes are pending and no call is in flight, the node reads the shard or
 * swaps in a content that includes all pending changes. Every reply is handled in the same way: the content that the
 * platform confirms becomes the new view, and each pending change is compared with it ({@code reconcile}).
 *
 * <ul>
 *   <li>A new claim that is in the view under its own id is granted, regardless of which swap wrote it.
 *   <li>A new claim whose key is held by another claim is refused, or answered with the recorded answer.
 *   <li>A new claim whose key is free stays pending and is included in the next swap.
 * </ul>
 *
 * <p>A swap without a reply may take effect later, but not after a later revision has been seen, because the swap expects
 * the earlier revision. A request that is refused while such a swap is unresolved leaves a {@code Removal}, which stays
 * pending until its claim is absent and can no longer be written.
 *
 * <p>Only time measured by this node's monotonic clock counts: a claim is written and granted only within
 * {@code maxWaitMillis} of the receipt of its request, and a new generation begins only after this node has observed the
 * current one for its full length. Therefore neither wrong clocks nor late requests make a key available again before its
 * retention ends. The cost is that claims are retained for longer than necessary.
 */
final class ShardWriter {
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final String storeKey;
    private final ClaimSettings settings;
    private final ClaimFault fault;
    private final UniformRandomProvider random;
    private final LongSupplier nextCallId;
    private final MutableClaimCounters counters;
    private final Map<String, PendingChange> pending = new LinkedHashMap<>();
    private final Map<String, Long> runningFirstSeenMillis = new HashMap<>();
    private final Set<String> grantedClaimIds = new HashSet<>();
    private ShardView view;
    private StoreCall inFlight;
    private ClaimShard inFlightShard;
    private boolean mustRead;
    private boolean unreadable;
    private long lastSwapAtMillis = NEVER_MILLIS;
    private long outcomesPendingSinceMillis;
    private long nextCallAtMillis = NEVER_MILLIS;

    ShardWriter(
            String storeKey,
            ClaimSettings settings,
            ClaimFault fault,
            UniformRandomProvider random,
            LongSupplier nextCallId,
            MutableClaimCounters counters) {
        this.storeKey = storeKey;
        this.settings = settings;
        this.fault = fault;
        this.random = random;
        this.nextCallId = nextCallId;
        this.counters = counters;
    }

    void request(long nowMillis, PendingChange.NewClaim newClaim, List<ClaimAction> actions) {
        for (PendingChange other : pending.values()) {
            if (other instanceof PendingChange.NewClaim earlier && earlier.key().equals(newClaim.key())) {
                boolean same = earlier.request()
                        .requestHash()
                        .equals(newClaim.request().requestHash());
                refuse(newClaim, same ? ClaimRefusal.IN_PROGRESS : ClaimRefusal.KEY_REUSED, actions);
                return;
            }
        }
        if (hasWaitedTooLong(newClaim, nowMillis)) {
            refuseAfterTooLongWait(newClaim, actions);
            return;
        }
        pending.put(newClaim.claimId(), newClaim);
        reconcile(nowMillis, actions);
        callPlatform(nowMillis, actions);
    }

    void abandon(long nowMillis, String claimId, List<ClaimAction> actions) {
        if (pending.get(claimId) instanceof PendingChange.NewClaim newClaim) {
            withdraw(newClaim);
        }
        callPlatform(nowMillis, actions);
    }

    void addChange(long nowMillis, PendingChange change, List<ClaimAction> actions) {
        grantedClaimIds.remove(change.claimId());
        if (pending.isEmpty()) {
            outcomesPendingSinceMillis = nowMillis;
        }
        pending.put(change.claimId(), change);
        reconcile(nowMillis, actions);
        callPlatform(nowMillis, actions);
    }

    void tick(long nowMillis, List<ClaimAction> actions) {
        for (PendingChange change : List.copyOf(pending.values())) {
            if (change instanceof PendingChange.NewClaim newClaim && hasWaitedTooLong(newClaim, nowMillis)) {
                refuseAfterTooLongWait(newClaim, actions);
            }
        }
        callPlatform(nowMillis, actions);
    }

    boolean isWaiting(String claimId) {
        return pending.get(claimId) instanceof PendingChange.NewClaim;
    }

    boolean isAwaiting(long callId) {
        return inFlight != null && inFlight.callId() == callId;
    }

    boolean isIdle() {
        return pending.isEmpty() && inFlight == null;
    }

    void reply(long nowMillis, StoreReply reply, List<ClaimAction> actions) {
        StoreCall call = inFlight;
        ClaimShard written = inFlightShard;
        inFlight = null;
        inFlightShard = null;
        switch (reply) {
            case StoreReply.Value(long id, Optional<VersionedValue> value) -> valueRead(nowMillis, value);
            case StoreReply.Conflict(long id, Optional<VersionedValue> current) -> {
                counters.conflicts++;
                nextCallAtMillis = nowMillis + random.nextLong(settings.minSwapIntervalMillis() + 1);
                valueRead(nowMillis, current);
            }
            case StoreReply.Swapped(long id, long revision) -> {
                counters.writes++;
                mustRead = false;
                view = ShardView.after(view, revision, written, nowMillis);
            }
            case StoreReply.Lease lease -> throw new IllegalStateException("unexpected lease reply: " + lease);
            case StoreReply.Failed(long id, PlatformError error) -> callFailed(nowMillis, call, written, error);
        }
        reconcile(nowMillis, actions);
        callPlatform(nowMillis, actions);
    }

    private void callFailed(long nowMillis, StoreCall call, ClaimShard written, PlatformError error) {
        nextCallAtMillis = nowMillis + settings.retryMillis() + random.nextLong(settings.retryMillis() + 1);
        if (!(call instanceof StoreCall.Swap swap) || error instanceof PlatformError.NotDone) {
            return;
        }
        counters.unconfirmed++;
        mustRead = true;
        if (fault == ClaimFault.ASSUME_LOST_SWAP_DONE) {
            view = ShardView.after(view, swap.expectedRevision() + 1, written, nowMillis);
        }
    }

    private void valueRead(long nowMillis, Optional<VersionedValue> value) {
        mustRead = false;
        long revision = value.map(VersionedValue::revision).orElse(0L);
        Result<ClaimShard, String> decoded = value.map(v -> ClaimShardCodec.decode(v.value()))
                .orElseGet(() -> Result.ok(ClaimShard.empty(settings.slotMillis())));
        boolean revisionDecreased = view != null && revision < view.revision() && fault == ClaimFault.NONE;
        unreadable = revisionDecreased || !(decoded instanceof Result.Ok<ClaimShard, String>);
        if (unreadable) {
            nextCallAtMillis = nowMillis + settings.retryMillis();
        }
        if (!unreadable && decoded instanceof Result.Ok<ClaimShard, String>(ClaimShard shard)) {
            view = ShardView.after(view, revision, shard, nowMillis);
        }
    }

    /** Compares every pending change with the view and completes those whose result the view shows. */
    private void reconcile(long nowMillis, List<ClaimAction> actions) {
        for (PendingChange change : List.copyOf(pending.values())) {
            if (unreadable && change instanceof PendingChange.NewClaim newClaim) {
                withdraw(newClaim);
                refuse(newClaim, ClaimRefusal.JOURNAL_UNREADABLE, actions);
            } else if (view != null) {
                reconcileOne(nowMillis, change, actions);
            }
        }
    }

    private void reconcileOne(long nowMillis, PendingChange change, List<ClaimAction> actions) {
        Claim existing = view.shard().claims().get(change.key());
        boolean isOwn = existing != null && existing.claimId().equals(change.claimId());
        switch (change) {
            case PendingChange.NewClaim newClaim -> {
                if (isOwn) {
                    grant(nowMillis, newClaim, actions);
                } else if (existing != null) {
                    decideDuplicate(nowMillis, newClaim, existing, actions);
                } else if (view.revision() > newClaim.lastExpectedRevision()) {
                    pending.put(newClaim.claimId(), newClaim.withLastExpectedRevision(PendingChange.NEVER_SENT));
                }
            }
            case PendingChange.Outcome outcome -> {
                boolean recorded = isOwn && existing.state() != ClaimState.RUNNING;
                if (!isOwn || recorded) {
                    pending.remove(outcome.claimId());
                }
            }
            case PendingChange.Removal removal -> {
                if (!isOwn && view.revision() > removal.lastExpectedRevision()) {
                    pending.remove(removal.claimId());
                }
            }
        }
    }

    private void grant(long nowMillis, PendingChange.NewClaim newClaim, List<ClaimAction> actions) {
        if (hasWaitedTooLong(newClaim, nowMillis) && fault != ClaimFault.GRANT_AFTER_REFUSAL) {
            refuseAfterTooLongWait(newClaim, actions);
            return;
        }
        if (grantedClaimIds.contains(newClaim.claimId()) && fault == ClaimFault.GRANT_BEFORE_SWAP) {
            pending.remove(newClaim.claimId());
            return;
        }
        Claim recorded = view.shard().claims().get(newClaim.key());
        boolean isRecordedAsRunning =
                recorded.claimId().equals(newClaim.claimId()) && recorded.state() == ClaimState.RUNNING;
        Invariants.check(
                isRecordedAsRunning || fault != ClaimFault.NONE,
                "claim-before-dispatch",
                () -> "request " + newClaim.request().requestId() + " would be granted, but the journal contains "
                        + recorded);
        Invariants.check(
                !grantedClaimIds.contains(newClaim.claimId()),
                "claim-granted-once",
                () -> "claim " + newClaim.claimId() + " would be granted twice");
        pending.remove(newClaim.claimId());
        emitGrant(nowMillis, newClaim, actions);
    }

    private void emitGrant(long nowMillis, PendingChange.NewClaim newClaim, List<ClaimAction> actions) {
        grantedClaimIds.add(newClaim.claimId());
        counters.granted++;
        long dispatchByMillis =
                fault == ClaimFault.CLAIM_LATE_COPY ? Long.MAX_VALUE : nowMillis + settings.maxWaitMillis();
        actions.add(new ClaimAction.Granted(newClaim.request().requestId(), newClaim.claimId(), dispatchByMillis));
    }

    private void decideDuplicate(
            long nowMillis, PendingChange.NewClaim newClaim, Claim existing, List<ClaimAction> actions) {
        boolean same = existing.requestHash().equals(newClaim.request().requestHash())
                || fault == ClaimFault.IGNORE_REQUEST_HASH;
        if (same && existing.state() == ClaimState.RUNNING && view.seenAtMillis() < newClaim.receivedAtMillis()) {
            return;
        }
        pending.remove(newClaim.claimId());
        if (!same) {
            refuse(newClaim, ClaimRefusal.KEY_REUSED, actions);
            return;
        }
        if (existing.state() == ClaimState.ANSWERED) {
            replay(newClaim, existing, actions);
            return;
        }
        if (existing.state() == ClaimState.UNKNOWN) {
            refuse(newClaim, ClaimRefusal.OUTCOME_UNKNOWN, actions);
            return;
        }
        decideRunning(nowMillis, newClaim, existing, actions);
    }

    private void replay(PendingChange.NewClaim newClaim, Claim existing, List<ClaimAction> actions) {
        if (existing.answer() == null) {
            refuse(newClaim, ClaimRefusal.ALREADY_RUN, actions);
            return;
        }
        counters.replayed++;
        actions.add(new ClaimAction.Replay(
                newClaim.request().requestId(),
                new ClaimAnswer(existing.status(), existing.contentType(), existing.answer())));
    }

    private void decideRunning(
            long nowMillis, PendingChange.NewClaim newClaim, Claim existing, List<ClaimAction> actions) {
        if (fault == ClaimFault.TAKE_OVER_UNKNOWN) {
            emitGrant(nowMillis, newClaim, actions);
            return;
        }
        if (pending.get(existing.claimId()) instanceof PendingChange.Outcome outcome) {
            decideLocallyEnded(newClaim, outcome, actions);
            return;
        }
        if (runningFirstSeenMillis.size() > view.shard().claims().size()) {
            runningFirstSeenMillis.clear();
        }
        long firstSeenMillis = runningFirstSeenMillis.computeIfAbsent(existing.claimId(), id -> nowMillis);
        boolean hasTimedOut = nowMillis - firstSeenMillis > existing.timeoutMillis() + settings.maxWaitMillis();
        boolean runsHere = grantedClaimIds.contains(existing.claimId());
        refuse(newClaim, hasTimedOut && !runsHere ? ClaimRefusal.OUTCOME_UNKNOWN : ClaimRefusal.IN_PROGRESS, actions);
    }

    /** Handles a duplicate of a request that has ended on this node but whose outcome the view does not show yet. */
    private void decideLocallyEnded(
            PendingChange.NewClaim newClaim, PendingChange.Outcome outcome, List<ClaimAction> actions) {
        if (outcome.answer() == null) {
            refuse(newClaim, ClaimRefusal.OUTCOME_UNKNOWN, actions);
        } else if (outcome.answer().body().length > settings.maxAnswerBytes()) {
            refuse(newClaim, ClaimRefusal.ALREADY_RUN, actions);
        } else {
            counters.replayed++;
            actions.add(new ClaimAction.Replay(newClaim.request().requestId(), outcome.answer()));
        }
    }

    /** Returns whether a claim must no longer be written or granted, because earlier claims may have expired since. */
    private boolean hasWaitedTooLong(PendingChange.NewClaim newClaim, long nowMillis) {
        return fault != ClaimFault.CLAIM_LATE_COPY
                && nowMillis - newClaim.receivedAtMillis() > settings.maxWaitMillis();
    }

    private void refuseAfterTooLongWait(PendingChange.NewClaim newClaim, List<ClaimAction> actions) {
        if (fault != ClaimFault.GRANT_AFTER_REFUSAL) {
            withdraw(newClaim);
        }
        refuse(newClaim, ClaimRefusal.PLATFORM_AWAY, actions);
    }

    /** Drops a request; schedules the removal of its claim if a swap may have written it or may still write it. */
    private void withdraw(PendingChange.NewClaim newClaim) {
        pending.remove(newClaim.claimId());
        if (newClaim.lastExpectedRevision() != PendingChange.NEVER_SENT) {
            pending.put(
                    newClaim.claimId(),
                    new PendingChange.Removal(newClaim.key(), newClaim.claimId(), newClaim.lastExpectedRevision()));
        }
    }

    private void refuse(PendingChange.NewClaim newClaim, ClaimRefusal reason, List<ClaimAction> actions) {
        counters.refused++;
        long retryAfterMillis =
                switch (reason) {
                    case PLATFORM_AWAY, JOURNAL_FULL, IN_PROGRESS -> RETRY_AFTER_MILLIS;
                    case JOURNAL_UNREADABLE, KEY_REUSED, OUTCOME_UNKNOWN, ALREADY_RUN -> 0;
                };
        actions.add(new ClaimAction.Refused(newClaim.request().requestId(), reason, retryAfterMillis));
    }

    private void callPlatform(long nowMillis, List<ClaimAction> actions) {
        if (inFlight != null || pending.isEmpty() || nowMillis < nextCallAtMillis) {
            return;
        }
        if (view == null || mustRead || unreadable || hasDuplicateInView()) {
            inFlight = new StoreCall.Get(nextCallId.getAsLong(), storeKey);
            counters.reads++;
            actions.add(new ClaimAction.Store(inFlight));
            return;
        }
        if (swapIsDue(nowMillis)) {
            swap(nowMillis, actions);
        }
    }

    private boolean hasDuplicateInView() {
        for (PendingChange change : pending.values()) {
            if (change instanceof PendingChange.NewClaim
                    && view.shard().claims().containsKey(change.key())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a swap may be sent now. Outcomes alone wait for claims, to share one swap with them. */
    private boolean swapIsDue(long nowMillis) {
        boolean hasNewClaims = pending.values().stream().anyMatch(PendingChange.NewClaim.class::isInstance);
        boolean batchIsReady = hasNewClaims || nowMillis - outcomesPendingSinceMillis >= settings.outcomeBatchMillis();
        return batchIsReady && nowMillis - lastSwapAtMillis >= settings.minSwapIntervalMillis();
    }

    /**
     * Sends a swap with all pending changes. If the shard is full, the swap may contain no changes and only begin a new
     * generation; otherwise claims in a full shard would never expire.
     */
    private void swap(long nowMillis, List<ClaimAction> actions) {
        boolean beginGeneration = view.generationIsOver(nowMillis) || fault == ClaimFault.ADVANCE_WITHOUT_WAITING;
        ShardUpdate update = new ShardUpdate(settings, view.shard(), beginGeneration);
        update.applyAll(pending.values());
        for (PendingChange.NewClaim newClaim : update.rejectedForSize()) {
            withdraw(newClaim);
            refuse(newClaim, ClaimRefusal.JOURNAL_FULL, actions);
        }
        if (pending.isEmpty() && !beginGeneration) {
            return;
        }
        List<PendingChange.NewClaim> sent = new ArrayList<>(update.added());
        for (PendingChange.NewClaim newClaim : sent) {
            pending.put(newClaim.claimId(), newClaim.withLastExpectedRevision(view.revision()));
            if (fault == ClaimFault.GRANT_BEFORE_SWAP && !grantedClaimIds.contains(newClaim.claimId())) {
                emitGrant(nowMillis, newClaim, actions);
            }
        }
        inFlightShard = update.result();
        byte[] value = ClaimShardCodec.encode(inFlightShard);
        Invariants.check(
                value.length <= 1 << 20,
                "claim-shard-size",
                () -> "shard " + storeKey + " has " + value.length + " bytes");
        inFlight = new StoreCall.Swap(nextCallId.getAsLong(), storeKey, view.revision(), value, 0);
        lastSwapAtMillis = nowMillis;
        counters.writtenBytes += value.length;
        actions.add(new ClaimAction.Store(inFlight));
    }
}
