package org.apricotdeal.lab.soak;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.policy.call.RetryPermit;
import org.apricotdeal.policy.stream.StreamAction;
import org.apricotdeal.policy.stream.StreamEnd;
import org.apricotdeal.policy.stream.StreamEvent;
import org.apricotdeal.policy.stream.StreamFault;
import org.apricotdeal.policy.stream.StreamPolicy;
import org.apricotdeal.policy.stream.TokenStreamMachine;

/** One caller's stream at its node: the machine, its attempts, and what the caller has received. */
final class StreamSession {
    private static final long DEADLINE_MILLIS = 20_000;
    private static final long LONGEST_WAIT_MILLIS = 3_000;

    private final String name;
    private final Scheduler scheduler;
    private final List<StreamEngine> engines;
    private final Trace trace;
    private final TokenStreamMachine machine;
    private final int tokens;
    private final Map<Integer, StreamEngine> attempts = new HashMap<>();
    private int received;
    private String lastText = "";
    private boolean ended;
    private boolean finished;

    StreamSession(
            String name, int tokens, Scheduler scheduler, List<StreamEngine> engines, Trace trace, StreamFault fault) {
        this.name = name;
        this.tokens = tokens;
        this.scheduler = scheduler;
        this.engines = engines;
        this.trace = trace;
        StreamPolicy policy =
                new StreamPolicy(400, 200, 100, scheduler.monotonicMillis() + DEADLINE_MILLIS, 20, 1_000, 16);
        this.machine = new TokenStreamMachine(policy, RetryPermit.UNLIMITED, fault);
    }

    String name() {
        return name;
    }

    boolean isEnded() {
        return ended;
    }

    boolean isFinished() {
        return finished;
    }

    int attempts() {
        return attempts.size();
    }

    int received() {
        return received;
    }

    void start() {
        tell(new StreamEvent.Start());
        tickLater();
    }

    private void tickLater() {
        scheduler.after(25, () -> {
            if (!ended) {
                tell(new StreamEvent.Tick());
                tickLater();
            }
        });
    }

    void replicaLost(StreamEngine engine) {
        tell(new StreamEvent.ReplicaLost(new ReplicaId(engine.name())));
    }

    void preempt(long forMillis) {
        tell(new StreamEvent.Preempt());
        scheduler.after(forMillis, () -> tell(new StreamEvent.Resume()));
    }

    void tell(StreamEvent event) {
        for (StreamAction action : machine.step(scheduler.monotonicMillis(), event)) {
            trace.add(name, "after " + event + ": " + action);
            carryOut(action);
        }
    }

    private void carryOut(StreamAction action) {
        switch (action) {
            case StreamAction.ChooseReplica(ReplicaId preferred, Set<ReplicaId> excluded) ->
                scheduler.after(
                        1 + scheduler.random().nextLong(20),
                        () -> choose(preferred, excluded, scheduler.monotonicMillis() + LONGEST_WAIT_MILLIS));
            case StreamAction.Open(int attempt, ReplicaId replica, List<String> generated) -> {
                StreamEngine engine = engine(replica);
                attempts.put(attempt, engine);
                engine.open(new StreamEngine.Attempt(this, attempt, tokens), generated);
            }
            case StreamAction.CancelAttempt(int attempt) ->
                attempts.get(attempt).cancel(new StreamEngine.Attempt(this, attempt, tokens));
            case StreamAction.Probe(int attempt, ReplicaId replica) ->
                engine(replica).probe(this, attempt);
            case StreamAction.Deliver(int offset, String text) -> receive(offset, text);
            case StreamAction.Paused(int delivered) -> checkCount(delivered);
            case StreamAction.Finish(String reason, int delivered) -> {
                checkCount(delivered);
                end(true);
                Invariants.check(
                        received == tokens,
                        "answer-whole",
                        () -> name + " finished after " + received + " of " + tokens + " tokens");
            }
            case StreamAction.Fail(StreamEnd reason, int delivered) -> {
                checkCount(delivered);
                end(false);
            }
        }
    }

    private void choose(ReplicaId preferred, Set<ReplicaId> excluded, long untilMillis) {
        List<StreamEngine> left = engines.stream()
                .filter(engine -> engine.isWhole() && !excluded.contains(new ReplicaId(engine.name())))
                .toList();
        if (left.isEmpty() && scheduler.monotonicMillis() < untilMillis) {
            scheduler.after(50, () -> choose(preferred, excluded, untilMillis));
            return;
        }
        if (left.isEmpty()) {
            tell(new StreamEvent.NoReplica());
            return;
        }
        StreamEngine chosen = left.get(scheduler.random().nextInt(left.size()));
        boolean stays =
                preferred != null && left.stream().anyMatch(e -> e.name().equals(preferred.value()));
        tell(new StreamEvent.ReplicaChosen(stays ? preferred : new ReplicaId(chosen.name())));
    }

    private StreamEngine engine(ReplicaId replica) {
        return engines.stream()
                .filter(engine -> engine.name().equals(replica.value()))
                .findFirst()
                .orElseThrow();
    }

    /** Checks as the caller would: offsets without gap, and each token generated after the one before it. */
    private void receive(int offset, String text) {
        int due = received;
        Invariants.check(
                offset == due, "answer-whole", () -> name + " received token " + offset + " where " + due + " was due");
        String expected = StreamEngine.tokenText(name, offset, lastText);
        Invariants.check(
                text.startsWith(expected),
                "answer-belongs",
                () -> name + " received " + text + " where " + expected + " was due");
        received++;
        lastText = text;
    }

    private void checkCount(int delivered) {
        Invariants.check(
                delivered == received,
                "answer-whole",
                () -> name + " is told of " + delivered + " tokens but received " + received);
    }

    private void end(boolean whole) {
        Invariants.check(!ended, "answered-once", () -> name + " ended twice");
        ended = true;
        finished = whole;
    }
}
