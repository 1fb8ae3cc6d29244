package org.apricotdeal.policy.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.duty.StateMachine;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.platform.call.StoreReply;

/**
 * Records claims of idempotency keys in the platform's key-value service before their calls are dispatched, so that a
 * call runs at most once, regardless of how often and through which nodes its caller repeats the request.
 *
 * <p>The journal of an upstream is divided into shards by a hash of caller and key. Each shard is one value that is changed
 * only by compare-and-swap, and one swap carries all claims and outcomes pending for the shard. Correctness depends only
 * on the compare-and-swap. See {@link ShardWriter} for the protocol of a shard and docs/design/claims.md for the
 * alternatives considered.
 */
public final class ClaimJournal implements StateMachine<ClaimEvent, ClaimAction> {
    private static final String KEY_PREFIX = "/apricotdeal/claims/";

    private final ClaimSettings settings;
    private final ClaimFault fault;
    private final String claimIdPrefix;
    private final UniformRandomProvider random;
    private final Map<String, ShardWriter> shards = new HashMap<>();
    private final Set<ShardWriter> activeShards = new LinkedHashSet<>();
    private final Map<RequestId, TrackedRequest> trackedRequests = new HashMap<>();
    private final MutableClaimCounters counters = new MutableClaimCounters();
    private long lastCallId;
    private long lastClaimNumber;

    /** A request that is waiting for its claim or has been granted it. */
    private record TrackedRequest(ShardWriter shard, String key, String claimId) {}

    /**
     * Creates the journal of one node.
     *
     * @param settings limits and intervals of the journal
     * @param claimIdPrefix id of this start of the node, never used before; makes its claim ids unique
     * @param random source of the random delays before retried calls
     */
    public ClaimJournal(ClaimSettings settings, String claimIdPrefix, UniformRandomProvider random) {
        this(settings, claimIdPrefix, random, ClaimFault.NONE);
    }

    /**
     * Creates a journal with an injected fault, to test the checks.
     *
     * @param settings limits and intervals of the journal
     * @param claimIdPrefix id of this start of the node
     * @param random source of the random delays before retried calls
     * @param fault fault to inject
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
                TrackedRequest tracked = trackedRequests.remove(requestId);
                if (tracked != null) {
                    addChange(
                            nowMillis,
                            tracked,
                            new PendingChange.Outcome(tracked.key, tracked.claimId, answer),
                            actions);
                }
            }
            case ClaimEvent.OutcomeUnknown(RequestId requestId) -> {
                TrackedRequest tracked = trackedRequests.remove(requestId);
                if (tracked != null) {
                    addChange(
                            nowMillis, tracked, new PendingChange.Outcome(tracked.key, tracked.claimId, null), actions);
                }
            }
            case ClaimEvent.NotRun(RequestId requestId) -> {
                TrackedRequest tracked = trackedRequests.remove(requestId);
                if (tracked != null) {
                    PendingChange removal =
                            new PendingChange.Removal(tracked.key, tracked.claimId, PendingChange.NEVER_SENT);
                    addChange(nowMillis, tracked, removal, actions);
                }
            }
            case ClaimEvent.Reply(StoreReply reply) -> reply(nowMillis, reply, actions);
            case ClaimEvent.Tick tick -> activeShards.forEach(shard -> shard.tick(nowMillis, actions));
        }
        activeShards.removeIf(ShardWriter::isIdle);
        forgetFinished(actions);
        return actions;
    }

    /**
     * Returns the current values of the journal's counters.
     *
     * @return counts since the start of the node
     */
    public ClaimCounters counters() {
        return counters.snapshot();
    }

    /**
     * Returns the key-value service key of the shard that a claim belongs to.
     *
     * @param upstream id of the upstream
     * @param claimKey caller and idempotency key, as returned by {@link #claimKey}
     * @return key of the shard in the key-value service
     */
    public String storeKey(String upstream, String claimKey) {
        long hash = Hashing.wyhashFinal4().hashCharsToLong(claimKey);
        return KEY_PREFIX + upstream + "/" + Long.remainderUnsigned(hash, settings.shards());
    }

    /**
     * Returns the key of a request's claim within its shard.
     *
     * @param request request with an idempotency key
     * @return caller and idempotency key, separated by a slash
     */
    public static String claimKey(ClaimEvent.Request request) {
        return request.caller() + "/" + request.key();
    }

    private void request(long nowMillis, ClaimEvent.Request request, List<ClaimAction> actions) {
        String key = claimKey(request);
        ShardWriter shard = shards.computeIfAbsent(storeKey(request.upstream().value(), key), this::newShard);
        String claimId = claimIdPrefix + ":" + ++lastClaimNumber;
        trackedRequests.put(request.requestId(), new TrackedRequest(shard, key, claimId));
        activeShards.add(shard);
        shard.request(
                nowMillis,
                new PendingChange.NewClaim(request, key, claimId, request.receivedAtMillis(), PendingChange.NEVER_SENT),
                actions);
    }

    private ShardWriter newShard(String storeKey) {
        return new ShardWriter(storeKey, settings, fault, random, () -> ++lastCallId, counters);
    }

    private void abandon(long nowMillis, RequestId requestId, List<ClaimAction> actions) {
        TrackedRequest tracked = trackedRequests.get(requestId);
        if (tracked != null && tracked.shard.isWaiting(tracked.claimId)) {
            trackedRequests.remove(requestId);
            tracked.shard.abandon(nowMillis, tracked.claimId, actions);
        }
    }

    private void addChange(long nowMillis, TrackedRequest tracked, PendingChange change, List<ClaimAction> actions) {
        activeShards.add(tracked.shard);
        tracked.shard.addChange(nowMillis, change, actions);
    }

    private void reply(long nowMillis, StoreReply reply, List<ClaimAction> actions) {
        for (ShardWriter shard : activeShards) {
            if (shard.isAwaiting(reply.callId())) {
                shard.reply(nowMillis, reply, actions);
                return;
            }
        }
    }

    private void forgetFinished(List<ClaimAction> actions) {
        for (ClaimAction action : actions) {
            switch (action) {
                case ClaimAction.Refused refused -> trackedRequests.remove(refused.requestId());
                case ClaimAction.Replay replay -> trackedRequests.remove(replay.requestId());
                case ClaimAction.Store store -> {}
                case ClaimAction.Granted granted -> {}
            }
        }
    }
}
