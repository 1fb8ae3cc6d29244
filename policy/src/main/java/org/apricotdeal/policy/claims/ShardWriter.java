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
import org.apricotdeal.platform.Versioned;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;

/**
 * One node's part in one shard of the journal.
 *
 * <p>Changes gather in {@code pending}. While no call is in flight and at least one change needs it, the node reads the
 * shard or swaps in a content that carries all of them. Whatever the reply, there is one way on: take the content that
 * the platform confirms as the new view, and compare each pending change with it ({@code reconcile}).
 *
 * <ul>
 *   <li>A claim that stands in the view under its own id is granted, whichever of several swaps carried it there.
 *   <li>A claim whose key another claim holds is refused, or answered with the recorded answer.
 *   <li>A claim whose key is free stays pending and goes into the next swap.
 * </ul>
 *
 * <p>A swap without a reply may take effect later. It cannot once a later revision has been seen, since it expects the
 * earlier one. A request that is refused while such a swap is open leaves a {@code Releasing} behind, which stays until
 * its claim is known to be absent for good.
 *
 * <p>Time counts only as far as this node has seen it pass: a claim is written only on a view that is not older than the
 * request by more than the hold, and a generation begins only after this node has seen the last one for its whole time.
 * So neither wrong clocks nor late requests reopen a key before its retention ends; the cost is that claims stay longer.
 */
final class ShardWriter {
    private static final long IN_PROGRESS_RETRY_MILLIS = 1_000;
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final String storeKey;
    private final ClaimSettings settings;
    private final ClaimFault fault;
    private final UniformRandomProvider random;
    private final LongSupplier nextCallId;
    private final ClaimTally tally;
    private final Map<String, PendingChange> pending = new LinkedHashMap<>();
    private final Map<String, Long> runningSeenAtMillis = new HashMap<>();
    private final Set<String> ownGranted = new HashSet<>();
    private ShardView view;
    private StoreCall inFlight;
    private ClaimShard inFlightShard;
    private boolean mustRead;
    private boolean unreadable;
    private long lastSwapAtMillis = NEVER_MILLIS;
    private long settlingSinceMillis;
    private long nextCallAtMillis = NEVER_MILLIS;

    ShardWriter(
            String storeKey,
            ClaimSettings settings,
            ClaimFault fault,
            UniformRandomProvider random,
            LongSupplier nextCallId,
            ClaimTally tally) {
        this.storeKey = storeKey;
        this.settings = settings;
        this.fault = fault;
        this.random = random;
        this.nextCallId = nextCallId;
        this.tally = tally;
    }

    void request(long nowMillis, PendingChange.Claiming claiming, List<ClaimAction> actions) {
        for (PendingChange other : pending.values()) {
            if (other instanceof PendingChange.Claiming earlier && earlier.key().equals(claiming.key())) {
                boolean same = earlier.request()
                        .requestHash()
                        .equals(claiming.request().requestHash());
                refuse(claiming, same ? ClaimRefusal.IN_PROGRESS : ClaimRefusal.KEY_REUSED, actions);
                return;
            }
        }
        if (isLate(claiming, nowMillis)) {
            refuseLate(claiming, actions);
            return;
        }
        pending.put(claiming.claimId(), claiming);
        reconcile(nowMillis, actions);
        callPlatform(nowMillis, actions);
    }

    void abandon(long nowMillis, String claimId, List<ClaimAction> actions) {
        if (pending.get(claimId) instanceof PendingChange.Claiming claiming) {
            giveUp(claiming);
        }
        callPlatform(nowMillis, actions);
    }

    void settle(long nowMillis, PendingChange change, List<ClaimAction> actions) {
        ownGranted.remove(change.claimId());
        if (pending.isEmpty()) {
            settlingSinceMillis = nowMillis;
        }
        pending.put(change.claimId(), change);
        reconcile(nowMillis, actions);
        callPlatform(nowMillis, actions);
    }

    void tick(long nowMillis, List<ClaimAction> actions) {
        for (PendingChange change : List.copyOf(pending.values())) {
            if (change instanceof PendingChange.Claiming claiming && isLate(claiming, nowMillis)) {
                refuseLate(claiming, actions);
            }
        }
        callPlatform(nowMillis, actions);
    }

    boolean isWaiting(String claimId) {
        return pending.get(claimId) instanceof PendingChange.Claiming;
    }

    boolean awaits(long callId) {
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
            case StoreReply.Value(long id, Optional<Versioned> value) -> seen(nowMillis, value);
            case StoreReply.Conflict(long id, Optional<Versioned> current) -> {
                tally.conflicts++;
                nextCallAtMillis = nowMillis + random.nextLong(settings.minSwapIntervalMillis() + 1);
                seen(nowMillis, current);
            }
            case StoreReply.Swapped(long id, long revision) -> {
                tally.writes++;
                mustRead = false;
                view = ShardView.after(view, revision, written, nowMillis);
            }
            case StoreReply.Lease lease -> throw new IllegalStateException("no lease was asked for: " + lease);
            case StoreReply.Failed(long id, PlatformError error) -> failed(nowMillis, call, written, error);
        }
        reconcile(nowMillis, actions);
        callPlatform(nowMillis, actions);
    }

    private void failed(long nowMillis, StoreCall call, ClaimShard written, PlatformError error) {
        nextCallAtMillis = nowMillis + settings.retryMillis() + random.nextLong(settings.retryMillis() + 1);
        if (!(call instanceof StoreCall.Swap swap) || error instanceof PlatformError.NotDone) {
            return;
        }
        tally.unconfirmed++;
        mustRead = true;
        if (fault == ClaimFault.ASSUME_LOST_SWAP_DONE) {
            view = ShardView.after(view, swap.expectedRevision() + 1, written, nowMillis);
        }
    }

    private void seen(long nowMillis, Optional<Versioned> value) {
        mustRead = false;
        long revision = value.map(Versioned::revision).orElse(0L);
        Result<ClaimShard, String> decoded = value.map(v -> ClaimShardCodec.decode(v.value()))
                .orElseGet(() -> Result.ok(ClaimShard.empty(settings.slotMillis())));
        boolean wentBack = view != null && revision < view.revision() && fault == ClaimFault.NONE;
        unreadable = wentBack || !(decoded instanceof Result.Ok<ClaimShard, String>);
        if (unreadable) {
            nextCallAtMillis = nowMillis + settings.retryMillis();
        }
        if (!unreadable && decoded instanceof Result.Ok<ClaimShard, String>(ClaimShard shard)) {
            view = ShardView.after(view, revision, shard, nowMillis);
        }
    }

    /** Compares every pending change with the view, and ends those that the view decides. */
    private void reconcile(long nowMillis, List<ClaimAction> actions) {
        for (PendingChange change : List.copyOf(pending.values())) {
            if (unreadable && change instanceof PendingChange.Claiming claiming) {
                giveUp(claiming);
                refuse(claiming, ClaimRefusal.JOURNAL_UNREADABLE, actions);
            } else if (view != null) {
                reconcileOne(nowMillis, change, actions);
            }
        }
    }

    private void reconcileOne(long nowMillis, PendingChange change, List<ClaimAction> actions) {
        Claim existing = view.shard().claims().get(change.key());
        boolean own = existing != null && existing.claimId().equals(change.claimId());
        switch (change) {
            case PendingChange.Claiming claiming -> {
                if (own) {
                    grant(nowMillis, claiming, actions);
                } else if (existing != null) {
                    decideRepeat(nowMillis, claiming, existing, actions);
                } else if (view.revision() > claiming.sentOnRevision()) {
                    pending.put(claiming.claimId(), claiming.sentOn(PendingChange.NEVER_SENT));
                }
            }
            case PendingChange.Settling settling -> {
                boolean recorded = own && existing.state() != ClaimState.RUNNING;
                if (!own || recorded) {
                    pending.remove(settling.claimId());
                }
            }
            case PendingChange.Releasing releasing -> {
                if (!own && view.revision() > releasing.sentOnRevision()) {
                    pending.remove(releasing.claimId());
                }
            }
        }
    }

    private void grant(long nowMillis, PendingChange.Claiming claiming, List<ClaimAction> actions) {
        if (isLate(claiming, nowMillis) && fault != ClaimFault.GRANT_AFTER_REFUSAL) {
            refuseLate(claiming, actions);
            return;
        }
        if (ownGranted.contains(claiming.claimId()) && fault == ClaimFault.GRANT_BEFORE_SWAP) {
            pending.remove(claiming.claimId());
            return;
        }
        Claim recorded = view.shard().claims().get(claiming.key());
        boolean isRecorded = recorded.claimId().equals(claiming.claimId()) && recorded.state() == ClaimState.RUNNING;
        Invariants.check(
                isRecorded || fault != ClaimFault.NONE,
                "claim-before-dispatch",
                () -> "request " + claiming.request().requestId() + " is granted, but the journal holds " + recorded);
        Invariants.check(
                !ownGranted.contains(claiming.claimId()),
                "claim-granted-once",
                () -> "claim " + claiming.claimId() + " is granted twice");
        pending.remove(claiming.claimId());
        emitGrant(nowMillis, claiming, actions);
    }

    private void emitGrant(long nowMillis, PendingChange.Claiming claiming, List<ClaimAction> actions) {
        ownGranted.add(claiming.claimId());
        tally.granted++;
        long dispatchByMillis =
                fault == ClaimFault.CLAIM_LATE_COPY ? Long.MAX_VALUE : nowMillis + settings.holdMillis();
        actions.add(new ClaimAction.Granted(claiming.request().requestId(), claiming.claimId(), dispatchByMillis));
    }

    private void decideRepeat(
            long nowMillis, PendingChange.Claiming claiming, Claim existing, List<ClaimAction> actions) {
        boolean same = existing.requestHash().equals(claiming.request().requestHash())
                || fault == ClaimFault.IGNORE_REQUEST_HASH;
        if (same && existing.state() == ClaimState.RUNNING && view.seenAtMillis() < claiming.receivedAtMillis()) {
            return;
        }
        pending.remove(claiming.claimId());
        if (!same) {
            refuse(claiming, ClaimRefusal.KEY_REUSED, actions);
            return;
        }
        if (existing.state() == ClaimState.ANSWERED) {
            replay(claiming, existing, actions);
            return;
        }
        if (existing.state() == ClaimState.UNKNOWN) {
            refuse(claiming, ClaimRefusal.OUTCOME_UNKNOWN, actions);
            return;
        }
        decideRunning(nowMillis, claiming, existing, actions);
    }

    private void replay(PendingChange.Claiming claiming, Claim existing, List<ClaimAction> actions) {
        if (existing.answer() == null) {
            refuse(claiming, ClaimRefusal.ALREADY_RUN, actions);
            return;
        }
        tally.replayed++;
        actions.add(new ClaimAction.Replay(
                claiming.request().requestId(),
                new ClaimAnswer(existing.status(), existing.contentType(), existing.answer())));
    }

    private void decideRunning(
            long nowMillis, PendingChange.Claiming claiming, Claim existing, List<ClaimAction> actions) {
        if (fault == ClaimFault.TAKE_OVER_UNKNOWN) {
            emitGrant(nowMillis, claiming, actions);
            return;
        }
        if (pending.get(existing.claimId()) instanceof PendingChange.Settling settling) {
            decideSettling(claiming, settling, actions);
            return;
        }
        if (runningSeenAtMillis.size() > view.shard().claims().size()) {
            runningSeenAtMillis.clear();
        }
        long sinceMillis = runningSeenAtMillis.computeIfAbsent(existing.claimId(), id -> nowMillis);
        boolean isOver = nowMillis - sinceMillis > existing.timeoutMillis() + settings.holdMillis();
        boolean runsHere = ownGranted.contains(existing.claimId());
        refuse(claiming, isOver && !runsHere ? ClaimRefusal.OUTCOME_UNKNOWN : ClaimRefusal.IN_PROGRESS, actions);
    }

    /** Decides a repeat of a request that has ended on this node, while the journal does not show it yet. */
    private void decideSettling(
            PendingChange.Claiming claiming, PendingChange.Settling settling, List<ClaimAction> actions) {
        if (settling.answer() == null) {
            refuse(claiming, ClaimRefusal.OUTCOME_UNKNOWN, actions);
        } else if (settling.answer().body().length > settings.maxAnswerBytes()) {
            refuse(claiming, ClaimRefusal.ALREADY_RUN, actions);
        } else {
            tally.replayed++;
            actions.add(new ClaimAction.Replay(claiming.request().requestId(), settling.answer()));
        }
    }

    /** Tells whether a claim may not be written or granted any more, since earlier claims may have been dropped. */
    private boolean isLate(PendingChange.Claiming claiming, long nowMillis) {
        return fault != ClaimFault.CLAIM_LATE_COPY && nowMillis - claiming.receivedAtMillis() > settings.holdMillis();
    }

    private void refuseLate(PendingChange.Claiming claiming, List<ClaimAction> actions) {
        if (fault != ClaimFault.GRANT_AFTER_REFUSAL) {
            giveUp(claiming);
        }
        refuse(claiming, ClaimRefusal.PLATFORM_AWAY, actions);
    }

    /** Forgets a claim's request, but not the claim itself where a swap may have written it or may yet do so. */
    private void giveUp(PendingChange.Claiming claiming) {
        pending.remove(claiming.claimId());
        if (claiming.sentOnRevision() != PendingChange.NEVER_SENT) {
            pending.put(
                    claiming.claimId(),
                    new PendingChange.Releasing(claiming.key(), claiming.claimId(), claiming.sentOnRevision()));
        }
    }

    private void refuse(PendingChange.Claiming claiming, ClaimRefusal reason, List<ClaimAction> actions) {
        tally.refused++;
        long retryAfterMillis =
                switch (reason) {
                    case PLATFORM_AWAY, JOURNAL_FULL, IN_PROGRESS -> IN_PROGRESS_RETRY_MILLIS;
                    case JOURNAL_UNREADABLE, KEY_REUSED, OUTCOME_UNKNOWN, ALREADY_RUN -> 0;
                };
        actions.add(new ClaimAction.Refused(claiming.request().requestId(), reason, retryAfterMillis));
    }

    private void callPlatform(long nowMillis, List<ClaimAction> actions) {
        if (inFlight != null || pending.isEmpty() || nowMillis < nextCallAtMillis) {
            return;
        }
        if (view == null || mustRead || unreadable || aRepeatNeedsFreshView()) {
            inFlight = new StoreCall.Get(nextCallId.getAsLong(), storeKey);
            tally.reads++;
            actions.add(new ClaimAction.Store(inFlight));
            return;
        }
        if (swapIsDue(nowMillis)) {
            swap(nowMillis, actions);
        }
    }

    private boolean aRepeatNeedsFreshView() {
        for (PendingChange change : pending.values()) {
            if (change instanceof PendingChange.Claiming
                    && view.shard().claims().containsKey(change.key())) {
                return true;
            }
        }
        return false;
    }

    /** Lets outcomes wait a little for claims to share their swap with. */
    private boolean swapIsDue(long nowMillis) {
        boolean claims = pending.values().stream().anyMatch(PendingChange.Claiming.class::isInstance);
        boolean waited = claims || nowMillis - settlingSinceMillis >= settings.settleWaitMillis();
        return waited && nowMillis - lastSwapAtMillis >= settings.minSwapIntervalMillis();
    }

    /**
     * Sends a swap with all pending changes. Where the shard is full it may carry none and only begin a generation, or a
     * full shard would never lose a claim again.
     */
    private void swap(long nowMillis, List<ClaimAction> actions) {
        boolean beginGeneration = view.generationIsOver(nowMillis) || fault == ClaimFault.ADVANCE_WITHOUT_WAITING;
        ShardEdit edit = new ShardEdit(settings, view.shard(), beginGeneration);
        edit.applyAll(pending.values());
        for (PendingChange.Claiming claiming : edit.withoutRoom()) {
            giveUp(claiming);
            refuse(claiming, ClaimRefusal.JOURNAL_FULL, actions);
        }
        if (pending.isEmpty() && !beginGeneration) {
            return;
        }
        List<PendingChange.Claiming> sent = new ArrayList<>(edit.added());
        for (PendingChange.Claiming claiming : sent) {
            pending.put(claiming.claimId(), claiming.sentOn(view.revision()));
            if (fault == ClaimFault.GRANT_BEFORE_SWAP && !ownGranted.contains(claiming.claimId())) {
                emitGrant(nowMillis, claiming, actions);
            }
        }
        inFlightShard = edit.result();
        byte[] value = ClaimShardCodec.encode(inFlightShard);
        Invariants.check(
                value.length <= 1 << 20,
                "claim-shard-size",
                () -> "shard " + storeKey + " has " + value.length + " bytes");
        inFlight = new StoreCall.Swap(nextCallId.getAsLong(), storeKey, view.revision(), value, 0);
        lastSwapAtMillis = nowMillis;
        tally.writtenBytes += value.length;
        actions.add(new ClaimAction.Store(inFlight));
    }
}
