package org.apricotdeal.policy.claims;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.kernel.misc.Invariants;

/**
 * Builds the next content of a shard from its last one: drops claims whose time is over, begins a new generation where
 * that is due, and applies one node's pending changes.
 */
final class ShardEdit {
    private final ClaimSettings settings;
    private final ClaimShard base;
    private final long generation;
    private final Map<String, Claim> claims;
    private final List<PendingChange.Claiming> added = new ArrayList<>();
    private final List<PendingChange.Claiming> withoutRoom = new ArrayList<>();
    private int bytes;

    ShardEdit(ClaimSettings settings, ClaimShard base, boolean beginGeneration) {
        this.settings = settings;
        this.base = base;
        this.generation = base.generation() + (beginGeneration ? 1 : 0);
        this.claims = new TreeMap<>(base.claims());
        dropExpired();
        this.bytes = new ClaimShard(base.slotMillis(), generation, claims).estimatedBytes();
    }

    private void dropExpired() {
        claims.values().removeIf(claim -> claim.expiredAt(generation));
    }

    void applyAll(Collection<PendingChange> changes) {
        for (PendingChange change : changes) {
            switch (change) {
                case PendingChange.Claiming claiming -> add(claiming);
                case PendingChange.Settling settling -> settle(settling);
                case PendingChange.Releasing releasing -> remove(releasing);
            }
        }
    }

    private void add(PendingChange.Claiming claiming) {
        if (claims.containsKey(claiming.key())) {
            return;
        }
        ClaimEvent.Request request = claiming.request();
        Claim claim = Claim.running(
                claiming.claimId(),
                request.requestHash(),
                generation,
                settings.retainGenerations(request.retentionMillis(), request.timeoutMillis(), base.slotMillis()),
                request.timeoutMillis());
        int addedBytes = claim.estimatedBytes(claiming.key());
        if (bytes + addedBytes > settings.maxShardBytes()) {
            withoutRoom.add(claiming);
            return;
        }
        bytes += addedBytes;
        claims.put(claiming.key(), claim);
        added.add(claiming);
    }

    private void settle(PendingChange.Settling settling) {
        Claim claim = claims.get(settling.key());
        if (claim == null || !claim.claimId().equals(settling.claimId())) {
            return;
        }
        Claim settled = settling.answer() == null
                ? claim.unknown()
                : claim.answered(settling.answer(), answerRoomBytes(settling.answer()));
        bytes += settled.estimatedBytes(settling.key()) - claim.estimatedBytes(settling.key());
        claims.put(settling.key(), settled);
    }

    /** Keeps half of the shard free of answers, for claims matter more. */
    private int answerRoomBytes(ClaimAnswer answer) {
        boolean hasRoom = bytes + 2 * answer.body().length < settings.maxShardBytes() / 2;
        return hasRoom ? settings.maxAnswerBytes() : 0;
    }

    private void remove(PendingChange.Releasing releasing) {
        Claim claim = claims.get(releasing.key());
        if (claim != null && claim.claimId().equals(releasing.claimId())) {
            claims.remove(releasing.key());
        }
    }

    List<PendingChange.Claiming> added() {
        return added;
    }

    List<PendingChange.Claiming> withoutRoom() {
        return withoutRoom;
    }

    ClaimShard result() {
        for (PendingChange.Claiming claiming : added) {
            Claim earlier = base.claims().get(claiming.key());
            Invariants.check(
                    earlier == null || earlier.expiredAt(generation),
                    "claim-not-replaced",
                    () -> "claim " + claiming.claimId() + " would replace " + earlier);
        }
        return new ClaimShard(base.slotMillis(), generation, claims);
    }
}
