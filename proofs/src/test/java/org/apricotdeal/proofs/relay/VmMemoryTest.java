package org.apricotdeal.proofs.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.stream.IntStream;

import org.apricotdeal.adapter.UsersPlatform;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.relay.model.MemoryUse;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.RequestSize;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.QueueDemand;
import org.apricotdeal.relay.policy.RefusalReason;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.Target;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Replays crowds of large prompts among usual ones, at nodes that know their own requests only. */
public final class VmMemoryTest {
    private static final int MEMORY = 200_000;
    private static final int USUAL = 1_000;
    private static final int SLOTS = 14;
    private static final long HEARTBEAT_MILLIS = 200;
    private static final int HEARTBEATS_OLD = 2;
    private static final long SERVICE_MILLIS = 400;
    private static final long RUN_MILLIS = 10_000;
    private static final Target LIMITED = target(OptionalLong.of(MEMORY));

    private static Target target(OptionalLong memoryTokens) {
        Target plain = RelayFixture.target("v1", SLOTS);
        return new Target(
                plain.id(),
                plain.queue(),
                plain.address(),
                plain.release(),
                plain.failureDomain(),
                SLOTS,
                plain.members(),
                memoryTokens);
    }

    private static Arrival sized(RelayFixture node, int tokens) {
        return node.arrival(RetrySafety.STREAM, 2).withSize(new RequestSize(tokens - 80, 80, OptionalInt.empty()));
    }

    private static List<RelayAction> arrive(RelayFixture node, int tokens) {
        return node.step(new RelayEvent.RequestArrived(sized(node, tokens)));
    }

    private static RelayFixture node(Target target) {
        RelayFixture node = new RelayFixture();
        node.setNodeCount(1);
        node.setTargets(target);
        return node;
    }

    /** Nodes of a fleet that share one target and hear of each other's number of requests two heartbeats late. */
    private static final class Crowd {
        private final List<RelayFixture> nodes = new ArrayList<>();
        private final PriorityQueue<Running> running =
                new PriorityQueue<>(Comparator.comparingLong(Running::endMillis));
        private final Deque<int[]> heartbeats = new ArrayDeque<>();
        private long nowMillis = 1_000;
        private int most;
        private int usualServed;
        private int largeServed;

        private record Running(long endMillis, RelayFixture node, RelayAction.Send send, int tokens) {}

        Crowd(int count) {
            for (int i = 0; i < count; i++) {
                RelayFixture node = new RelayFixture("n" + i, 100, i);
                node.setNodeCount(count);
                node.setTargets(LIMITED);
                nodes.add(node);
            }
        }

        /** Lets usual requests arrive at all nodes in turn, and large ones at the first nodes at the same moments. */
        void run(int crowded, int large) {
            for (; nowMillis < RUN_MILLIS; nowMillis += 5) {
                while (!running.isEmpty() && running.peek().endMillis() <= nowMillis) {
                    Running ended = running.poll();
                    step(
                            ended.node(),
                            new RelayEvent.RequestFinished(ended.send().attempt()),
                            0);
                }
                if (nowMillis % HEARTBEAT_MILLIS == 0) {
                    exchangeHeartbeats();
                }
                for (int i = 0; i < nodes.size(); i++) {
                    RelayFixture node = nodes.get(i);
                    if (i < crowded && nowMillis % 100 == 0) {
                        arrive(node, large);
                    }
                    if (nowMillis % (100L * nodes.size()) == 5L * i) {
                        arrive(node, USUAL);
                    }
                    step(node, new RelayEvent.Tick(), 0);
                }
            }
        }

        private void exchangeHeartbeats() {
            heartbeats.addLast(nodes.stream()
                    .mapToInt(node -> node.dispatcher.runningRequests().getOrDefault(LIMITED.id(), 0))
                    .toArray());
            if (heartbeats.size() > HEARTBEATS_OLD) {
                int[] counts = heartbeats.removeFirst();
                int sum = IntStream.of(counts).sum();
                for (int i = 0; i < counts.length; i++) {
                    step(nodes.get(i), new RelayEvent.PeerLoadsChanged(Map.of(LIMITED.id(), sum - counts[i])), 0);
                }
            }
        }

        /** Lets a request arrive that is sent at once or withdrawn by its caller. */
        private void arrive(RelayFixture node, int tokens) {
            node.nowMillis = nowMillis;
            Arrival arrival = sized(node, tokens);
            step(node, new RelayEvent.RequestArrived(arrival), tokens);
            if (running.stream()
                    .noneMatch(sent -> sent.node() == node && sent.send().id().equals(arrival.id()))) {
                step(node, new RelayEvent.CallerDisconnected(arrival.id()), 0);
            }
        }

        private void step(RelayFixture node, RelayEvent event, int tokens) {
            node.nowMillis = nowMillis;
            for (RelayAction.Send send : RelayFixture.actionsOfType(node.step(event), RelayAction.Send.class)) {
                running.add(new Running(nowMillis + SERVICE_MILLIS, node, send, tokens));
                usualServed += tokens == USUAL ? 1 : 0;
                largeServed += tokens > USUAL ? 1 : 0;
            }
            most = Math.max(most, running.stream().mapToInt(Running::tokens).sum());
        }
    }

    @DataProvider
    public Object[][] crowds() {
        return new Object[][] {
            {1, 1, 30_000}, {3, 3, 40_000}, {6, 6, 40_000}, {6, 6, 9_000}, {12, 12, 10_000}, {12, 12, 2_300}
        };
    }

    /**
     * Some nodes receive a crowd of large prompts, all receive usual ones: the VM is never sent more than it can hold,
     * usual requests are served beside the crowd, and some of the crowd as well.
     *
     * @param count number of nodes
     * @param crowded number of nodes that receive large prompts
     * @param large tokens of a large prompt and its answer
     */
    @Test(dataProvider = "crowds")
    public void crowdOfLargePromptsFitsIntoMemory(int count, int crowded, int large) {
        Crowd crowd = new Crowd(count);
        crowd.run(crowded, large);
        String summary =
                "held " + crowd.most + ", served " + crowd.usualServed + " and " + crowd.largeServed + " large";
        assertTrue(crowd.most <= MEMORY, summary);
        assertTrue(crowd.largeServed >= 10, summary);
        assertTrue(crowd.usualServed >= 30, summary);
    }

    /** A request that the target could not hold is refused at once, and does not count as demand for more replicas. */
    @Test
    public void requestThatNeverFitsIsRefusedAtOnce() {
        RelayFixture node = node(LIMITED);
        List<RelayAction.Refuse> refused =
                RelayFixture.actionsOfType(arrive(node, MEMORY + 1), RelayAction.Refuse.class);
        assertEquals(refused.getFirst().reason(), RefusalReason.TOO_LARGE);
        QueueDemand demand = node.dispatcher.demandByQueue(node.nowMillis).get(RelayFixture.QUEUE);
        assertTrue(demand.refusedPerSecond().isEmpty(), demand.toString());
    }

    /** Smaller requests pass a large one that waits for memory; it is sent when the one before it ends. */
    @Test
    public void smallerRequestsPassOneThatWaitsForMemory() {
        RelayFixture node = node(LIMITED);
        RelayAction.Send first = RelayFixture.onlySend(arrive(node, 60_000));
        assertEquals(arrive(node, 50_000), List.of());
        RelayFixture.onlySend(arrive(node, USUAL));
        RelayFixture.onlySend(node.step(new RelayEvent.RequestFinished(first.attempt())));
    }

    /** What a VM has just reported counts, and its limit where the catalogue tells none; unknown bars nothing. */
    @Test
    public void reportsCountAndUnknownBarsNothing() {
        RelayFixture node = node(LIMITED);
        node.step(new RelayEvent.VmMemoryReported(LIMITED.id().vm(), new MemoryUse(MEMORY - 500, MEMORY)));
        assertEquals(arrive(node, USUAL), List.of());
        RelayFixture unknown = node(RelayFixture.target("v1", SLOTS));
        RelayFixture.onlySend(arrive(unknown, MEMORY + 1));
        RelayFixture.onlySend(unknown.arrive(RetrySafety.STREAM));
        unknown.step(new RelayEvent.VmMemoryReported(LIMITED.id().vm(), new MemoryUse(0, MEMORY)));
        assertEquals(
                RelayFixture.actionsOfType(arrive(unknown, MEMORY + 1), RelayAction.Refuse.class)
                        .size(),
                1);
    }

    @DataProvider
    public Object[][] capacities() {
        return new Object[][] {
            {",\"kv-capacity\":1302000", OptionalLong.of(1_302_000)},
            {"", OptionalLong.empty()},
            {",\"kv-capacity\":-1", OptionalLong.empty()},
            {",\"kv-capacity\":\"much\"", OptionalLong.empty()}
        };
    }

    /**
     * The catalogue tells the memory, or it is unknown.
     *
     * @param field field of the engine
     * @param memory tokens
     */
    @Test(dataProvider = "capacities")
    public void catalogueTellsMemory(String field, OptionalLong memory) {
        String json = "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"chat\",\"engine\":{\"slots\":14" + field
                + "}}]}";
        Result<RelayCatalogue, String> read =
                new UsersPlatform().codec().catalogue(json.getBytes(StandardCharsets.UTF_8));
        RelayCatalogue catalogue = ((Result.Ok<RelayCatalogue, String>) read).value();
        UpstreamEntry chat = catalogue.upstreams().get(RelayFixture.QUEUE.upstream());
        assertEquals(chat.engine().orElseThrow().memoryTokens(), memory);
    }
}
