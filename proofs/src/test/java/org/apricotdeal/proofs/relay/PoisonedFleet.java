package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.model.RequestDigest;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.poison.CrashNews;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.AttemptId;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.FleetNode;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayDispatcher;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.RetryBudget;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;

/**
 * Simulates the dispatchers of a fleet on a virtual clock, with targets that crash when they begin to answer a request with
 * a deadly part, and are back some seconds later. Requests have no digests unless {@link #withDigests} created the fleet.
 */
final class PoisonedFleet {
    static final long CONTACT_MILLIS = 3_000;
    static final long BEGIN_MILLIS = 200;
    static final long HEARTBEAT_MILLIS = 200;
    static final QueueId PLAIN_SERVICE = new QueueId(RelayFixture.QUEUE.upstream(), Optional.empty());

    private static final int SLOTS = 10;
    private static final long ANSWER_MILLIS = 900;
    private static final long PLAIN_BEGIN_MILLIS = 50;
    private static final long PLAIN_ANSWER_MILLIS = 100;
    private static final long RESTART_MILLIS = 3_000;
    private static final long CRASH_SEEN_MILLIS = 100;
    private static final long TICK_MILLIS = 25;
    private static final long EARLY_NEWS_MILLIS = 5;
    private static final long MIN_EARLY_PERIOD_MILLIS = 50;
    private static final int CRASHES_TO_LEARN = 5;

    private final UniformRandomProvider random;
    private final long seed;
    private final List<FleetNode> fleet = new ArrayList<>();
    private final QueueId queue;
    private final BiPredicate<Arrival, String> deadly;
    private final boolean withDigests;
    private final List<RelayDispatcher> nodes = new ArrayList<>();
    private final List<Replica> replicas = new ArrayList<>();
    private final Map<ExchangeId, Call> calls = new HashMap<>();
    private final PriorityQueue<Step> steps =
            new PriorityQueue<>(Comparator.comparingLong(Step::atMillis).thenComparingLong(Step::sequence));
    private final Set<Integer> cutOff = new HashSet<>();
    private final List<Crash> crashes = new ArrayList<>();
    private final List<Reached> reached = new ArrayList<>();
    private final List<EarlyNews> earlyNews = new ArrayList<>();
    private long nowMillis = 1_000;
    private long lastId;
    private long lastStep;
    private int lateDeadlySends;
    private int minUp;

    /** A scheduled action. */
    private record Step(long atMillis, long sequence, Runnable action) {}

    /** A crash, with the request that caused it, if any. */
    record Crash(long atMillis, Optional<Call> cause) {}

    /** A request that reached a replica. */
    private record Reached(long atMillis, Call call) {}

    /** What a node has done to pass on new crashes before its next heartbeat. */
    private static final class EarlyNews {
        private int knownCrashes;
        private boolean pending;
        private long sentMillis;
    }

    /** A replica that may be down; its target id changes with each restart. */
    private static final class Replica {
        private final VmId vm;
        private final QueueId queue;
        private final Map<AttemptId, Call> running = new HashMap<>();
        private long epoch = 1;
        private String release = "v1";
        private boolean up = true;

        Replica(VmId vm, QueueId queue) {
            this.vm = vm;
            this.queue = queue;
        }

        Target target() {
            return new Target(
                    new TargetId(vm, epoch),
                    queue,
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
        int reachedCount;
        boolean lost;
        long begunMillis = -1;
        boolean refused;
        long retryAfterMillis;
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
        this(
                nodeCount,
                replicaCount,
                seed,
                RelayFixture.QUEUE,
                (arrival, release) -> deadly.test(arrival.sharedParts(), release),
                false);
    }

    private PoisonedFleet(
            int nodeCount,
            int replicaCount,
            long seed,
            QueueId queue,
            BiPredicate<Arrival, String> deadly,
            boolean withDigests) {
        this.random = RandomSource.SPLIT_MIX_64.create(seed);
        this.queue = queue;
        this.deadly = deadly;
        this.withDigests = withDigests;
        this.minUp = replicaCount;
        for (int i = 0; i < replicaCount; i++) {
            replicas.add(new Replica(new VmId("v" + i), queue));
        }
        this.seed = seed;
        for (int i = 0; i < nodeCount; i++) {
            fleet.add(new FleetNode("n" + i, RelayFixture.HOME));
            earlyNews.add(new EarlyNews());
        }
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(newNode(i));
        }
        for (int i = 0; i < nodeCount; i++) {
            step(i, new RelayEvent.NodesChanged(fleet));
        }
        announceTargets();
    }

    /** Creates a fleet whose requests have digests, and whose nodes pass on news of a crash at once. */
    static PoisonedFleet withDigests(
            int nodeCount, int replicaCount, long seed, QueueId queue, Predicate<Arrival> deadly) {
        return new PoisonedFleet(
                nodeCount, replicaCount, seed, queue, (arrival, release) -> deadly.test(arrival), true);
    }

    private RelayDispatcher newNode(int index) {
        return new RelayDispatcher(
                fleet.get(index),
                new RetryBudget(10_000, 0.2, 100, 1),
                RandomSource.SPLIT_MIX_64.create(seed * fleet.size() + index));
    }

    /** Returns the times of the crashes so far. */
    List<Long> crashMillis() {
        return crashes.stream().map(Crash::atMillis).toList();
    }

    /** Returns the times of the crashes that were caused by requests of a kind. */
    List<Long> crashMillis(Predicate<Arrival> kind) {
        return crashes.stream()
                .filter(crash ->
                        crash.cause().filter(call -> kind.test(call.arrival)).isPresent())
                .map(Crash::atMillis)
                .toList();
    }

    /** Returns how often requests of a kind reached a replica later than allowed after their n-th crash. */
    long lateSends(Predicate<Arrival> kind, int crashesToLearn) {
        List<Long> causedMillis = crashMillis(kind);
        if (causedMillis.size() < crashesToLearn) {
            return 0;
        }
        long learnedMillis = causedMillis.get(crashesToLearn - 1) + CONTACT_MILLIS;
        return reached.stream()
                .filter(send -> kind.test(send.call().arrival) && send.atMillis() > learnedMillis)
                .count();
    }

    /** Returns the lowest number of replicas that were up. */
    int minUp() {
        return minUp;
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
        return sendTo(node, RetrySafety.STREAM, new RequestDigest("route", 0, lastId + 1), parts);
    }

    /** Sends a copy of a request to a random node. */
    Call sendCopy(RetrySafety safety, RequestDigest digest, String... parts) {
        return sendTo(random.nextInt(nodes.size()), safety, digest, parts);
    }

    /** Sends a copy of a request to a node. */
    Call sendTo(int node, RetrySafety safety, RequestDigest digest, String... parts) {
        List<PromptPartId> shared =
                List.of(parts).stream().map(PromptPartId::new).toList();
        Arrival bare = new Arrival(
                new ExchangeId(++lastId),
                queue,
                RelayFixture.route(safety, 2),
                shared,
                "customer",
                1,
                nowMillis,
                nowMillis + RelayFixture.TIMEOUT_MILLIS);
        Arrival arrival = withDigests ? bare.withDigest(digest) : bare;
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
        earlyNews.set(node, new EarlyNews());
        step(node, new RelayEvent.NodesChanged(fleet));
        announceTargets();
    }

    /** Returns the dispatcher of a node. */
    RelayDispatcher node(int index) {
        return nodes.get(index);
    }

    /** Crashes a replica for a reason of its own. */
    void crash(int replica) {
        crash(replicas.get(replica), Optional.empty());
    }

    /** Crashes the replica that runs a request, for a reason of its own. */
    void crashUnder(Call call) {
        replicas.stream()
                .filter(replica -> replica.running.containsKey(call.current))
                .findFirst()
                .ifPresent(replica -> crash(replica, Optional.empty()));
    }

    /** Breaks the connections of a replica, which lives on. */
    void reset(int replica) {
        loseRequests(replicas.get(replica));
    }

    /** Exchanges news between the first node, as the delegate, and each other node, as heartbeats and their replies do. */
    private void exchangeNews() {
        for (int i = 1; i < nodes.size(); i++) {
            exchangeNews(i);
        }
        earlyNews.forEach(news -> news.pending = false);
    }

    private void exchangeNews(int node) {
        if (!isCutOff(node) && !isCutOff(0)) {
            passNews(node, 0);
            passNews(0, node);
        }
    }

    /** Passes news on at once where a node learns of a crash, but not within some time of doing so before. */
    private void passOnNewCrashes(int node) {
        EarlyNews news = earlyNews.get(node);
        int knownBefore = news.knownCrashes;
        news.knownCrashes = nodes.get(node).crashNews().crashes().size();
        if (withDigests && news.knownCrashes > knownBefore && !news.pending) {
            news.pending = true;
            schedule(EARLY_NEWS_MILLIS, () -> sendEarlyNews(node, news));
        }
    }

    private void sendEarlyNews(int node, EarlyNews news) {
        if (nowMillis - news.sentMillis < MIN_EARLY_PERIOD_MILLIS) {
            return;
        }
        news.pending = false;
        news.sentMillis = nowMillis;
        if (node > 0) {
            exchangeNews(node);
            return;
        }
        for (int i = 1; i < nodes.size(); i++) {
            exchangeNews(i);
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
                case RelayAction.Refuse refusal -> {
                    calls.get(refusal.id()).refused = true;
                    calls.get(refusal.id()).retryAfterMillis = refusal.retryAfterMillis();
                }
                case RelayAction.GiveUp failure -> calls.get(failure.id()).failed = true;
                case RelayAction.CancelAttempts(ExchangeId id) -> cancel(calls.get(id));
                case RelayAction.CancelAttempt(AttemptId attempt) ->
                    replicas.forEach(replica -> replica.running.remove(attempt));
                case RelayAction.DropExchange dropped -> {}
                case RelayAction.SuspectTarget suspected -> {}
            }
        }
        passOnNewCrashes(node);
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
        call.reachedCount++;
        reached.add(new Reached(nowMillis, call));
        if (deadly.test(call.arrival, replica.release)
                && crashes.size() >= CRASHES_TO_LEARN
                && nowMillis > crashes.get(CRASHES_TO_LEARN - 1).atMillis() + CONTACT_MILLIS) {
            lateDeadlySends++;
        }
        replica.running.put(send.attempt(), call);
        schedule(isPlain() ? PLAIN_BEGIN_MILLIS : BEGIN_MILLIS, () -> begin(replica, call, send.attempt()));
    }

    private boolean isPlain() {
        return queue.model().isEmpty();
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
        if (deadly.test(call.arrival, replica.release)) {
            crash(replica, Optional.of(call));
            return;
        }
        call.begunMillis = nowMillis;
        step(call.node, new RelayEvent.AnswerStarted(attempt));
        step(call.node, new RelayEvent.AnswerUsed(attempt));
        schedule(isPlain() ? PLAIN_ANSWER_MILLIS : ANSWER_MILLIS, () -> {
            if (replica.running.remove(attempt) != null) {
                step(call.node, new RelayEvent.RequestFinished(attempt));
            }
        });
    }

    private void crash(Replica replica, Optional<Call> cause) {
        crashes.add(new Crash(nowMillis, cause));
        replica.up = false;
        minUp = Math.min(
                minUp, (int) replicas.stream().filter(other -> other.up).count());
        loseRequests(replica);
        schedule(CRASH_SEEN_MILLIS, this::announceTargets);
        schedule(RESTART_MILLIS, () -> {
            replica.epoch++;
            replica.up = true;
            announceTargets();
        });
    }

    private void loseRequests(Replica replica) {
        Map<AttemptId, Call> lost = new HashMap<>(replica.running);
        replica.running.clear();
        lost.forEach((attempt, call) -> {
            call.lost = true;
            fail(call, attempt, call.begunMillis < 0 ? AttemptOutcome.LOST_BEFORE_ANSWER : AttemptOutcome.BROKEN);
        });
    }

    private void fail(Call call, AttemptId attempt, AttemptOutcome outcome) {
        step(call.node, new RelayEvent.AttemptFailed(attempt, outcome));
    }

    private void cancel(Call call) {
        replicas.forEach(replica -> replica.running.values().remove(call));
    }
}
