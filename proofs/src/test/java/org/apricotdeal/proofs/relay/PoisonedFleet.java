package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiPredicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.poison.CrashNews;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.AttemptId;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.FleetNode;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayDispatcher;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.RetryBudget;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;

/**
 * Simulates the dispatchers of a fleet on a virtual clock, with targets that crash when they begin to answer a request with
 * a deadly part, and are back some seconds later.
 */
final class PoisonedFleet {
    static final long CONTACT_MILLIS = 3_000;

    private static final int SLOTS = 10;
    private static final long BEGIN_MILLIS = 200;
    private static final long ANSWER_MILLIS = 900;
    private static final long RESTART_MILLIS = 3_000;
    private static final long CRASH_SEEN_MILLIS = 100;
    private static final long TICK_MILLIS = 25;
    private static final long HEARTBEAT_MILLIS = 200;
    private static final int CRASHES_TO_LEARN = 5;

    private final UniformRandomProvider random;
    private final long seed;
    private final List<FleetNode> fleet = new ArrayList<>();
    private final BiPredicate<List<PromptPartId>, String> deadly;
    private final List<RelayDispatcher> nodes = new ArrayList<>();
    private final List<Replica> replicas = new ArrayList<>();
    private final Map<ExchangeId, Call> calls = new HashMap<>();
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMillis).thenComparingLong(Step::sequence));
    private final Set<Integer> cutOff = new HashSet<>();
    private final List<Long> crashMillis = new ArrayList<>();
    private long nowMillis = 1_000;
    private long lastId;
    private long lastStep;
    private int lateDeadlySends;

    /** A scheduled action. */
    private record Step(long atMillis, long sequence, Runnable action) {}

    /** A replica that may be down; its target id changes with each restart. */
    private static final class Replica {
        private final VmId vm;
        private final Map<AttemptId, Call> running = new HashMap<>();
        private long epoch = 1;
        private String release = "v1";
        private boolean up = true;

        Replica(VmId vm) {
            this.vm = vm;
        }

        Target target() {
            return new Target(
                    new TargetId(vm, epoch),
                    RelayFixture.QUEUE,
                    vm + ":80",
                    release,
                    RelayFixture.HOME,
                    SLOTS,
                    List.of(vm),
                    OptionalLong.empty());
        }
    }

    /** A request and what has become of it. */
    static final class Call {
        final Arrival arrival;
        final int node;
        AttemptId current;
        int sends;
        long begunMillis = -1;
        boolean refused;
        boolean failed;

        Call(Arrival arrival, int node) {
            this.arrival = arrival;
            this.node = node;
        }
    }

    /**
     * Creates a fleet whose nodes and replicas know each other.
     *
     * @param nodeCount number of nodes
     * @param replicaCount number of replicas
     * @param seed seed of the nodes that requests arrive at and of the dispatchers
     * @param deadly whether a request with the given parts crashes a target of the given release
     */
    PoisonedFleet(int nodeCount, int replicaCount, long seed, BiPredicate<List<PromptPartId>, String> deadly) {
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
        this.deadly = deadly;
        for (int i = 0; i < replicaCount; i++) {
            replicas.add(new Replica(new VmId("v" + i)));
        }
        this.seed = seed;
        for (int i = 0; i < nodeCount; i++) {
            fleet.add(new FleetNode("n" + i, RelayFixture.HOME));
        }
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(newNode(i));
        }
        for (int i = 0; i < nodeCount; i++) {
            step(i, new RelayEvent.NodesChanged(fleet));
        }
        announceTargets();
    }

    private RelayDispatcher newNode(int index) {
        return new RelayDispatcher(
                fleet.get(index),
                new RetryBudget(10_000, 0.2, 100, 1),
                RandomSource.SPLIT_MIX_64.create(seed * fleet.size() + index));
    }

    /** Returns the times of the crashes so far. */
    List<Long> crashMillis() {
        return List.copyOf(crashMillis);
    }

    /** Returns the number of deadly requests that reached a target later than allowed after the fifth crash. */
    int lateDeadlySends() {
        return lateDeadlySends;
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Sends a request with the given shared parts to a random node. */
    Call send(String... parts) {
        return sendTo(random.nextInt(nodes.size()), parts);
    }

    /** Sends a request with the given shared parts to a node. */
    Call sendTo(int node, String... parts) {
        List<PromptPartId> shared =
                List.of(parts).stream().map(PromptPartId::new).toList();
        Arrival arrival = new Arrival(
                new ExchangeId(++lastId),
                RelayFixture.QUEUE,
                RelayFixture.route(RetrySafety.STREAM, 2),
                shared,
                "customer",
                1,
                nowMillis,
                nowMillis + RelayFixture.TIMEOUT_MILLIS);
        Call call = new Call(arrival, node);
        calls.put(arrival.id(), call);
        step(node, new RelayEvent.RequestArrived(arrival));
        return call;
    }

    /** Advances the clock. */
    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis++) {
            while (!steps.isEmpty() && steps.peek().atMillis() <= nowMillis) {
                steps.poll().action().run();
            }
            if (nowMillis % TICK_MILLIS == 0) {
                for (int i = 0; i < nodes.size(); i++) {
                    reportProgress(i);
                    step(i, new RelayEvent.Tick());
                }
            }
            if (nowMillis % HEARTBEAT_MILLIS == 0) {
                exchangeNews();
            }
        }
    }

    /** Lets a replica run another release of the software, with a new epoch. */
    void setRelease(int replica, String release) {
        replicas.get(replica).release = release;
        replicas.get(replica).epoch++;
        announceTargets();
    }

    /** Replaces a node by one that knows nothing. */
    void restart(int node) {
        nodes.set(node, newNode(node));
        step(node, new RelayEvent.NodesChanged(fleet));
        announceTargets();
    }

    /** Returns the dispatcher of a node. */
    RelayDispatcher node(int index) {
        return nodes.get(index);
    }

    /** Crashes a replica for a reason of its own. */
    void crash(int replica) {
        crash(replicas.get(replica));
    }

    /** Exchanges news between the first node, as the delegate, and each other node, as heartbeats and their replies do. */
    private void exchangeNews() {
        for (int i = 1; i < nodes.size(); i++) {
            if (!isCutOff(i) && !isCutOff(0)) {
                passNews(i, 0);
                passNews(0, i);
            }
        }
    }

    private void passNews(int from, int to) {
        CrashNews news = nodes.get(from).crashNews();
        if (news.digest() != nodes.get(to).crashNews().digest()) {
            step(to, new RelayEvent.CrashNewsReceived(news));
        }
    }

    private boolean isCutOff(int node) {
        return cutOff.contains(node);
    }

    /** Cuts a node off from the others, or connects it again. */
    void setCutOff(int node, boolean cut) {
        if (cut) {
            cutOff.add(node);
        } else {
            cutOff.remove(node);
        }
    }

    private void schedule(long delayMillis, Runnable action) {
        steps.add(new Step(nowMillis + delayMillis, ++lastStep, action));
    }

    private void announceTargets() {
        List<Target> targets = replicas.stream()
                .filter(replica -> replica.up)
                .map(Replica::target)
                .toList();
        for (int i = 0; i < nodes.size(); i++) {
            step(i, new RelayEvent.TargetsChanged(targets));
        }
    }

    private void reportProgress(int node) {
        for (Replica replica : replicas) {
            for (Call call : replica.running.values()) {
                if (call.node == node && call.begunMillis >= 0) {
                    nodes.get(node).recordProgress(nowMillis, call.current);
                    nodes.get(node).recordAnswering(nowMillis, call.current, nowMillis - call.begunMillis);
                }
            }
        }
    }

    private void step(int node, RelayEvent event) {
        for (RelayAction action : nodes.get(node).step(nowMillis, event)) {
            switch (action) {
                case RelayAction.Send send -> onSend(send);
                case RelayAction.Refuse refusal -> calls.get(refusal.id()).refused = true;
                case RelayAction.GiveUp failure -> calls.get(failure.id()).failed = true;
                case RelayAction.CancelAttempt(ExchangeId id) -> cancel(calls.get(id));
                case RelayAction.DropAttempt(AttemptId attempt) ->
                    replicas.forEach(replica -> replica.running.remove(attempt));
                case RelayAction.DropExchange dropped -> {}
                case RelayAction.SuspectTarget suspected -> {}
            }
        }
    }

    private void onSend(RelayAction.Send send) {
        Call call = calls.get(send.id());
        call.current = send.attempt();
        call.sends++;
        call.begunMillis = -1;
        Replica replica = replica(send.target().id());
        if (replica == null) {
            schedule(1, () -> fail(call, send.attempt(), AttemptOutcome.NOT_SENT));
            return;
        }
        if (deadly.test(call.arrival.sharedParts(), replica.release)
                && crashMillis.size() >= CRASHES_TO_LEARN
                && nowMillis > crashMillis.get(CRASHES_TO_LEARN - 1) + CONTACT_MILLIS) {
            lateDeadlySends++;
        }
        replica.running.put(send.attempt(), call);
        schedule(BEGIN_MILLIS, () -> begin(replica, call, send.attempt()));
    }

    private Replica replica(TargetId id) {
        for (Replica replica : replicas) {
            if (replica.up && replica.target().id().equals(id)) {
                return replica;
            }
        }
        return null;
    }

    private void begin(Replica replica, Call call, AttemptId attempt) {
        if (!replica.running.containsKey(attempt)) {
            return;
        }
        if (deadly.test(call.arrival.sharedParts(), replica.release)) {
            crash(replica);
            return;
        }
        call.begunMillis = nowMillis;
        step(call.node, new RelayEvent.AnswerStarted(attempt));
        step(call.node, new RelayEvent.AnswerUsed(attempt));
        schedule(ANSWER_MILLIS, () -> {
            if (replica.running.remove(attempt) != null) {
                step(call.node, new RelayEvent.RequestFinished(attempt));
            }
        });
    }

    private void crash(Replica replica) {
        crashMillis.add(nowMillis);
        replica.up = false;
        Map<AttemptId, Call> lost = new HashMap<>(replica.running);
        replica.running.clear();
        lost.forEach((attempt, call) ->
                fail(call, attempt, call.begunMillis < 0 ? AttemptOutcome.LOST_BEFORE_ANSWER : AttemptOutcome.BROKEN));
        schedule(CRASH_SEEN_MILLIS, this::announceTargets);
        schedule(RESTART_MILLIS, () -> {
            replica.epoch++;
            replica.up = true;
            announceTargets();
        });
    }

    private void fail(Call call, AttemptId attempt, AttemptOutcome outcome) {
        step(call.node, new RelayEvent.AttemptFailed(attempt, outcome));
    }

    private void cancel(Call call) {
        replicas.forEach(replica -> replica.running.values().remove(call));
    }
}
