package org.apricotdeal.proofs.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.model.RouteEntry;
import org.apricotdeal.relay.policy.Arrival;
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
 * Simulates the dispatchers of a large fleet on a virtual clock, with heartbeats that carry old counts, and connections
 * that are closed when idle.
 */
final class SimPlacement {
    private static final int NODES = 37;
    private static final int TARGETS = 95;
    private static final int SLOTS = 10;
    private static final long MEAN_SERVICE_MILLIS = 900;
    private static final long START_OF_ANSWER_MILLIS = 190;
    private static final long TICK_MILLIS = 25;
    private static final long HEARTBEAT_MILLIS = 200;

    /** Heartbeats that a count needs from its node over two delegates to another node. */
    private static final int HEARTBEATS_OLD = 2;

    private static final long IDLE_CONNECTION_MILLIS = 4_000;
    private static final int MAX_CLIENTS_PER_NODE = 8;
    static final List<String> DOMAINS = List.of("a", "b", "c", "d", "e");
    private static final QueueId QUEUE = new QueueId(new UpstreamId("chat"), Optional.of(new ModelId("m1")));

    private final UniformRandomProvider random;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Node> nodeByClient = new ArrayList<>();
    private final Map<TargetId, Integer> running = new HashMap<>();
    private final Deque<List<Map<TargetId, Integer>>> heartbeats = new ArrayDeque<>();
    private final PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingLong(Step::atMillis));
    private final double arrivalsPerMilli;
    private final Map<TargetId, Integer> sentByTarget = new HashMap<>();
    private final Map<FailureDomainId, Arrivals> arrivals = new HashMap<>();
    private long nowMillis = 1_000;
    private long lastId;
    private int sent;
    private int overfull;
    private int newConnections;
    private int sentOpened;
    private int overfullOpened;
    private int refused;
    private long runningMillis;
    private long resetMillis;

    /** A scheduled end or progress of an answer. */
    private record Step(long atMillis, Runnable action) {}

    /** A node with its idle connections by target, as the times of their last use. */
    private record Node(
            RelayDispatcher dispatcher, FailureDomainId failureDomain, Map<TargetId, Deque<Long>> idleConnections) {}

    /** Requests that arrived at the nodes of a failure domain, and how many of them were refused. */
    private static final class Arrivals {
        private int arrived;
        private int refused;
    }

    /**
     * Creates a fleet whose targets and nodes know each other.
     *
     * @param seed seed of arrivals and answers
     * @param load share of all slots that the requests occupy
     */
    SimPlacement(long seed, double load) {
        random = RandomSource.SPLIT_MIX_64.create(seed);
        arrivalsPerMilli = load * TARGETS * SLOTS / MEAN_SERVICE_MILLIS;
        List<Target> targets = targets();
        for (FleetNode fleetNode : nodes()) {
            RelayDispatcher dispatcher = new RelayDispatcher(
                    fleetNode,
                    new RetryBudget(10_000, 0.2, 100, 1),
                    RandomSource.SPLIT_MIX_64.create(seed * NODES + nodes.size()));
            Node node = new Node(dispatcher, fleetNode.failureDomain(), new HashMap<>());
            nodes.add(node);
            dispatcher.step(nowMillis, new RelayEvent.NodesChanged(nodes()));
            dispatcher.step(nowMillis, new RelayEvent.TargetsChanged(targets));
            for (int client = random.nextInt(MAX_CLIENTS_PER_NODE); client >= 0; client--) {
                nodeByClient.add(node);
            }
        }
    }

    static List<FleetNode> nodes() {
        List<FleetNode> nodes = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            nodes.add(new FleetNode("node-" + i, domain(i)));
        }
        return nodes;
    }

    private static List<Target> targets() {
        return targets(TARGETS);
    }

    private static List<Target> targets(int count) {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            VmId vm = new VmId("v" + i);
            targets.add(new Target(
                    new TargetId(vm, 1), QUEUE, vm + ":80", "v1", domain(i), SLOTS, List.of(vm), OptionalLong.empty()));
        }
        return targets;
    }

    private static FailureDomainId domain(int index) {
        return new FailureDomainId(DOMAINS.get(index % DOMAINS.size()));
    }

    /** Returns the names of the home nodes of each target in a fleet. */
    static Map<TargetId, List<String>> homeNodesByTarget(List<FleetNode> fleet) {
        Map<TargetId, List<String>> homes = new HashMap<>();
        for (FleetNode node : fleet) {
            RelayDispatcher dispatcher = new RelayDispatcher(
                    node, new RetryBudget(10_000, 0.2, 100, 1), RandomSource.SPLIT_MIX_64.create(1));
            dispatcher.step(0, new RelayEvent.NodesChanged(fleet));
            dispatcher.step(0, new RelayEvent.TargetsChanged(targets()));
            dispatcher.homeTargets().forEach(target -> homes.computeIfAbsent(target, id -> new ArrayList<>())
                    .add(node.name()));
        }
        return homes;
    }

    /** Opens further replicas, which no node has sent to yet. */
    void openTargets(int count) {
        List<Target> changed = targets(TARGETS + count);
        nodes.forEach(node -> step(node, new RelayEvent.TargetsChanged(changed)));
    }

    /** Evacuates the replicas of the first failure domains; callers still reach the nodes there. */
    void evacuate(int domainCount) {
        Set<FailureDomainId> domains =
                IntStream.range(0, domainCount).mapToObj(SimPlacement::domain).collect(Collectors.toSet());
        nodes.forEach(node -> step(node, new RelayEvent.EvacuationsChanged(domains)));
    }

    /** Returns the share of the requests to the nodes of failure domains that were refused since the last reset. */
    double refusedShare(int fromDomain, int toDomain) {
        int arrived = 0;
        int refusedThere = 0;
        for (int i = fromDomain; i < toDomain; i++) {
            Arrivals there = arrivals.getOrDefault(domain(i), new Arrivals());
            arrived += there.arrived;
            refusedThere += there.refused;
        }
        return (double) refusedThere / Math.max(1, arrived);
    }

    /** Returns the share of sends to replicas opened later whose slots were all occupied. */
    double overfullShareOfOpenedTargets() {
        return (double) overfullOpened / Math.max(1, sentOpened);
    }

    /** Returns the mean share of the slots that were occupied since the counts were reset. */
    double occupiedShare() {
        return (double) runningMillis / ((nowMillis - resetMillis) * TARGETS * SLOTS);
    }

    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis++) {
            while (!steps.isEmpty() && steps.peek().atMillis() <= nowMillis) {
                steps.poll().action().run();
            }
            if (nowMillis % HEARTBEAT_MILLIS == 0) {
                exchangeHeartbeats();
            }
            double due = arrivalsPerMilli;
            while (random.nextDouble() < due) {
                due -= 1;
                arrive(nodeByClient.get(random.nextInt(nodeByClient.size())));
            }
            runningMillis += running.values().stream()
                    .mapToInt(count -> Math.min(SLOTS, count))
                    .sum();
            if (nowMillis % TICK_MILLIS == 0) {
                nodes.forEach(node -> step(node, new RelayEvent.Tick()));
            }
        }
    }

    private void arrive(Node node) {
        RouteEntry route = RelayFixture.route(RetrySafety.STREAM, 2);
        Arrival arrival = new Arrival(
                new ExchangeId(++lastId),
                QUEUE,
                route,
                List.of(),
                "customer",
                1,
                nowMillis,
                nowMillis + RelayFixture.TIMEOUT_MILLIS);
        arrivals.computeIfAbsent(node.failureDomain(), domain -> new Arrivals()).arrived++;
        step(node, new RelayEvent.RequestArrived(arrival));
    }

    private void step(Node node, RelayEvent event) {
        for (RelayAction action : node.dispatcher().step(nowMillis, event)) {
            switch (action) {
                case RelayAction.Send send -> send(node, send);
                case RelayAction.Refuse refusal -> {
                    refused++;
                    arrivals.computeIfAbsent(node.failureDomain(), domain -> new Arrivals()).refused++;
                }
                default -> throw new IllegalStateException("no target fails here, but " + action);
            }
        }
    }

    private void send(Node node, RelayAction.Send send) {
        TargetId target = send.target().id();
        int before = running.merge(target, 1, Integer::sum) - 1;
        sent++;
        sentByTarget.merge(target, 1, Integer::sum);
        overfull += before >= SLOTS ? 1 : 0;
        if (Integer.parseInt(target.vm().value().substring(1)) >= TARGETS) {
            sentOpened++;
            overfullOpened += before >= SLOTS ? 1 : 0;
        }
        Deque<Long> idle = node.idleConnections().computeIfAbsent(target, id -> new ArrayDeque<>());
        idle.removeIf(lastUseMillis -> nowMillis - lastUseMillis >= IDLE_CONNECTION_MILLIS);
        newConnections += idle.pollLast() == null ? 1 : 0;
        long serviceMillis = Math.max(
                START_OF_ANSWER_MILLIS + TICK_MILLIS, Math.round(MEAN_SERVICE_MILLIS * (0.5 + random.nextDouble())));
        steps.add(new Step(
                nowMillis + START_OF_ANSWER_MILLIS,
                () -> step(node, new RelayEvent.AnswerStarted(send.attempt(), OptionalInt.of(running.get(target))))));
        for (long at = nowMillis + START_OF_ANSWER_MILLIS; at < nowMillis + serviceMillis; at += TICK_MILLIS) {
            long progressMillis = at;
            steps.add(new Step(at, () -> node.dispatcher().recordProgress(progressMillis, send.attempt())));
        }
        steps.add(new Step(nowMillis + serviceMillis, () -> finish(node, send, idle)));
    }

    private void finish(Node node, RelayAction.Send send, Deque<Long> idle) {
        running.merge(send.target().id(), -1, Integer::sum);
        idle.addLast(nowMillis);
        step(node, new RelayEvent.RequestFinished(send.attempt()));
    }

    private void exchangeHeartbeats() {
        heartbeats.addLast(
                nodes.stream().map(node -> node.dispatcher().runningRequests()).toList());
        if (heartbeats.size() <= HEARTBEATS_OLD) {
            return;
        }
        List<Map<TargetId, Integer>> counts = heartbeats.removeFirst();
        Map<TargetId, Integer> sum = new HashMap<>();
        counts.forEach(count -> count.forEach((target, requests) -> sum.merge(target, requests, Integer::sum)));
        for (int i = 0; i < nodes.size(); i++) {
            Map<TargetId, Integer> others = new HashMap<>(sum);
            counts.get(i).forEach((target, requests) -> others.merge(target, -requests, Integer::sum));
            step(nodes.get(i), new RelayEvent.PeerLoadsChanged(others));
        }
    }

    void resetCounts() {
        resetMillis = nowMillis;
        runningMillis = 0;
        sent = 0;
        overfull = 0;
        newConnections = 0;
        refused = 0;
        sentByTarget.clear();
        arrivals.clear();
    }

    /** Returns the share of sends to targets whose slots were all occupied. */
    double overfullShare() {
        return (double) overfull / sent;
    }

    double newConnectionShare() {
        return (double) newConnections / sent;
    }

    /** Returns the requests of the busiest target relative to the mean of all targets. */
    double busiestToMean() {
        int busiest =
                sentByTarget.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        return (double) busiest * TARGETS / sent;
    }

    int refused() {
        return refused;
    }

    String summary() {
        return String.format(
                "%d sent: %.4f to full targets, %.3f on new connections, busiest/mean %.2f, %d refused",
                sent, overfullShare(), newConnectionShare(), busiestToMean(), refused);
    }
}
