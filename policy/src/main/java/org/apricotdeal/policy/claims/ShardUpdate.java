package org.apricotdeal.policy.claims;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.kernel.misc.Invariants;

/**
 * Builds the next content of a shard from its current one: begins a new generation if requested, removes expired claims,
 * and applies the pending changes of one node.
 */
final class ShardUpdate {
    private final ClaimSettings settings;
    private final ClaimShard base;
    private final long generation;
    private final Map<String, Claim> claims;
    private final List<PendingChange.NewClaim> added = new ArrayList<>();
    private final List<PendingChange.NewClaim> rejectedForSize = new ArrayList<>();
    private int bytes;

    ShardUpdate(ClaimSettings settings, ClaimShard base, boolean beginGeneration) {
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
                case PendingChange.NewClaim newClaim -> add(newClaim);
                case PendingChange.Outcome outcome -> recordOutcome(outcome);
                case PendingChange.Removal removal -> remove(removal);
            }
        }
    }

    private void add(PendingChange.NewClaim newClaim) {
        if (claims.containsKey(newClaim.key())) {
            return;
        }
        ClaimEvent.Request request = newClaim.request();
        Claim claim = Claim.running(
                newClaim.claimId(),
                request.requestHash(),
                generation,
                settings.retainGenerations(request.retentionMillis(), request.timeoutMillis(), base.slotMillis()),
                request.timeoutMillis());
        int addedBytes = claim.estimatedBytes(newClaim.key());
        if (bytes + addedBytes > settings.maxShardBytes()) {
            rejectedForSize.add(newClaim);
            return;
        }
        bytes += addedBytes;
        claims.put(newClaim.key(), claim);
        added.add(newClaim);
    }

    private void recordOutcome(PendingChange.Outcome outcome) {
        Claim claim = claims.get(outcome.key());
        if (claim == null || !claim.claimId().equals(outcome.claimId())) {
            return;
        }
        Claim updated = outcome.answer() == null
                ? claim.withUnknownOutcome()
                : claim.withAnswer(outcome.answer(), maxStoredAnswerBytes(outcome.answer()));
        bytes += updated.estimatedBytes(outcome.key()) - claim.estimatedBytes(outcome.key());
        claims.put(outcome.key(), updated);
    }

    /** Returns 0 if the shard would be more than half full with the answer; the other half is reserved for claims. */
    private int maxStoredAnswerBytes(ClaimAnswer answer) {
        boolean hasRoom = bytes + 2 * answer.body().length < settings.maxShardBytes() / 2;
        return hasRoom ? settings.maxAnswerBytes() : 0;
    }

    private void remove(PendingChange.Removal removal) {
        Claim claim = claims.get(removal.key());
        if (claim != null && claim.claimId().equals(removal.claimId())) {
            claims.remove(removal.key());
        }
    }

    List<PendingChange.NewClaim> added() {
        return added;
    }

    List<PendingChange.NewClaim> rejectedForSize() {
        return rejectedForSize;
    }

    ClaimShard result() {
        for (PendingChange.NewClaim newClaim : added) {
            Claim earlier = base.claims().get(newClaim.key());
            Invariants.check(
                    earlier == null || earlier.expiredAt(generation),
                    "claim-not-replaced",
                    () -> "claim " + newClaim.claimId() + " would replace " + earlier);
        }
        return new ClaimShard(base.slotMillis(), generation, claims);
    }
}
