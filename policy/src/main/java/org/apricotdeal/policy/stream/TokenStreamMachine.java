package org.apricotdeal.policy.stream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.kernel.duty.StateMachine;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.policy.call.RetryPermit;

/**
 * State machine of one token stream, which may be served by several replicas in succession.
 *
 * <p>Each opening of the stream is a numbered attempt; events of all but the current attempt are ignored. Only the
 * delivered tokens are kept across attempts, and a new attempt resumes after them. A token is delivered if its offset is
 * the next one, dropped if its offset is lower, and buffered if its offset is higher.
 *
 * <p>Stalls are detected here and not by TCP. If no token arrives within the progress timeout, the replica is probed on a
 * new connection. If the replica serves, the old connection is assumed lost, and the stream may resume on this replica
 * once. A replica that does not answer the probe or stalls a second time is excluded, and the stream resumes on another
 * one. A token that is delivered during a probe ends the probe.
 */
public final class TokenStreamMachine implements StateMachine<StreamEvent, StreamAction> {
    private final StreamPolicy policy;
    private final RetryPermit retryBudget;
    private final StreamFault fault;
    private final List<String> delivered = new ArrayList<>();
    private final Map<Integer, String> bufferedTokens = new TreeMap<>();
    private final Map<ReplicaId, Long> excludedUntilMillis = new TreeMap<>();
    private final Set<ReplicaId> stalledReplicas = new HashSet<>();
    private Phase phase = Phase.NEW;
    private ReplicaId replica;
    private int attempt;
    private int countedAttempts;
    private boolean countNextAttempt = true;
    private boolean attemptHasToken;
    private long lastProgressMillis;
    private StreamEvent.Finished pendingFinish;

    /** State of the stream. */
    private enum Phase {
        NEW,
        CHOOSING,
        STREAMING,
        PROBING,
        PAUSED,
        ENDED
    }

    /**
     * Creates the state machine of one stream.
     *
     * @param policy timeouts and limits
     * @param retryBudget retry budget of the node
     */
    public TokenStreamMachine(StreamPolicy policy, RetryPermit retryBudget) {
        this(policy, retryBudget, StreamFault.NONE);
    }

    /**
     * Creates a state machine with an injected fault, to test the checks.
     *
     * @param policy timeouts and limits
     * @param retryBudget retry budget of the node
     * @param fault fault to inject
     */
    public TokenStreamMachine(StreamPolicy policy, RetryPermit retryBudget, StreamFault fault) {
        this.policy = policy;
        this.retryBudget = retryBudget;
        this.fault = fault;
    }

    @Override
    public List<StreamAction> step(long nowMillis, StreamEvent event) {
        List<StreamAction> actions = new ArrayList<>();
        if (phase == Phase.ENDED) {
            return actions;
        }
        switch (event) {
            case StreamEvent.Start start -> choose(nowMillis, actions);
            case StreamEvent.ReplicaChosen(ReplicaId chosen) -> open(nowMillis, chosen, actions);
            case StreamEvent.NoReplica none -> noReplica(actions);
            case StreamEvent.Token token -> token(nowMillis, token, actions);
            case StreamEvent.Finished finished -> finished(finished, actions);
            case StreamEvent.Failed(int attemptNumber, StreamFailure failure) -> {
                if (isCurrent(attemptNumber)) {
                    attemptFailed(nowMillis, failure, actions);
                }
            }
            case StreamEvent.Probed(int attemptNumber, boolean serves) -> {
                if (attemptNumber == attempt && phase == Phase.PROBING) {
                    abandonStalledAttempt(nowMillis, serves, actions);
                }
            }
            case StreamEvent.ReplicaLost(ReplicaId lost) -> replicaLost(nowMillis, lost, actions);
            case StreamEvent.Preempt preempt -> preempt(actions);
            case StreamEvent.Resume resume -> resume(nowMillis, actions);
            case StreamEvent.Cancelled cancelled -> fail(StreamEnd.CANCELLED, actions);
            case StreamEvent.Tick tick -> tick(nowMillis, actions);
        }
        return actions;
    }

    /**
     * Returns the number of tokens delivered so far.
     *
     * @return number of tokens over all attempts
     */
    public int deliveredTokens() {
        return delivered.size();
    }

    /**
     * Returns whether the stream has ended.
     *
     * @return true if the stream has finished or failed
     */
    public boolean isEnded() {
        return phase == Phase.ENDED;
    }

    /**
     * Returns the replica of the current attempt.
     *
     * @return the replica, or null if no attempt is open
     */
    public ReplicaId replica() {
        return attemptIsOpen() ? replica : null;
    }

    private boolean attemptIsOpen() {
        return phase == Phase.STREAMING || phase == Phase.PROBING;
    }

    private boolean isCurrent(int attemptNumber) {
        return attemptIsOpen() && attemptNumber == attempt;
    }

    private void choose(long nowMillis, List<StreamAction> actions) {
        phase = Phase.CHOOSING;
        excludedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        Set<ReplicaId> excluded = Set.copyOf(excludedUntilMillis.keySet());
        boolean preferCurrent = replica != null && !excluded.contains(replica);
        actions.add(new StreamAction.ChooseReplica(preferCurrent ? replica : null, excluded));
    }

    private void exclude(long nowMillis, ReplicaId failed) {
        excludedUntilMillis.put(failed, nowMillis + policy.excludeMillis());
        stalledReplicas.remove(failed);
    }

    private void open(long nowMillis, ReplicaId chosen, List<StreamAction> actions) {
        if (phase != Phase.CHOOSING) {
            return;
        }
        replica = chosen;
        attempt++;
        if (countNextAttempt) {
            countedAttempts++;
        }
        countNextAttempt = true;
        phase = Phase.STREAMING;
        attemptHasToken = false;
        lastProgressMillis = nowMillis;
        bufferedTokens.clear();
        pendingFinish = null;
        List<String> generated = new ArrayList<>(delivered);
        if (fault == StreamFault.SKIP_ON_RESUME && !generated.isEmpty()) {
            generated.add("");
        }
        actions.add(new StreamAction.Open(attempt, chosen, generated));
    }

    private void noReplica(List<StreamAction> actions) {
        if (phase == Phase.CHOOSING) {
            fail(StreamEnd.NO_REPLICA, actions);
        }
    }

    private void token(long nowMillis, StreamEvent.Token token, List<StreamAction> actions) {
        if (!isCurrent(token.attempt()) && fault != StreamFault.TAKE_LATE_TOKENS) {
            return;
        }
        if (token.offset() < delivered.size()) {
            if (fault == StreamFault.TAKE_LATE_TOKENS && token.attempt() != attempt) {
                actions.add(new StreamAction.Deliver(token.offset(), token.text()));
            }
            return;
        }
        bufferedTokens.put(token.offset(), token.text());
        deliverNext(nowMillis, actions);
        if (bufferedTokens.size() > policy.maxBufferedTokens()) {
            restart(nowMillis, actions);
            return;
        }
        finishIfComplete(actions);
    }

    private void deliverNext(long nowMillis, List<StreamAction> actions) {
        String text = bufferedTokens.remove(delivered.size());
        while (text != null || (fault == StreamFault.SKIP_ON_RESUME && !bufferedTokens.isEmpty())) {
            int offset = delivered.size();
            if (text == null) {
                offset = bufferedTokens.keySet().iterator().next();
                text = bufferedTokens.remove(offset);
            }
            deliver(offset, text, actions);
            phase = Phase.STREAMING;
            attemptHasToken = true;
            lastProgressMillis = nowMillis;
            text = bufferedTokens.remove(delivered.size());
        }
    }

    private void deliver(int offset, String text, List<StreamAction> actions) {
        int expected = delivered.size();
        Invariants.check(
                offset == expected,
                "stream-contiguous",
                () -> "token " + offset + " would be delivered, but token " + expected + " is next");
        delivered.add(text);
        actions.add(new StreamAction.Deliver(offset, text));
    }

    private void finished(StreamEvent.Finished finished, List<StreamAction> actions) {
        if (!isCurrent(finished.attempt())) {
            return;
        }
        pendingFinish = finished;
        finishIfComplete(actions);
    }

    private void finishIfComplete(List<StreamAction> actions) {
        if (pendingFinish == null) {
            return;
        }
        if (pendingFinish.tokenCount() > delivered.size() && fault != StreamFault.FINISH_EARLY) {
            return;
        }
        phase = Phase.ENDED;
        actions.add(new StreamAction.Finish(pendingFinish.reason(), delivered.size()));
    }

    private void attemptFailed(long nowMillis, StreamFailure failure, List<StreamAction> actions) {
        boolean retrySameReplica = failure instanceof StreamFailure.Broken && stalledReplicas.add(replica);
        if (!retrySameReplica) {
            exclude(nowMillis, replica);
        }
        abandonAttempt(false, actions);
        retry(nowMillis, actions);
    }

    private void replicaLost(long nowMillis, ReplicaId lost, List<StreamAction> actions) {
        if (!attemptIsOpen() || !lost.equals(replica)) {
            return;
        }
        exclude(nowMillis, lost);
        abandonAttempt(true, actions);
        retry(nowMillis, actions);
    }

    private void abandonStalledAttempt(long nowMillis, boolean serves, List<StreamAction> actions) {
        boolean isFirstStall = stalledReplicas.add(replica);
        if (!serves || !isFirstStall) {
            exclude(nowMillis, replica);
        }
        restart(nowMillis, actions);
    }

    private void restart(long nowMillis, List<StreamAction> actions) {
        abandonAttempt(true, actions);
        retry(nowMillis, actions);
    }

    private void abandonAttempt(boolean cancel, List<StreamAction> actions) {
        phase = Phase.CHOOSING;
        bufferedTokens.clear();
        pendingFinish = null;
        if (cancel) {
            actions.add(new StreamAction.CancelAttempt(attempt));
        }
    }

    private void retry(long nowMillis, List<StreamAction> actions) {
        if (countedAttempts >= policy.maxAttempts() || !retryBudget.tryRetry(nowMillis)) {
            fail(StreamEnd.ATTEMPTS_USED_UP, actions);
            return;
        }
        choose(nowMillis, actions);
    }

    private void preempt(List<StreamAction> actions) {
        if (phase == Phase.PAUSED || phase == Phase.NEW) {
            return;
        }
        if (attemptIsOpen()) {
            abandonAttempt(true, actions);
        }
        phase = Phase.PAUSED;
        countNextAttempt = false;
        actions.add(new StreamAction.Paused(delivered.size()));
    }

    private void resume(long nowMillis, List<StreamAction> actions) {
        if (phase == Phase.PAUSED) {
            choose(nowMillis, actions);
        }
    }

    private void tick(long nowMillis, List<StreamAction> actions) {
        if (nowMillis >= policy.deadlineMillis()) {
            fail(StreamEnd.DEADLINE, actions);
            return;
        }
        long silenceMillis = nowMillis - lastProgressMillis;
        long allowedMillis = attemptHasToken ? policy.progressMillis() : policy.firstTokenMillis();
        if (phase == Phase.STREAMING && silenceMillis >= allowedMillis) {
            phase = Phase.PROBING;
            lastProgressMillis = nowMillis;
            actions.add(new StreamAction.Probe(attempt, replica));
            return;
        }
        if (phase == Phase.PROBING && silenceMillis >= policy.probeMillis()) {
            abandonStalledAttempt(nowMillis, false, actions);
        }
    }

    private void fail(StreamEnd reason, List<StreamAction> actions) {
        if (attemptIsOpen()) {
            actions.add(new StreamAction.CancelAttempt(attempt));
        }
        phase = Phase.ENDED;
        actions.add(new StreamAction.Fail(attempt == 0 ? StreamEnd.NOT_RUN : reason, delivered.size()));
    }
}
