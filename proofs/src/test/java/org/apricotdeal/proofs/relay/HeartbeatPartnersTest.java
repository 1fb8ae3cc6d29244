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

/** Heartbeats of a fleet grow with its nodes, and reach every node also where delegates are lost. */
public final class HeartbeatPartnersTest {
    private static final long PERIOD_MILLIS = 200;

    /** Time within which other nodes' counts are believed. */
    private static final long LOADS_HOLD_MILLIS = 1_500;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{1, 1}, {4, 3}, {30, 3}, {30, 4}, {300, 3}};
    }

    /** Nodes that exchange heartbeats in rounds; a pair where either is down exchanges nothing. */
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

        /** Plays a round; returns the heartbeats sent. */
        int round() {
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
                        partners.get(to).heard(node.name(), nowMillis);
                        partners.get(node.name()).heard(to, nowMillis);
                    }
                }
            }
            return sent;
        }

        int rounds(long millis) {
            int sent = 0;
            for (long end = nowMillis + millis; nowMillis < end; ) {
                sent = round();
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
     * Each node once sent to each other one.
     *
     * @param count number of nodes
     * @param domains number of failure domains
     */
    @Test(dataProvider = "fleets")
    public void heartbeatsGrowWithTheNodesAndNotWithTheirSquare(int count, int domains) {
        Fleet fleet = new Fleet(count, domains);
        int sent = fleet.rounds(2_000);
        assertEquals(fleet.delegates().size(), domains);
        assertTrue(sent <= count + domains * domains, sent + " heartbeats in a round");
    }

    /**
     * A silent delegate is replaced before counts grow too old, and has its part back when it answers again.
     *
     * @param count number of nodes
     * @param domains number of failure domains
     */
    @Test(dataProvider = "fleets")
    public void silentDelegateIsReplacedAndComesBack(int count, int domains) {
        Fleet fleet = new Fleet(count, domains);
        fleet.rounds(2_000);
        Set<String> first = fleet.delegates();
        fleet.down.addAll(first);
        fleet.rounds(LOADS_HOLD_MILLIS);
        int domainsLeft = Math.min(domains, count - domains);
        assertEquals(fleet.delegates().size(), domainsLeft);
        int sent = fleet.round();
        assertTrue(sent <= 2 * count + domains * domains, sent + " heartbeats in a round");
        fleet.down.clear();
        fleet.rounds(LOADS_HOLD_MILLIS);
        assertEquals(fleet.delegates(), first);
    }

    /** A delegate that stops is passed over at once. */
    @Test
    public void stoppingDelegateIsReplacedAtOnce() {
        Fleet fleet = new Fleet(30, 3);
        fleet.rounds(2_000);
        Set<String> first = fleet.delegates();
        fleet.stopping.addAll(first);
        fleet.rounds(2 * PERIOD_MILLIS);
        assertEquals(fleet.delegates().size(), 6, "the stopping ones and those after them");
    }
}
