package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.relay.model.PromptPartId;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.RefusalReason;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.Target;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what becomes of requests in each state when a part of their prompt becomes known to crash VMs. */
public final class SuspectPromptTest {
    private RelayFixture relay;
    private List<Target> targets;

    @BeforeMethod
    public void create() {
        relay = new RelayFixture();
        targets = List.of(
                RelayFixture.target("v1", 2),
                RelayFixture.target("v2", 2),
                RelayFixture.target("v3", 2),
                RelayFixture.target("v4", 2));
        relay.setTargets(targets.toArray(new Target[0]));
    }

    private Arrival arrival(String... parts) {
        Arrival template = relay.arrival(RetrySafety.STREAM, 2);
        return new Arrival(
                template.id(),
                template.queue(),
                template.route(),
                List.of(parts).stream().map(PromptPartId::new).toList(),
                template.customer(),
                template.priority(),
                template.arrivedMillis(),
                template.deadlineMillis());
    }

    private RelayAction.Send send(Arrival arrival) {
        return RelayFixture.onlySend(relay.step(new RelayEvent.RequestArrived(arrival)));
    }

    /** Loses a request with its first VM and then with the second one. */
    private List<RelayAction> loseTwice(RelayAction.Send first) {
        RelayAction.Send second = RelayFixture.onlySend(relay.fail(first, AttemptOutcome.LOST_BEFORE_ANSWER));
        relay.nowMillis += 150;
        return relay.fail(second, AttemptOutcome.LOST_BEFORE_ANSWER);
    }

    private static List<RelayAction.GiveUp> failures(List<RelayAction> actions) {
        return RelayFixture.actionsOfType(actions, RelayAction.GiveUp.class);
    }

    @Test
    public void lostRequestIsFailedAndNotRefused() {
        RelayAction.Send deadly = send(arrival("dead"));
        List<RelayAction> actions = loseTwice(deadly);
        assertEquals(failures(actions), List.of(new RelayAction.GiveUp(deadly.id(), RefusalReason.SUSPECT_REQUEST)));
        assertEquals(RelayFixture.actionsOfType(actions, RelayAction.Refuse.class), List.of());
    }

    @Test
    public void requestThatHasNotBegunIsWithdrawnAndFailed() {
        RelayAction.Send deadly = send(arrival("dead"));
        RelayAction.Send unbegun = send(arrival("dead"));
        List<RelayAction> actions = loseTwice(deadly);
        assertTrue(actions.contains(new RelayAction.CancelAttempts(unbegun.id())), actions.toString());
        assertTrue(
                failures(actions).contains(new RelayAction.GiveUp(unbegun.id(), RefusalReason.SUSPECT_REQUEST)),
                actions.toString());
    }

    /** Its answer shows that it does not crash its VM. */
    @Test
    public void requestThatIsBeingAnsweredGoesOn() {
        RelayAction.Send deadly = send(arrival("dead"));
        RelayAction.Send begun = send(arrival("dead"));
        relay.dispatcher.recordAnswering(relay.nowMillis, begun.attempt(), 30);
        List<RelayAction> actions = loseTwice(deadly);
        assertEquals(failures(actions).size(), 1);
        assertTrue(!actions.contains(new RelayAction.CancelAttempts(begun.id())), actions.toString());
    }

    /** Guards against a part whose answers are short being held for good, because no trial could clear it. */
    @Test
    public void shortAnswerOfTrialClearsItsParts() {
        loseTwice(send(arrival("short")));
        relay.advance(20_100);
        RelayAction.Send trial = send(arrival("short"));
        relay.nowMillis += 100;
        relay.step(new RelayEvent.RequestFinished(trial.attempt()));
        assertEquals(relay.dispatcher.blamedTraits(), List.of());
        send(arrival("short"));
    }

    @Test
    public void waitingRequestIsRefused() {
        RelayAction.Send deadly = send(arrival("dead"));
        List<RelayAction.Send> sound = new ArrayList<>();
        for (int i = 0; i < 7; i++) {
            sound.add(send(arrival("sound" + i)));
        }
        Arrival waiting = arrival("dead");
        assertEquals(relay.step(new RelayEvent.RequestArrived(waiting)), List.of());
        relay.fail(deadly, AttemptOutcome.LOST_BEFORE_ANSWER);
        List<Target> others = targets.stream()
                .filter(target -> !target.id().equals(deadly.target().id()))
                .toList();
        relay.setTargets(others.toArray(new Target[0]));
        RelayAction.Send done = sound.stream()
                .filter(sent -> others.contains(sent.target()))
                .findFirst()
                .orElseThrow();
        RelayAction.Send second = RelayFixture.onlySend(relay.step(new RelayEvent.RequestFinished(done.attempt())));
        assertEquals(second.id(), deadly.id());
        relay.nowMillis += 150;
        List<RelayAction> actions = relay.fail(second, AttemptOutcome.LOST_BEFORE_ANSWER);
        RelayAction.Refuse refusal =
                RelayFixture.actionsOfType(actions, RelayAction.Refuse.class).getFirst();
        assertEquals(refusal.id(), waiting.id());
        assertEquals(refusal.reason(), RefusalReason.SUSPECT_REQUEST);
    }

    /** The caller is told when the part is tried again, and its request does not count as demand. */
    @Test
    public void newRequestIsRefusedUntilTheEndOfTheHold() {
        loseTwice(send(arrival("dead")));
        List<RelayAction> actions = relay.step(new RelayEvent.RequestArrived(arrival("dead", "more")));
        RelayAction.Refuse refusal =
                RelayFixture.actionsOfType(actions, RelayAction.Refuse.class).getFirst();
        assertEquals(refusal.reason(), RefusalReason.SUSPECT_REQUEST);
        assertEquals(refusal.retryAfterMillis(), 20_000);
    }

    /** One VM of several wants no requests; callers of the others need not wait for it. */
    @Test
    public void pauseOfOneVmDoesNotDelayCallersOfOthers() {
        relay = new RelayFixture(0);
        relay.setTargets(RelayFixture.target("v1", 2), RelayFixture.target("v2", 2));
        relay.step(new RelayEvent.VmPaused(RelayFixture.target("v1", 2).id().vm(), relay.nowMillis + 60_000));
        RelayAction.Send sent = send(arrival("sound"));
        assertEquals(sent.target().id(), RelayFixture.target("v2", 2).id());
        RelayAction.Refuse refusal = RelayFixture.actionsOfType(
                        relay.fail(sent, AttemptOutcome.NOT_RUN), RelayAction.Refuse.class)
                .getFirst();
        assertTrue(refusal.retryAfterMillis() <= 2_000, refusal.toString());
    }

    @Test
    public void callersComeBackWhenThePauseOfAllVmsEnds() {
        relay = new RelayFixture(0);
        relay.setTargets(RelayFixture.target("v1", 2));
        relay.step(new RelayEvent.VmPaused(RelayFixture.target("v1", 2).id().vm(), relay.nowMillis + 5_000));
        RelayAction.Refuse refusal = RelayFixture.actionsOfType(
                        relay.step(new RelayEvent.RequestArrived(arrival("sound"))), RelayAction.Refuse.class)
                .getFirst();
        assertEquals(refusal.retryAfterMillis(), 5_000);
    }
}
