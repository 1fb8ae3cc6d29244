package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.peer.HeartbeatPartners;
import org.apricotdeal.relay.peer.PlannerChoice;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that the number of heartbeats is linear in the number of nodes and that lost delegates are replaced. */
public final class HeartbeatPartnersTest {
    private static final long PERIOD_MILLIS = 200;

    /** Age up to which the request counts of other nodes are used. */
    private static final long MAX_LOAD_AGE_MILLIS = 1_500;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{1, 1}, {4, 3}, {30, 3}, {30, 4}, {300, 3}};
    }

    /** Calls to the store do not grow with the failure domains, and lost followers are replaced. */
    @Test
    public void twoDelegatesFollowTheStore() {
        Fleet fleet = new Fleet(37, 5);
        for (int round = 0; round < 10; round++) {
            fleet.runRound();
        }
        Set<String> before = fleet.storeFollowers();
        assertEquals(before.size(), 2, before.toString());
        assertEquals(fleet.firstStoreFollowers().size(), 1);
        fleet.down.addAll(before);
        for (int round = 0; round < 10; round++) {
            fleet.runRound();
        }
        Set<String> after = fleet.storeFollowers();
        assertEquals(after.size(), 2, after.toString());
        assertEquals(fleet.firstStoreFollowers().size(), 1);
        assertTrue(before.stream().noneMatch(after::contains), after.toString());
    }

    /** Nodes that exchange heartbeats in rounds; nodes that are down neither send nor receive. */
    private static final class Fleet {
        private final List<PlannerChoice.Candidate> nodes = new ArrayList<>();
        private final Map<String, HeartbeatPartners> partners = new HashMap<>();
        private final Set<String> down = new HashSet<>();
        private final Set<String> stopping = new HashSet<>();
        private long nowMillis = 10_000;

        Fleet(int count, int domains) {
            for (int i = 0; i < count; i++) {
                nodes.add(new PlannerChoice.Candidate("n" + i, new FailureDomainId("d" + i % domains)));
            }
            nodes.forEach(node -> partners.put(node.name(), new HeartbeatPartners(node)));
        }

        Set<String> storeFollowers() {
            Set<String> followers = new HashSet<>();
            partners.forEach((name, chooser) -> {
                if (chooser.isStoreFollower() && !down.contains(name)) {
                    followers.add(name);
                }
            });
            return followers;
        }

        List<String> firstStoreFollowers() {
            return storeFollowers().stream()
                    .filter(name -> partners.get(name).isFirstStoreFollower())
                    .toList();
        }

        /** Runs one round; returns the number of heartbeats sent. */
        int runRound() {
            nowMillis += PERIOD_MILLIS;
            int sent = 0;
            for (PlannerChoice.Candidate node : nodes) {
                if (down.contains(node.name())) {
                    continue;
                }
                List<PlannerChoice.Candidate> others = new ArrayList<>(nodes);
                others.remove(node);
                for (String to : partners.get(node.name()).choose(others, stopping, nowMillis)) {
                    sent++;
                    if (!down.contains(to)) {
                        partners.get(to).recordHeartbeat(node.name(), nowMillis);
                        partners.get(node.name()).recordHeartbeat(to, nowMillis);
                    }
                }
            }
            return sent;
        }

        int runFor(long millis) {
            int sent = 0;
            for (long end = nowMillis + millis; nowMillis < end; ) {
                sent = runRound();
            }
            return sent;
        }

        Set<String> delegates() {
            Set<String> delegates = new HashSet<>();
            partners.forEach((name, choice) -> {
                if (!down.contains(name) && choice.isDelegate()) {
                    delegates.add(name);
                }
            });
            return delegates;
        }
    }

    /**
     * Guards against a heartbeat from each node to each other node.
     *
     * @param count number of nodes
     * @param domains number of failure domains
     */
    @Test(dataProvider = "fleets")
    public void heartbeatCountIsLinearInNodes(int count, int domains) {
        Fleet fleet = new Fleet(count, domains);
        int sent = fleet.runFor(2_000);
        assertEquals(fleet.delegates().size(), domains);
        assertTrue(sent <= count + domains * domains, sent + " heartbeats per round");
    }

    /**
     * A silent delegate is replaced before request counts expire, and becomes the delegate again when it responds.
     *
     * @param count number of nodes
     * @param domains number of failure domains
     */
    @Test(dataProvider = "fleets")
    public void silentDelegateIsReplacedUntilItReturns(int count, int domains) {
        Fleet fleet = new Fleet(count, domains);
        fleet.runFor(2_000);
        Set<String> first = fleet.delegates();
        fleet.down.addAll(first);
        fleet.runFor(MAX_LOAD_AGE_MILLIS);
        int domainsLeft = Math.min(domains, count - domains);
        assertEquals(fleet.delegates().size(), domainsLeft);
        int sent = fleet.runRound();
        assertTrue(sent <= 2 * count + domains * domains, sent + " heartbeats per round");
        fleet.down.clear();
        fleet.runFor(MAX_LOAD_AGE_MILLIS);
        assertEquals(fleet.delegates(), first);
    }

    /** A delegate that announces its shutdown is replaced without waiting for a timeout. */
    @Test
    public void stoppingDelegateIsReplacedImmediately() {
        Fleet fleet = new Fleet(30, 3);
        fleet.runFor(2_000);
        Set<String> first = fleet.delegates();
        fleet.stopping.addAll(first);
        fleet.runFor(2 * PERIOD_MILLIS);
        assertEquals(fleet.delegates().size(), 6, "the stopping delegates and their successors");
    }
}
