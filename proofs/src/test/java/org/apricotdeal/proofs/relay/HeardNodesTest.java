package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.relay.peer.HeardNodes;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/**
 * Tests for how long the nodes of three failure domains count a node as live after it has ended, if messages between them are
 * late. News of the dead node came around and was younger each time, so that its failure domain had no planner for seconds.
 */
public final class HeardNodesTest {
    private static final String NODE = "n0";
    private static final int DOMAINS = 3;
    private static final int NODES_PER_DOMAIN = 9;
    private static final long PERIOD_MILLIS = 200;
    private static final long LIVE_MILLIS = 2_000;
    private static final long END_OF_NODE_MILLIS = 5_000;
    private static final long END_MILLIS = 30_000;

    /** Hops from a member of a failure domain by two delegates to a member of another one. */
    private static final int MAX_HOPS = 3;

    @DataProvider
    public Object[][] delays() {
        return new Object[][] {{5}, {100}, {300}, {500}};
    }

    @Test(dataProvider = "delays")
    public void deadNodeStayedLive(int maxDelayMillis) {
        for (int seed = 0; seed < 20; seed++) {
            long liveMillis = new Exchange(seed, maxDelayMillis).lastLiveMillis() - END_OF_NODE_MILLIS;
            long waits = MAX_HOPS * (maxDelayMillis + PERIOD_MILLIS);
            assertTrue(
                    liveMillis <= LIVE_MILLIS + waits,
                    "seed " + seed + ": live for " + liveMillis + " ms after its end");
        }
    }

    @Test
    public void nodeThatStartsAnewWithAnEarlierClockIsHeardAgain() {
        HeardNodes heard = new HeardNodes("n1");
        assertTrue(heard.recordRelayed(NODE, heard(1_000, 90_000)));
        assertFalse(heard.recordRelayed(NODE, heard(2_000, 50_000)));
        assertTrue(heard.recordDirect(NODE, heard(3_000, 51_000)));
        assertTrue(heard.recordRelayed(NODE, heard(4_000, 52_000)));
        assertTrue(heard.recordRelayed(NODE, heard(15_000, 10_000)));
    }

    /** A relaying node of an earlier build drops the time of sending; what it tells is judged by age. */
    @Test
    public void heartbeatWithoutItsTimeIsJudgedByAge() {
        HeardNodes heard = new HeardNodes("n1");
        assertTrue(heard.recordRelayed(NODE, heard(1_000, 90_000)));
        assertTrue(heard.recordRelayed(NODE, new HeardNodes.Heard(1_100, OptionalLong.empty())));
        assertFalse(heard.recordRelayed(NODE, heard(1_200, 90_000)));
    }

    @Test
    public void heartbeatsUnderTheOwnNameAreLeftOut() {
        HeardNodes heard = new HeardNodes(NODE);
        assertFalse(heard.recordDirect(NODE, heard(1_000, 90_000)));
        assertFalse(heard.recordRelayed(NODE, heard(1_000, 90_000)));
    }

    private static HeardNodes.Heard heard(long atMillis, long sentMillis) {
        return new HeardNodes.Heard(atMillis, OptionalLong.of(sentMillis));
    }

    /** Heartbeats of members with their delegate and of the delegates with each other, each answered, with random delays. */
    private static final class Exchange {
        private final UniformRandomProvider random;
        private final int maxDelayMillis;
        private final List<HeardNodes> nodes = new ArrayList<>();
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private long nowMillis;

        private record Event(long atMillis, Runnable action) implements Comparable<Event> {
            @Override
            public int compareTo(Event other) {
                return Long.compare(atMillis, other.atMillis);
            }
        }

        Exchange(long seed, int maxDelayMillis) {
            random = RandomSource.SPLIT_MIX_64.create(seed);
            this.maxDelayMillis = maxDelayMillis;
            for (int i = 0; i < DOMAINS * NODES_PER_DOMAIN; i++) {
                nodes.add(new HeardNodes("n" + i));
                int node = i;
                events.add(new Event(random.nextLong(PERIOD_MILLIS), () -> sendAll(node)));
            }
        }

        /** Returns the last time at which any node counted the dead one as live. */
        long lastLiveMillis() {
            long lastMillis = 0;
            while (!events.isEmpty() && events.peek().atMillis() < END_MILLIS) {
                Event event = events.poll();
                nowMillis = event.atMillis();
                event.action().run();
                for (int i = 1; i < nodes.size(); i++) {
                    if (nodes.get(i).isHeardWithin(NODE, LIVE_MILLIS, nowMillis)) {
                        lastMillis = nowMillis;
                    }
                }
            }
            return lastMillis;
        }

        private void sendAll(int node) {
            events.add(new Event(nowMillis + PERIOD_MILLIS, () -> sendAll(node)));
            if (node == 0 && nowMillis >= END_OF_NODE_MILLIS) {
                return;
            }
            int delegate = node / NODES_PER_DOMAIN * NODES_PER_DOMAIN + 1;
            if (node != delegate) {
                send(node, delegate, true);
                return;
            }
            for (int other = 1; other < nodes.size(); other += NODES_PER_DOMAIN) {
                if (other != node) {
                    send(node, other, true);
                }
            }
        }

        private void send(int from, int to, boolean answered) {
            long sentMillis = nowMillis;
            HeardNodes.Heard relayed = nodes.get(from).snapshot().get(NODE);
            events.add(new Event(nowMillis + random.nextLong(maxDelayMillis) + 1, () -> {
                if (from == 0) {
                    nodes.get(to).recordDirect(NODE, heard(nowMillis, sentMillis));
                } else if (relayed != null && sentMillis - relayed.atMillis() < LIVE_MILLIS) {
                    long ageMillis = sentMillis - relayed.atMillis();
                    nodes.get(to)
                            .recordRelayed(NODE, new HeardNodes.Heard(nowMillis - ageMillis, relayed.sentMillis()));
                }
                if (answered && from != 0) {
                    send(to, from, false);
                }
            }));
        }
    }
}
