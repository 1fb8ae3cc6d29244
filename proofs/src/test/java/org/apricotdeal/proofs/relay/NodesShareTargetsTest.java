package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.policy.AttemptId;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Replays several nodes with waiting requests when a replica opens. Together they must send about as many requests
 * as it has slots.
 */
public final class NodesShareTargetsTest {
    private static final int SLOTS = 17;
    private static final int WAITING = 30;
    private static final int MANY_NODES = 30;
    private static final int MANY_TARGETS = 40;
    private static final long HEARTBEAT_MILLIS = 250;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{1}, {2}, {4}, {8}};
    }

    /**
     * Before and after the heartbeats, the nodes send at most one request each beyond the slots, and they use all
     * the slots.
     *
     * @param nodes number of nodes
     */
    @Test(dataProvider = "fleets")
    public void nodesTogetherKeepToTheSlotsOfANewReplica(int nodes) {
        Target busy = RelayFixture.target("v1", SLOTS);
        Target added = RelayFixture.target("v2", SLOTS);
        List<RelayFixture> fleet = new ArrayList<>();
        Map<RelayFixture, List<ExchangeId>> sent = new HashMap<>();
        for (int i = 0; i < nodes; i++) {
            RelayFixture node = new RelayFixture("n" + i, 100, i);
            node.setNodeCount(nodes);
            node.setTargets(busy);
            node.step(new RelayEvent.PeerLoadsChanged(Map.of(busy.id(), SLOTS)));
            for (int waiting = 0; waiting < WAITING; waiting++) {
                node.arrive(RetrySafety.STREAM);
            }
            fleet.add(node);
        }
        for (RelayFixture node : fleet) {
            sent.put(node, sends(node.setTargets(busy, added)));
        }
        assertTrue(total(sent) <= SLOTS + nodes, "before heartbeats: " + total(sent));
        for (int beat = 0; beat < 3; beat++) {
            exchangeHeartbeats(fleet, sent, busy, added);
        }
        assertTrue(total(sent) <= SLOTS + nodes, "after heartbeats: " + total(sent));
        assertTrue(total(sent) >= Math.min(SLOTS, waiting(fleet)), "slots used: " + total(sent));
    }

    /**
     * Guards against a fault in a large fleet: requests for a service with few slots, most of them free, waited for
     * a round in which the node drew a slot.
     */
    @Test
    public void largeFleetSendsToMostlyFreeServiceAtOnce() {
        Target service = RelayFixture.target("v1", 6);
        for (int i = 0; i < MANY_NODES; i++) {
            RelayFixture node = manyNodes(i);
            node.setTargets(service);
            node.step(new RelayEvent.PeerLoadsChanged(Map.of(service.id(), 1)));
            assertEquals(sends(node.arrive(RetrySafety.IDEMPOTENT)).size(), 1, "node " + i);
        }
    }

    /**
     * Without random candidates, the least loaded target would receive a request from each node within one heartbeat
     * round.
     */
    @Test
    public void concurrentNodesDoNotAllChooseTheLeastLoadedTarget() {
        Target empty = RelayFixture.target("v0", SLOTS);
        List<Target> targets = new ArrayList<>(List.of(empty));
        Map<TargetId, Integer> others = new HashMap<>();
        for (int i = 1; i < MANY_TARGETS; i++) {
            Target target = RelayFixture.target("v" + i, SLOTS);
            targets.add(target);
            others.put(target.id(), SLOTS / 2);
        }
        int sentToEmpty = 0;
        for (int i = 0; i < MANY_NODES; i++) {
            RelayFixture node = manyNodes(i);
            node.setTargets(targets.toArray(Target[]::new));
            node.step(new RelayEvent.PeerLoadsChanged(others));
            for (int request = 0; request < 3; request++) {
                RelayAction.Send sent = RelayFixture.onlySend(node.arrive(RetrySafety.STREAM));
                sentToEmpty += sent.target().equals(empty) ? 1 : 0;
            }
        }
        assertTrue(sentToEmpty <= SLOTS, sentToEmpty + " requests to " + SLOTS + " slots");
    }

    private static RelayFixture manyNodes(int seed) {
        RelayFixture node = new RelayFixture("n" + seed, 100, seed);
        node.setNodeCount(MANY_NODES);
        return node;
    }

    private static int waiting(List<RelayFixture> fleet) {
        return fleet.stream()
                .mapToInt(node -> node.dispatcher.waitingRequests())
                .sum();
    }

    private static void exchangeHeartbeats(
            List<RelayFixture> fleet, Map<RelayFixture, List<ExchangeId>> sent, Target busy, Target target) {
        Map<RelayFixture, Integer> sentCounts = new HashMap<>();
        sent.forEach((node, ids) -> sentCounts.put(node, ids.size()));
        for (RelayFixture node : fleet) {
            node.nowMillis += HEARTBEAT_MILLIS;
            for (ExchangeId id : sent.get(node)) {
                node.dispatcher.recordProgress(node.nowMillis, new AttemptId(id, 1));
            }
            int others = 0;
            for (RelayFixture peer : fleet) {
                others += peer == node ? 0 : sentCounts.get(peer);
            }
            RelayEvent peerLoads = new RelayEvent.PeerLoadsChanged(Map.of(busy.id(), SLOTS, target.id(), others));
            sent.get(node).addAll(sends(node.step(peerLoads)));
        }
    }

    private static int total(Map<RelayFixture, List<ExchangeId>> sent) {
        return sent.values().stream().mapToInt(List::size).sum();
    }

    private static List<ExchangeId> sends(List<RelayAction> actions) {
        return new ArrayList<>(RelayFixture.actionsOfType(actions, RelayAction.Send.class).stream()
                .map(RelayAction.Send::id)
                .toList());
    }
}
