package org.apricotdeal.proofs.relay;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.RefusalReason;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that no request is sent to targets of an evacuated failure domain, on whichever way it would get there. */
public final class EvacuatedTargetsTest {
    private static final FailureDomainId OTHER = new FailureDomainId("b");
    private static final Target HERE = RelayFixture.target("v1", 4);
    private static final Target THERE = new Target(
            new TargetId(new VmId("v2"), 1),
            RelayFixture.QUEUE,
            "v2:80",
            "v1",
            OTHER,
            4,
            List.of(new VmId("v2")),
            OptionalLong.empty());
    private static final Target THERE_TOO = new Target(
            new TargetId(new VmId("v3"), 1),
            RelayFixture.QUEUE,
            "v3:80",
            "v1",
            OTHER,
            4,
            List.of(new VmId("v3")),
            OptionalLong.empty());

    private static List<RelayAction> evacuate(RelayFixture relay, FailureDomainId... domains) {
        return relay.step(new RelayEvent.EvacuationsChanged(Set.of(domains)));
    }

    private static RelayAction.Refuse onlyRefusal(List<RelayAction> actions) {
        List<RelayAction.Refuse> refusals = RelayFixture.actionsOfType(actions, RelayAction.Refuse.class);
        assertEquals(refusals.size(), 1, actions.toString());
        return refusals.getFirst();
    }

    /** A burst of first attempts, twice as many as the other failure domain has slots. */
    @Test
    public void firstAttemptsGoElsewhereUntilTheWordIsTakenBack() {
        RelayFixture relay = new RelayFixture();
        relay.setTargets(HERE, THERE);
        evacuate(relay, RelayFixture.HOME);
        for (int i = 0; i < 8; i++) {
            for (RelayAction.Send sent :
                    RelayFixture.actionsOfType(relay.arrive(RetrySafety.STREAM), RelayAction.Send.class)) {
                assertEquals(sent.target(), THERE);
            }
        }
        List<RelayAction.Send> released = RelayFixture.actionsOfType(evacuate(relay), RelayAction.Send.class);
        assertTrue(released.stream().allMatch(sent -> sent.target().equals(HERE)), released.toString());
        assertEquals(released.size(), 4);
    }

    @Test
    public void retryGoesElsewhere() {
        RelayFixture relay = new RelayFixture();
        relay.setTargets(THERE);
        RelayAction.Send sent = RelayFixture.onlySend(relay.arrive(RetrySafety.STREAM));
        relay.setTargets(HERE, THERE, THERE_TOO);
        evacuate(relay, RelayFixture.HOME);
        assertEquals(
                RelayFixture.onlySend(relay.fail(sent, AttemptOutcome.BROKEN)).target(), THERE_TOO);
    }

    /** A stream that makes no progress is moved, and its target is suspected and probed. */
    @Test
    public void movedStreamAndProbeStayAway() {
        RelayFixture relay = new RelayFixture();
        relay.setTargets(HERE);
        relay.arrive(RetrySafety.STREAM);
        relay.setTargets(HERE, THERE, THERE_TOO);
        evacuate(relay, RelayFixture.HOME, OTHER);
        List<RelayAction> stalled = relay.advance(6_000);
        assertEquals(RelayFixture.actionsOfType(stalled, RelayAction.Send.class), List.of());
        evacuate(relay, RelayFixture.HOME);
        for (RelayAction.Send sent : RelayFixture.actionsOfType(relay.advance(1_000), RelayAction.Send.class)) {
            assertEquals(sent.target().failureDomain(), OTHER);
        }
    }

    /** Requests that wait for the evacuated target only are refused at once, not at their deadline. */
    @Test
    public void waitingRequestsAreRefusedAtOnce() {
        RelayFixture relay = new RelayFixture();
        relay.setTargets(RelayFixture.target("v1", 1));
        RelayAction.Send running = RelayFixture.onlySend(relay.arrive(RetrySafety.STREAM));
        relay.step(new RelayEvent.AnswerStarted(running.attempt()));
        relay.step(new RelayEvent.RequestFinished(running.attempt()));
        RelayFixture.onlySend(relay.arrive(RetrySafety.STREAM));
        List<RelayAction> waiting = relay.arrive(RetrySafety.STREAM);
        assertEquals(waiting, List.of());
        RelayAction.Refuse refusal = onlyRefusal(evacuate(relay, RelayFixture.HOME));
        assertEquals(refusal.reason(), RefusalReason.EVACUATED);
        assertTrue(refusal.retryAfterMillis() > 0, refusal.toString());
    }

    /** All failure domains are evacuated: callers are told at once when to come back, until one is taken back. */
    @Test
    public void allDomainsEvacuatedMeansARefusalAtOnce() {
        RelayFixture relay = new RelayFixture();
        relay.setTargets(HERE, THERE);
        evacuate(relay, RelayFixture.HOME, OTHER);
        RelayAction.Refuse refusal = onlyRefusal(relay.arrive(RetrySafety.IDEMPOTENT));
        assertEquals(refusal.reason(), RefusalReason.EVACUATED);
        assertTrue(refusal.retryAfterMillis() > 0, refusal.toString());
        evacuate(relay, OTHER);
        assertEquals(RelayFixture.onlySend(relay.arrive(RetrySafety.IDEMPOTENT)).target(), HERE);
    }

    /** What runs is left to end, and a target that opens during the evacuation gets nothing either. */
    @Test
    public void runningRequestIsLeftAndNewTargetIsBarred() {
        RelayFixture relay = new RelayFixture();
        relay.setTargets(HERE);
        RelayAction.Send sent = RelayFixture.onlySend(relay.arrive(RetrySafety.STREAM));
        assertEquals(evacuate(relay, RelayFixture.HOME), List.of());
        relay.setTargets(HERE, RelayFixture.target("v4", 4));
        assertEquals(onlyRefusal(relay.arrive(RetrySafety.STREAM)).reason(), RefusalReason.EVACUATED);
        assertEquals(relay.step(new RelayEvent.RequestFinished(sent.attempt())), List.of());
    }

    /** An attempt that was withheld before its first byte goes elsewhere, and its target is not suspected. */
    @Test
    public void withheldAttemptGoesElsewhere() {
        RelayFixture relay = new RelayFixture();
        relay.setTargets(HERE);
        RelayAction.Send sent = RelayFixture.onlySend(relay.arrive(RetrySafety.ONCE));
        relay.setTargets(HERE, THERE);
        evacuate(relay, RelayFixture.HOME);
        List<RelayAction> actions = relay.fail(sent, AttemptOutcome.WITHHELD);
        assertEquals(RelayFixture.onlySend(actions).target(), THERE);
        assertEquals(RelayFixture.actionsOfType(actions, RelayAction.SuspectTarget.class), List.of());
    }
}
