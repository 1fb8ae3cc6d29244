package org.apricotdeal.policy.stream;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.engine.StreamFailure;
import org.apricotdeal.kernel.duty.Machine;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.policy.call.RetryPermit;

/**
 * Decides one token stream over the replicas that serve it in turn.
 *
 * <p>Each opening of the stream is an attempt with a number; only the current attempt's events count. The delivered
 * tokens are the state that survives attempts: a new attempt resumes after them, so a token is delivered when its offset
 * is the next one, dropped when it is lower, and held back when it is higher.
 *
 * <p>Silence is decided here and never by TCP. After the progress deadline the replica is probed on a new connection. A
 * replica that serves had its connection lost: the stream resumes on it, once; a replica that does not answer, or falls
 * silent twice, is left for another one. Tokens that arrive during a probe end it.
 */
public final class TokenStreamMachine implements Machine<StreamEvent, StreamAction> {
    private final StreamPolicy policy;
    private final RetryPermit retries;
    private final StreamFault fault;
    private final List<String> delivered = new ArrayList<>();
    private final Map<Integer, String> early = new TreeMap<>();
    private final Map<ReplicaId, Long> excludedUntilMillis = new TreeMap<>();
    private final Set<ReplicaId> silent = new HashSet<>();
    private Phase phase = Phase.NEW;
    private ReplicaId replica;
    private int attempt;
    private int countedAttempts;
    private boolean mayCount = true;
    private boolean anyTokenOfAttempt;
    private long progressAtMillis;
    private StreamEvent.Finished pendingFinish;

    /** Where the stream stands. */
    private enum Phase {
        NEW,
        CHOOSING,
        STREAMING,
        PROBING,
        PAUSED,
        ENDED
    }

    /**
     * Creates the machine of one stream.
     *
     * @param policy deadlines and bounds
     * @param retries the node's retry budget
     */
    public TokenStreamMachine(StreamPolicy policy, RetryPermit retries) {
        this(policy, retries, StreamFault.NONE);
    }

    /**
     * Creates a machine with a deliberate fault, for tests of the checks.
     *
     * @param policy deadlines and bounds
     * @param retries the node's retry budget
     * @param fault the fault
     */
    public TokenStreamMachine(StreamPolicy policy, RetryPermit retries, StreamFault fault) {
        this.policy = policy;
        this.retries = retries;
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
            case StreamEvent.Failed(int number, StreamFailure failure) -> {
                if (isCurrent(number)) {
                    attemptFailed(nowMillis, failure, actions);
                }
            }
            case StreamEvent.Probed(int number, boolean serves) -> {
                if (number == attempt && phase == Phase.PROBING) {
                    leaveSilentAttempt(nowMillis, serves, actions);
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
     * Returns how many tokens have been delivered.
     *
     * @return number of tokens
     */
    public int deliveredTokens() {
        return delivered.size();
    }

    /**
     * Tells whether the stream is over.
     *
     * @return true once it has finished or failed
     */
    public boolean isEnded() {
        return phase == Phase.ENDED;
    }

    /**
     * Returns the replica that serves the stream now.
     *
     * @return the replica, or null while there is none
     */
    public ReplicaId replica() {
        return attemptIsOpen() ? replica : null;
    }

    private boolean attemptIsOpen() {
        return phase == Phase.STREAMING || phase == Phase.PROBING;
    }

    private boolean isCurrent(int number) {
        return attemptIsOpen() && number == attempt;
    }

    private void choose(long nowMillis, List<StreamAction> actions) {
        phase = Phase.CHOOSING;
        excludedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        Set<ReplicaId> excluded = Set.copyOf(excludedUntilMillis.keySet());
        boolean mayStay = replica != null && !excluded.contains(replica);
        actions.add(new StreamAction.ChooseReplica(mayStay ? replica : null, excluded));
    }

    private void exclude(long nowMillis, ReplicaId failed) {
        excludedUntilMillis.put(failed, nowMillis + policy.excludeMillis());
        silent.remove(failed);
    }

    private void open(long nowMillis, ReplicaId chosen, List<StreamAction> actions) {
        if (phase != Phase.CHOOSING) {
            return;
        }
        replica = chosen;
        attempt++;
        if (mayCount) {
            countedAttempts++;
        }
        mayCount = true;
        phase = Phase.STREAMING;
        anyTokenOfAttempt = false;
        progressAtMillis = nowMillis;
        early.clear();
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
        early.put(token.offset(), token.text());
        deliverNext(nowMillis, actions);
        if (early.size() > policy.maxEarlyTokens()) {
            restart(nowMillis, actions);
            return;
        }
        finishIfWhole(actions);
    }

    private void deliverNext(long nowMillis, List<StreamAction> actions) {
        String text = early.remove(delivered.size());
        while (text != null || (fault == StreamFault.SKIP_ON_RESUME && !early.isEmpty())) {
            int offset = delivered.size();
            if (text == null) {
                offset = early.keySet().iterator().next();
                text = early.remove(offset);
            }
            deliver(offset, text, actions);
            phase = Phase.STREAMING;
            anyTokenOfAttempt = true;
            progressAtMillis = nowMillis;
            text = early.remove(delivered.size());
        }
    }

    private void deliver(int offset, String text, List<StreamAction> actions) {
        int expected = delivered.size();
        Invariants.check(
                offset == expected,
                "stream-contiguous",
                () -> "token " + offset + " is delivered where " + expected + " is due");
        delivered.add(text);
        actions.add(new StreamAction.Deliver(offset, text));
    }

    private void finished(StreamEvent.Finished finished, List<StreamAction> actions) {
        if (!isCurrent(finished.attempt())) {
            return;
        }
        pendingFinish = finished;
        finishIfWhole(actions);
    }

    private void finishIfWhole(List<StreamAction> actions) {
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
        boolean onlyConnectionLost = failure instanceof StreamFailure.Broken && silent.add(replica);
        if (!onlyConnectionLost) {
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

    private void leaveSilentAttempt(long nowMillis, boolean serves, List<StreamAction> actions) {
        boolean firstSilence = silent.add(replica);
        if (!serves || !firstSilence) {
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
        early.clear();
        pendingFinish = null;
        if (cancel) {
            actions.add(new StreamAction.CancelAttempt(attempt));
        }
    }

    private void retry(long nowMillis, List<StreamAction> actions) {
        if (countedAttempts >= policy.maxAttempts() || !retries.tryRetry(nowMillis)) {
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
        mayCount = false;
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
        long silenceMillis = nowMillis - progressAtMillis;
        long allowedMillis = anyTokenOfAttempt ? policy.progressMillis() : policy.firstTokenMillis();
        if (phase == Phase.STREAMING && silenceMillis >= allowedMillis) {
            phase = Phase.PROBING;
            progressAtMillis = nowMillis;
            actions.add(new StreamAction.Probe(attempt, replica));
            return;
        }
        if (phase == Phase.PROBING && silenceMillis >= policy.probeMillis()) {
            leaveSilentAttempt(nowMillis, false, actions);
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
