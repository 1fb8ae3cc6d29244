package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.relay.health.ReportBudget;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.peer.HeartbeatPartners;
import org.apricotdeal.relay.peer.PlannerChoice;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that a node that is late waits longer for others, and that its doubts cost no more than those of a punctual one. */
public final class LateNodeTest {
    private static final int PEERS = 26;
    private static final int PERIOD_MILLIS = 200;
    private static final int MAX_UNRESPONSIVE_PER_PERIOD = 2;

    @DataProvider
    static Object[][] silences() {
        return new Object[][] {
            // extension, time in which the target is silent, suspected
            {0, 700, true},
            {400, 900, false},
            {400, 1_100, true},
        };
    }

    @Test(dataProvider = "silences")
    public void targetIsSuspectedLaterByTheDelay(long extensionMillis, long silentMillis, boolean suspected) {
        RelayFixture relay = fixture(extensionMillis);
        RelayFixture.onlySend(relay.arrive(RetrySafety.STREAM));
        assertEquals(isSuspected(relay.advance(silentMillis)), suspected);
    }

    @DataProvider
    static Object[][] connections() {
        return new Object[][] {
            // extension, time until the connection has failed, suspected
            {0, 500, true},
            {400, 500, false},
            {400, 900, true},
            {400, 10, true},
        };
    }

    @Test(dataProvider = "connections")
    public void targetIsNotSuspectedForConnectionThatWasOpenedLate(
            long extensionMillis, long failedMillis, boolean suspected) {
        RelayFixture relay = fixture(extensionMillis);
        RelayAction.Send sent = RelayFixture.onlySend(relay.arrive(RetrySafety.STREAM));
        relay.nowMillis += failedMillis;
        assertEquals(isSuspected(relay.fail(sent, AttemptOutcome.NOT_SENT)), suspected);
    }

    private static RelayFixture fixture(long extensionMillis) {
        RelayFixture relay = new RelayFixture();
        relay.setTargets(RelayFixture.target("v1", 2), RelayFixture.target("v2", 2));
        relay.step(new RelayEvent.NodeDelayed(extensionMillis));
        return relay;
    }

    private static boolean isSuspected(List<RelayAction> actions) {
        return !RelayFixture.actionsOfType(actions, RelayAction.SuspectTarget.class)
                .isEmpty();
    }

    /** Guards against a node that hears nobody sending heartbeats to ever more nodes. */
    @Test
    public void nodeThatHearsNobodySendsFewHeartbeats() {
        List<PlannerChoice.Candidate> peers = new ArrayList<>();
        for (int i = 0; i < PEERS; i++) {
            peers.add(new PlannerChoice.Candidate("n" + i, new FailureDomainId("d" + i % 3)));
        }
        HeartbeatPartners partners =
                new HeartbeatPartners(new PlannerChoice.Candidate("self", new FailureDomainId("d0")));
        long nowMillis = 0;
        int most = 0;
        for (int period = 0; period < 200; period++) {
            nowMillis += PERIOD_MILLIS;
            partners.choose(peers, Set.of(), nowMillis);
            most = period < 100
                    ? 0
                    : Math.max(most, partners.dueRecipients(nowMillis).size());
        }
        assertTrue(most <= MAX_UNRESPONSIVE_PER_PERIOD, most + " heartbeats in a period");
    }

    @Test
    public void reportsForDoubtsAreBounded() {
        assertEquals(reportsInTenSeconds(0), 240);
        assertEquals(reportsInTenSeconds(100), 120);
    }

    private static int reportsInTenSeconds(long delayMillis) {
        ReportBudget budget = new ReportBudget();
        int taken = 0;
        for (long nowMillis = 0; nowMillis <= 10_000; nowMillis += 10) {
            taken += budget.tryTake(delayMillis, nowMillis) ? 1 : 0;
        }
        return taken;
    }
}
