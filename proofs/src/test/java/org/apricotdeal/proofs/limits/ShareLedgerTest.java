package org.apricotdeal.proofs.limits;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.kernel.id.CallerId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.misc.Invariants;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.policy.limits.ShareLedger;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests {@link ShareLedger} on a simulated network that loses, repeats and delays messages and is partitioned. */
public final class ShareLedgerTest {
    private static final CallerId CALLER = new CallerId("guild");
    private static final long DEMAND_PERIOD_MILLIS = 100;
    private static final double EPSILON = 1e-6;

    /** Nodes that lend shares to each other on a simulated network. */
    private static final class Fleet {
        private final Scheduler scheduler;
        private final Network network;
        private final List<NodeId> ids = new ArrayList<>();
        private final List<ShareLedger> ledgers = new ArrayList<>();
        private final double[] demand;

        private Fleet(long seed, int nodes) {
            scheduler = new Scheduler(seed);
            network = new Network(scheduler, 500, 3_000);
            demand = new double[nodes];
            for (int i = 0; i < nodes; i++) {
                ids.add(new NodeId("node-" + i));
                ledgers.add(null);
            }
            for (int i = 0; i < nodes; i++) {
                restart(i);
                int node = i;
                scheduler.every(DEMAND_PERIOD_MILLIS, () -> tick(node));
            }
        }

        private void restart(int node) {
            ShareLedger ledger = new ShareLedger(ids.get(node), scheduler.wallMillis());
            ledger.nodesChanged(scheduler.monotonicMillis(), ids);
            ledgers.set(node, ledger);
        }

        private void tick(int node) {
            if (!network.isPaused(ids.get(node).value())) {
                long nowMillis = scheduler.monotonicMillis();
                send(node, ledgers.get(node).updateDemand(nowMillis, CALLER, demand[node]));
            }
            checkSum();
        }

        private void send(int node, List<ShareLedger.Outgoing> outgoing) {
            for (ShareLedger.Outgoing out : outgoing) {
                int to = ids.indexOf(out.to());
                network.send(ids.get(node).value(), out.to().value(), () -> {
                    long nowMillis = scheduler.monotonicMillis();
                    send(to, ledgers.get(to).received(nowMillis, ids.get(node), out.message()));
                    checkSum();
                });
            }
        }

        private double share(int node) {
            return ledgers.get(node).share(scheduler.monotonicMillis(), CALLER);
        }

        private void checkSum() {
            if (ledgers.contains(null)) {
                return;
            }
            double sum = 0;
            for (int i = 0; i < ids.size(); i++) {
                sum += share(i);
            }
            double total = sum;
            Invariants.check(
                    total <= 1 + EPSILON,
                    "limit-held",
                    () -> "shares in force sum to " + total + " at " + scheduler.monotonicMillis() + " ms");
        }

        private void applyRandomFault() {
            int node = scheduler.random().nextInt(ids.size());
            int other = scheduler.random().nextInt(ids.size());
            String name = ids.get(node).value();
            switch (scheduler.random().nextInt(6)) {
                case 0 -> network.cut(name, ids.get(other).value(), true);
                case 1 -> network.healAll();
                case 2 -> restart(node);
                case 3 -> network.paused(name, !network.isPaused(name));
                default ->
                    demand[node] =
                            scheduler.random().nextDouble() * scheduler.random().nextInt(3);
            }
        }
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[20][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i + 1};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void sumOfSharesNeverExceedsTheLimit(long seed) {
        Fleet fleet = new Fleet(seed, 5);
        fleet.network.faults(0.1, 0.1);
        fleet.scheduler.every(230, fleet::applyRandomFault);
        fleet.scheduler.runUntil(300_000);
    }

    @Test
    public void idleNodesLendToTheNodeWithDemand() {
        Fleet fleet = new Fleet(1, 4);
        fleet.scheduler.runUntil(6_000);
        assertEquals(fleet.share(0), 0.25, EPSILON);
        fleet.demand[0] = 1;
        fleet.scheduler.runUntil(9_000);
        assertTrue(fleet.share(0) > 0.95, "share " + fleet.share(0));
        fleet.demand[0] = 0.1;
        fleet.scheduler.runUntil(9_300);
        assertTrue(
                fleet.share(0) <= 0.25 + EPSILON, "the loans should be returned before they expire: " + fleet.share(0));
    }

    @Test
    public void partitionedNodesKeepTheirBaseShare() {
        Fleet fleet = new Fleet(2, 4);
        fleet.demand[0] = 1;
        fleet.scheduler.runUntil(9_000);
        for (int i = 1; i < 4; i++) {
            fleet.network.cut("node-0", "node-" + i, true);
            fleet.network.cut("node-" + i, "node-0", true);
            fleet.demand[i] = 1;
        }
        fleet.scheduler.runUntil(9_000 + ShareLedger.LOAN_TERM_MILLIS + 500);
        assertEquals(fleet.share(0), 0.25, EPSILON);
        assertEquals(fleet.share(1) + fleet.share(2) + fleet.share(3), 0.75, EPSILON);
    }

    @Test
    public void repeatedNodeListDoesNotDelayTheBaseShare() {
        NodeId self = new NodeId("node-0");
        List<NodeId> nodes = List.of(self, new NodeId("node-1"));
        ShareLedger ledger = new ShareLedger(self, 1);
        for (long nowMillis = 0; nowMillis <= 20_000; nowMillis += 1_000) {
            ledger.nodesChanged(nowMillis, nodes);
        }
        assertEquals(ledger.share(20_000, new CallerId("any")), 0.5, EPSILON);
    }

    @Test
    public void joiningNodeUsesItsShareOnlyAfterTheRiseDelay() {
        NodeId first = new NodeId("node-0");
        NodeId second = new NodeId("node-1");
        ShareLedger known = new ShareLedger(first, 1);
        known.nodesChanged(0, List.of(first));
        assertEquals(known.share(1, CALLER), 1.0, EPSILON);
        ShareLedger joining = new ShareLedger(second, 1);
        joining.nodesChanged(10_000, List.of(first, second));
        assertEquals(joining.share(10_000, CALLER), 0.0, EPSILON);
        known.nodesChanged(12_000, List.of(first, second));
        assertEquals(known.share(12_000, CALLER), 0.5, EPSILON);
        assertEquals(joining.share(10_000 + ShareLedger.RISE_DELAY_MILLIS, CALLER), 0.5, EPSILON);
    }
}
