package org.apricotdeal.proofs.claims;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.platform.PlatformError;
import org.apricotdeal.platform.VersionedValue;
import org.apricotdeal.platform.call.StoreCall;
import org.apricotdeal.platform.call.StoreReply;
import org.apricotdeal.policy.claims.ClaimAction;
import org.apricotdeal.policy.claims.ClaimAnswer;
import org.apricotdeal.policy.claims.ClaimEvent;
import org.apricotdeal.policy.claims.ClaimFault;
import org.apricotdeal.policy.claims.ClaimJournal;
import org.apricotdeal.policy.claims.ClaimSettings;

/** Journals of several nodes that share one store. A test executes, delays or loses each store call. */
final class ClaimJournalFixture {
    static final long RETENTION_MILLIS = 10_000;
    static final long TIMEOUT_MILLIS = 1_000;
    static final ClaimSettings SETTINGS = new ClaimSettings(1, 2_000, 1_000, 0, 0, 10, 16, 10_000);

    private final Map<String, VersionedValue> values = new HashMap<>();
    private final Map<String, ClaimJournal> journals = new HashMap<>();
    private final List<SentCall> pendingCalls = new ArrayList<>();
    private final List<ClaimAction> decisions = new ArrayList<>();
    private long nowMillis;
    private long revision;

    /** A call that a node has sent and the store has not executed. */
    record SentCall(String node, StoreCall call) {}

    void start(String node, String bootId) {
        start(node, bootId, SETTINGS, ClaimFault.NONE);
    }

    void start(String node, String bootId, ClaimSettings settings, ClaimFault fault) {
        journals.put(
                node,
                new ClaimJournal(settings, node + "." + bootId, RandomSource.XO_RO_SHI_RO_128_PP.create(1), fault));
    }

    void advanceMillis(long millis) {
        nowMillis += millis;
    }

    void request(String node, String requestId, String key, String hash) {
        requestReceivedAt(nowMillis, node, requestId, key, hash);
    }

    void requestReceivedAt(long receivedAtMillis, String node, String requestId, String key, String hash) {
        send(
                node,
                new ClaimEvent.Request(
                        new RequestId(requestId),
                        new UpstreamId("order-desk"),
                        new CallerId("guild"),
                        key,
                        hash,
                        RETENTION_MILLIS,
                        TIMEOUT_MILLIS,
                        receivedAtMillis));
    }

    void complete(String node, String requestId, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        send(node, new ClaimEvent.Completed(new RequestId(requestId), new ClaimAnswer(200, "text/plain", bytes)));
    }

    void send(String node, ClaimEvent event) {
        for (ClaimAction action : journals.get(node).step(nowMillis, event)) {
            if (action instanceof ClaimAction.Store(StoreCall call)) {
                pendingCalls.add(new SentCall(node, call));
            } else {
                decisions.add(action);
            }
        }
    }

    /** Removes and returns the oldest pending call. */
    SentCall nextCall() {
        return pendingCalls.removeFirst();
    }

    boolean hasPendingCalls() {
        return !pendingCalls.isEmpty();
    }

    /** Executes calls and delivers their replies until none is pending. */
    void executeAllCalls() {
        while (!pendingCalls.isEmpty()) {
            SentCall sent = nextCall();
            reply(sent, execute(sent.call()));
        }
    }

    /** Sends a tick to a node, then executes calls and delivers their replies until none is pending. */
    void tickAndExecuteAllCalls(String node) {
        send(node, new ClaimEvent.Tick());
        executeAllCalls();
    }

    void reply(SentCall sent, StoreReply reply) {
        send(sent.node(), new ClaimEvent.Reply(reply));
    }

    void loseReply(SentCall sent) {
        reply(sent, new StoreReply.Failed(sent.call().callId(), new PlatformError.Unknown("no reply")));
    }

    StoreReply execute(StoreCall call) {
        return switch (call) {
            case StoreCall.Get get -> new StoreReply.Value(get.callId(), Optional.ofNullable(values.get(get.key())));
            case StoreCall.Swap swap -> swap(swap);
            default -> throw new IllegalArgumentException("unexpected " + call);
        };
    }

    private StoreReply swap(StoreCall.Swap swap) {
        VersionedValue current = values.get(swap.key());
        long currentRevision = current == null ? 0 : current.revision();
        if (currentRevision != swap.expectedRevision()) {
            return new StoreReply.Conflict(swap.callId(), Optional.ofNullable(current));
        }
        revision++;
        values.put(swap.key(), new VersionedValue(swap.key(), revision, swap.value()));
        return new StoreReply.Swapped(swap.callId(), revision);
    }

    /** Returns the decisions on a request as text; empty if there is none. */
    String decision(String requestId) {
        String found = "";
        for (ClaimAction action : decisions) {
            found = switch (action) {
                case ClaimAction.Granted granted
                when granted.requestId().value().equals(requestId) -> found + "granted";
                case ClaimAction.Refused refused
                when refused.requestId().value().equals(requestId) -> found + refused.reason();
                case ClaimAction.Replay replay
                when replay.requestId().value().equals(requestId) ->
                    found + "replay " + new String(replay.answer().body(), StandardCharsets.UTF_8);
                default -> found;
            };
        }
        return found;
    }

    long writes() {
        return revision;
    }

    boolean journalHolds(String text) {
        return values.values().stream().anyMatch(v -> new String(v.value(), StandardCharsets.UTF_8).contains(text));
    }
}
