package org.apricotdeal.policy.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.duty.Machine;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.platform.call.StoreReply;

/**
 * Records claims of idempotency keys in the platform's key-value service before their calls are dispatched, so that a
 * booking runs at most once however often, and through whichever nodes, its caller repeats it.
 *
 * <p>The journal of an upstream is cut into shards by a hash of caller and key; each shard is one value, changed only by
 * compare-and-swap, and one swap carries all claims and outcomes that have gathered for it. Safety rests on the swap
 * alone. See {@link ShardWriter} for a shard's course and docs/design/claims.md for what was weighed.
 */
public final class ClaimJournal implements Machine<ClaimEvent, ClaimAction> {
    private static final String KEY_PREFIX = "/apricotdeal/claims/";

    private final ClaimSettings settings;
    private final ClaimFault fault;
    private final String claimIdPrefix;
    private final UniformRandomProvider random;
    private final Map<String, ShardWriter> shards = new HashMap<>();
    private final Set<ShardWriter> active = new LinkedHashSet<>();
    private final Map<RequestId, Held> held = new HashMap<>();
    private final ClaimTally tally = new ClaimTally();
    private long lastCallId;
    private long lastClaim;

    /** A request that waits for its claim or has been granted it. */
    private record Held(ShardWriter shard, String key, String claimId) {}

    /**
     * Creates the journal of one node.
     *
     * @param settings settings
     * @param claimIdPrefix name of this start of this node, never used before; makes its claim ids unique
     * @param random seeded source for the spread of repeated calls
     */
    public ClaimJournal(ClaimSettings settings, String claimIdPrefix, UniformRandomProvider random) {
        this(settings, claimIdPrefix, random, ClaimFault.NONE);
    }

    /**
     * Creates a journal with a deliberate fault, for tests of the checks.
     *
     * @param settings settings
     * @param claimIdPrefix name of this start of this node
     * @param random seeded source
     * @param fault the fault
     */
    public ClaimJournal(ClaimSettings settings, String claimIdPrefix, UniformRandomProvider random, ClaimFault fault) {
        this.settings = settings;
        this.claimIdPrefix = claimIdPrefix;
        this.random = random;
        this.fault = fault;
    }

    @Override
    public List<ClaimAction> step(long nowMillis, ClaimEvent event) {
        List<ClaimAction> actions = new ArrayList<>();
        switch (event) {
            case ClaimEvent.Request request -> request(nowMillis, request, actions);
            case ClaimEvent.Abandoned(RequestId requestId) -> abandon(nowMillis, requestId, actions);
            case ClaimEvent.Completed(RequestId requestId, ClaimAnswer answer) -> {
                Held claim = held.remove(requestId);
                if (claim != null) {
                    settle(nowMillis, claim, new PendingChange.Settling(claim.key, claim.claimId, answer), actions);
                }
            }
            case ClaimEvent.OutcomeUnknown(RequestId requestId) -> {
                Held claim = held.remove(requestId);
                if (claim != null) {
                    settle(nowMillis, claim, new PendingChange.Settling(claim.key, claim.claimId, null), actions);
                }
            }
            case ClaimEvent.NotRun(RequestId requestId) -> {
                Held claim = held.remove(requestId);
                if (claim != null) {
                    PendingChange release =
                            new PendingChange.Releasing(claim.key, claim.claimId, PendingChange.NEVER_SENT);
                    settle(nowMillis, claim, release, actions);
                }
            }
            case ClaimEvent.Reply(StoreReply reply) -> reply(nowMillis, reply, actions);
            case ClaimEvent.Tick tick -> active.forEach(shard -> shard.tick(nowMillis, actions));
        }
        active.removeIf(ShardWriter::isIdle);
        forgetRefused(actions);
        return actions;
    }

    /**
     * Returns what the journal has done so far.
     *
     * @return the counters
     */
    public ClaimCounters counters() {
        return tally.snapshot();
    }

    /**
     * Returns the shard of a key.
     *
     * @param upstream name of the upstream
     * @param claimKey caller and idempotency key, as returned by {@link #claimKey}
     * @return the shard's key in the key-value service
     */
    public String storeKey(String upstream, String claimKey) {
        long hash = Hashing.wyhashFinal4().hashCharsToLong(claimKey);
        return KEY_PREFIX + upstream + "/" + Long.remainderUnsigned(hash, settings.shards());
    }

    /**
     * Returns the name under which a request's claim is kept.
     *
     * @param request the request
     * @return caller and idempotency key
     */
    public static String claimKey(ClaimEvent.Request request) {
        return request.caller() + "/" + request.key();
    }

    private void request(long nowMillis, ClaimEvent.Request request, List<ClaimAction> actions) {
        String key = claimKey(request);
        ShardWriter shard = shards.computeIfAbsent(storeKey(request.upstream().value(), key), this::newShard);
        String claimId = claimIdPrefix + ":" + ++lastClaim;
        held.put(request.requestId(), new Held(shard, key, claimId));
        active.add(shard);
        shard.request(
                nowMillis,
                new PendingChange.Claiming(request, key, claimId, request.receivedAtMillis(), PendingChange.NEVER_SENT),
                actions);
    }

    private ShardWriter newShard(String storeKey) {
        return new ShardWriter(storeKey, settings, fault, random, () -> ++lastCallId, tally);
    }

    private void abandon(long nowMillis, RequestId requestId, List<ClaimAction> actions) {
        Held claim = held.get(requestId);
        if (claim != null && claim.shard.isWaiting(claim.claimId)) {
            held.remove(requestId);
            claim.shard.abandon(nowMillis, claim.claimId, actions);
        }
    }

    private void settle(long nowMillis, Held claim, PendingChange change, List<ClaimAction> actions) {
        active.add(claim.shard);
        claim.shard.settle(nowMillis, change, actions);
    }

    private void reply(long nowMillis, StoreReply reply, List<ClaimAction> actions) {
        for (ShardWriter shard : active) {
            if (shard.awaits(reply.callId())) {
                shard.reply(nowMillis, reply, actions);
                return;
            }
        }
    }

    private void forgetRefused(List<ClaimAction> actions) {
        for (ClaimAction action : actions) {
            switch (action) {
                case ClaimAction.Refused refused -> held.remove(refused.requestId());
                case ClaimAction.Replay replay -> held.remove(replay.requestId());
                case ClaimAction.Store store -> {}
                case ClaimAction.Granted granted -> {}
            }
        }
    }
}
