package org.apricotdeal.proofs.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.policy.ColdVm;
import org.apricotdeal.relay.policy.FleetNode;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayDispatcher;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.RetryBudget;
import org.apricotdeal.relay.policy.Target;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Replays the load of a large fleet while failure domains are evacuated: callers still reach the nodes there, and the
 * replicas of the other failure domains have slots for them.
 */
public final class EvacuationPlacementTest {
    private static final long SETTLING_MILLIS = 5_000;
    private static final long MEASURED_MILLIS = 10_000;
    private static final double MAX_NEW_CONNECTION_SHARE = 0.1;

    /** Share of sends to full replicas, at three quarters of the slots. */
    private static final double MAX_OVERFULL_SHARE = 0.05;

    private static final double MAX_REFUSED_SHARE = 0.005;

    /** Ratio of the refused shares of callers by the node that they reach, where some have to be refused. */
    private static final double MAX_REFUSED_RATIO = 3;

    private static SimPlacement evacuated(int domains, double load, long seed) {
        SimPlacement fleet = new SimPlacement(seed, load);
        fleet.run(SETTLING_MILLIS);
        fleet.evacuate(domains);
        fleet.run(SETTLING_MILLIS);
        fleet.resetCounts();
        fleet.run(MEASURED_MILLIS);
        return fleet;
    }

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {{1, 0.5, 1L}, {1, 0.6, 1L}, {1, 0.6, 2L}, {2, 0.3, 1L}, {2, 0.4, 1L}, {2, 0.4, 2L}};
    }

    /**
     * The replicas that are left have slots for all: hardly anyone is refused, at whichever node.
     *
     * @param domains number of evacuated failure domains of five
     * @param load share of all slots that the requests occupy
     * @param seed seed of the arrivals
     */
    @Test(dataProvider = "loads")
    public void callersOfEvacuatedDomainsAreServedElsewhere(int domains, double load, long seed) {
        SimPlacement fleet = evacuated(domains, load, seed);
        String summary = fleet.summary();
        assertTrue(fleet.refusedShare(0, domains) <= MAX_REFUSED_SHARE, summary);
        assertTrue(fleet.refusedShare(domains, SimPlacement.DOMAINS.size()) <= MAX_REFUSED_SHARE, summary);
        assertTrue(fleet.newConnectionShare() <= MAX_NEW_CONNECTION_SHARE, summary);
        assertTrue(fleet.overfullShare() <= MAX_OVERFULL_SHARE, summary);
    }

    @DataProvider
    public Object[][] overloads() {
        return new Object[][] {{1, 0.75, 1L}, {1, 0.75, 2L}, {1, 0.9, 1L}, {1, 0.9, 2L}, {2, 0.6, 1L}, {2, 0.7, 1L}};
    }

    /**
     * The replicas that are left have too few slots: who is refused depends little on the node that a caller has reached.
     *
     * @param domains number of evacuated failure domains of five
     * @param load share of all slots that the requests would occupy
     * @param seed seed of the arrivals
     */
    @Test(dataProvider = "overloads")
    public void refusalsAreSharedByAllNodes(int domains, double load, long seed) {
        SimPlacement fleet = evacuated(domains, load, seed);
        double there = fleet.refusedShare(0, domains);
        double elsewhere = fleet.refusedShare(domains, SimPlacement.DOMAINS.size());
        String summary = "refused there " + there + ", elsewhere " + elsewhere + "; " + fleet.summary();
        assertTrue(there <= MAX_REFUSED_RATIO * elsewhere, summary);
    }

    /**
     * A flood at all nodes while a VM is cold and another failure domain is evacuated. The nodes that may send to the VM stay
     * the same, so that its bound holds also between nodes that know of the evacuation and nodes that do not.
     */
    @Test
    public void evacuationLeavesTheNodesOfColdVmAsTheyWere() {
        Set<String> senders = sendersToColdVm(Set.of());
        assertEquals(sendersToColdVm(Set.of(new FailureDomainId("b"))), senders);
        assertEquals(senders.size(), 4, senders.toString());
    }

    private static Set<String> sendersToColdVm(Set<FailureDomainId> evacuated) {
        RelayFixture callers = new RelayFixture();
        Target target = RelayFixture.target("cold", 60);
        Set<String> senders = new HashSet<>();
        for (FleetNode node : SimPlacement.nodes()) {
            RelayDispatcher dispatcher = new RelayDispatcher(
                    node, new RetryBudget(10_000, 0.2, 100, 1), RandomSource.SPLIT_MIX_64.create(1));
            dispatcher.step(0, new RelayEvent.NodesChanged(SimPlacement.nodes()));
            dispatcher.step(0, new RelayEvent.ColdVmsChanged(Map.of(target.id().vm(), new ColdVm(Long.MAX_VALUE, 39))));
            dispatcher.step(0, new RelayEvent.TargetsChanged(List.of(target)));
            dispatcher.step(0, new RelayEvent.EvacuationsChanged(evacuated));
            callers.nowMillis = SETTLING_MILLIS;
            List<RelayAction> actions = dispatcher.step(
                    SETTLING_MILLIS, new RelayEvent.RequestArrived(callers.arrival(RetrySafety.STREAM, 2)));
            if (actions.stream().anyMatch(RelayAction.Send.class::isInstance)) {
                senders.add(node.name());
            }
        }
        return senders;
    }
}
