package org.apricotdeal.proofs.admission;

import java.util.ArrayList;
import java.util.List;

import org.apricotdeal.catalogue.model.CallerWeighting;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.policy.admission.AdmissionOptions;
import org.apricotdeal.policy.admission.Dispatcher;
import org.apricotdeal.policy.admission.DispatcherAction;
import org.apricotdeal.policy.admission.DispatcherAction.Dispatch;
import org.apricotdeal.policy.admission.DispatcherAction.Forward;
import org.apricotdeal.policy.admission.DispatcherAction.GiveUp;
import org.apricotdeal.policy.admission.DispatcherAction.Preempt;
import org.apricotdeal.policy.admission.DispatcherAction.Refuse;
import org.apricotdeal.policy.admission.DispatcherEvent;
import org.apricotdeal.policy.admission.DispatcherEvent.CapacityChanged;
import org.apricotdeal.policy.admission.DispatcherEvent.Finished;
import org.apricotdeal.policy.admission.DispatcherEvent.Progress;
import org.apricotdeal.policy.admission.DomainLoad;
import org.apricotdeal.policy.admission.FinishOutcome;
import org.apricotdeal.policy.admission.RefusalReason;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests single decisions of {@link Dispatcher}. */
public final class DispatcherTest {
    @Test
    public void dispatchesNoMoreThanTheTargetsDecode() {
        Sessions session = Sessions.standard(2, 3);
        for (int i = 0; i < 10; i++) {
            session.arrive("q" + i, "small", "overnight");
        }
        assertEquals(Sessions.only(session.all, Dispatch.class).size(), 6);
        assertEquals(session.dispatcher.waiting(), 4);
    }

    @Test
    public void classBelowItsFloorGoesBeforeMoreUrgentOne() {
        Sessions session = Sessions.standard(1, 4);
        for (int i = 0; i < 5; i++) {
            session.send(new DispatcherEvent.Arrived(Sessions.arrival("u" + i, "large", "urgent")
                    .estimatedTokens(10)
                    .build()));
        }
        session.arrive("o0", "small", "overnight");
        assertEquals(session.dispatcher.waiting(), 2);
        List<DispatcherAction> actions = session.send(new Finished(new RequestId("u0"), FinishOutcome.COMPLETED));
        assertEquals(Sessions.only(actions, Dispatch.class).getFirst().request(), new RequestId("o0"));
        List<DispatcherAction> next = session.send(new Finished(new RequestId("u1"), FinishOutcome.COMPLETED));
        assertEquals(Sessions.only(next, Dispatch.class).getFirst().request(), new RequestId("u4"));
    }

    @Test
    public void pausesTheStreamThatBeganLastForUrgentWorkAndResumesIt() {
        Sessions session = Sessions.standard(1, 4);
        for (int i = 0; i < 4; i++) {
            session.arrive("o" + i, "large", "overnight");
        }
        session.send(new Progress(new RequestId("o3"), 5));
        session.arrive("u0", "small", "urgent");
        List<DispatcherAction> actions = session.tickAt(session.nowMillis + 200);
        assertEquals(Sessions.only(actions, Preempt.class).getFirst().request(), new RequestId("o3"));
        assertEquals(Sessions.only(actions, Dispatch.class).getFirst().request(), new RequestId("u0"));
        List<DispatcherAction> after = session.send(new Finished(new RequestId("u0"), FinishOutcome.COMPLETED));
        assertEquals(Sessions.only(after, Dispatch.class).getFirst().request(), new RequestId("o3"));
        assertEquals(Sessions.only(after, Dispatch.class).getFirst().attempt(), 2);
    }

    @Test
    public void refusesAtOnceWhatWouldStartLate() {
        Sessions session = Sessions.standard(1, 2);
        List<DispatcherAction> actions = List.of();
        for (int i = 0; i < 12; i++) {
            actions = session.arrive("u" + i, "small", "urgent");
        }
        assertEquals(Sessions.only(actions, Refuse.class).getFirst().reason(), RefusalReason.PREDICTED_LATE);
    }

    @Test
    public void refusesWhatTheLimitsForbidAndTellsWhenToRetry() {
        Sessions session = Sessions.standard(4, 16);
        List<DispatcherAction> actions = List.of();
        for (int i = 0; i < 4; i++) {
            actions = session.arrive("q" + i, "limited", "overnight");
        }
        Refuse refusal = Sessions.only(actions, Refuse.class).getFirst();
        assertEquals(refusal.reason(), RefusalReason.LIMIT);
        assertTrue(refusal.retryAfterMillis() >= 100, refusal.toString());
    }

    @Test
    public void forwardsOnceAndNeverAForwardedRequest() {
        Sessions session = Sessions.standard(0, 0);
        FailureDomainId other = new FailureDomainId("b");
        session.send(new DispatcherEvent.DomainsReported(
                List.of(new DomainLoad(other, Sessions.MODEL, new ClassId("urgent"), 1, session.nowMillis))));
        List<DispatcherAction> forwarded = session.send(new DispatcherEvent.Arrived(
                Sessions.arrival("f1", "small", "urgent").hops(1).build()));
        assertEquals(Sessions.only(forwarded, Refuse.class).getFirst().reason(), RefusalReason.NO_CAPACITY);
        List<DispatcherAction> own = session.arrive("q1", "small", "urgent");
        assertEquals(Sessions.only(own, Forward.class).getFirst().failureDomain(), other);
        List<DispatcherAction> next = session.arrive("q2", "small", "urgent");
        assertTrue(Sessions.only(next, Forward.class).isEmpty(), "the report's one open stream is used up: " + next);
    }

    @Test
    public void resumesABrokenStreamAndBoundsAttemptsWithoutProgress() {
        Sessions session = Sessions.standard(2, 20);
        List<GiveUp> given = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            session.arrive("q" + i, "small", "overnight");
        }
        session.send(new Progress(new RequestId("q0"), 1));
        session.send(new Progress(new RequestId("q0"), 10));
        List<DispatcherAction> resumed = session.send(new Finished(new RequestId("q0"), FinishOutcome.BROKEN));
        assertEquals(Sessions.only(resumed, Dispatch.class).getFirst().attempt(), 2);
        for (int round = 0; round < 100 && given.size() < 19; round++) {
            for (int i = 1; i < 20; i++) {
                RequestId id = new RequestId("q" + i);
                given.addAll(Sessions.only(session.send(new Finished(id, FinishOutcome.NOT_STARTED)), GiveUp.class));
            }
            session.tickAt(session.nowMillis + 2_100);
        }
        assertEquals(given.size(), 19, "each of the requests ends once the budget is spent");
        assertTrue(given.stream().noneMatch(GiveUp::mayHaveRun), given.toString());
        long retries = session.all.stream()
                .filter(a -> a instanceof Dispatch d && d.attempt() > 1)
                .count();
        assertTrue(retries <= 14, "retries within the budget: " + retries);
    }

    @Test
    public void leavingTargetGetsNoNewWorkAndKeepsItsOwn() {
        Sessions session = Sessions.standard(1, 2);
        session.arrive("q0", "small", "overnight");
        session.send(new CapacityChanged(List.of()));
        List<DispatcherAction> actions = session.arrive("q1", "small", "overnight");
        assertTrue(Sessions.only(actions, Dispatch.class).isEmpty());
        session.send(new Finished(new RequestId("q0"), FinishOutcome.COMPLETED));
        assertEquals(session.dispatcher.inProgress(), 0);
    }

    @Test
    public void smallCallerGoesBeforeTheBacklogOfALargeOne() {
        for (CallerWeighting weighting : CallerWeighting.values()) {
            Sessions session = new Sessions(Sessions.entries(weighting), AdmissionOptions.DEFAULT, 1, 2);
            for (int i = 0; i < 50; i++) {
                session.arrive("l" + i, "large", "overnight");
            }
            session.arrive("s0", "small", "overnight");
            List<DispatcherAction> actions = session.send(new Finished(new RequestId("l0"), FinishOutcome.COMPLETED));
            assertEquals(
                    Sessions.only(actions, Dispatch.class).getFirst().request(), new RequestId("s0"), weighting.name());
        }
    }

    @Test
    public void cancelledRequestFreesItsSlot() {
        Sessions session = Sessions.standard(1, 1);
        session.arrive("q0", "small", "overnight");
        session.arrive("q1", "small", "overnight");
        List<DispatcherAction> actions = session.send(new DispatcherEvent.Cancelled(new RequestId("q0")));
        assertEquals(Sessions.only(actions, Dispatch.class).getFirst().request(), new RequestId("q1"));
    }

    @Test
    public void forwardsWhatHasWaitedForHalfOfItsTimeAndTakesItBackWhenThatBreaks() {
        Sessions session = Sessions.standard(1, 1);
        session.arrive("q0", "large", "urgent");
        session.arrive("q1", "small", "booking");
        FailureDomainId other = new FailureDomainId("b");
        session.send(new DispatcherEvent.DomainsReported(
                List.of(new DomainLoad(other, Sessions.MODEL, new ClassId("booking"), 1, session.nowMillis))));
        assertTrue(Sessions.only(session.tickAt(session.nowMillis + 100), Forward.class)
                .isEmpty());
        List<DispatcherAction> later = session.tickAt(session.nowMillis + 1_100);
        assertEquals(Sessions.only(later, Forward.class).getFirst().request(), new RequestId("q1"));
        session.send(new Progress(new RequestId("q1"), 3));
        session.send(new Finished(new RequestId("q1"), FinishOutcome.BROKEN));
        List<DispatcherAction> freed = session.send(new Finished(new RequestId("q0"), FinishOutcome.COMPLETED));
        assertEquals(Sessions.only(freed, Dispatch.class).getFirst().request(), new RequestId("q1"));
    }

    @Test
    public void targetThatFailsAttemptsGetsNothingForAPauseThenOneRequestAtATime() {
        Sessions session = Sessions.standard(1, 4);
        session.arrive("q0", "small", "overnight");
        List<DispatcherAction> failed = session.send(new Finished(new RequestId("q0"), FinishOutcome.NOT_STARTED));
        assertTrue(Sessions.only(failed, Dispatch.class).isEmpty(), "nothing right after the failure: " + failed);
        session.arrive("q1", "small", "overnight");
        List<DispatcherAction> probe = session.tickAt(session.nowMillis + 150);
        assertEquals(Sessions.only(probe, Dispatch.class).size(), 1, "one request as a probe");
        RequestId probed = Sessions.only(probe, Dispatch.class).getFirst().request();
        session.send(new Progress(probed, 1));
        List<DispatcherAction> after = session.tickAt(session.nowMillis + 20);
        assertEquals(Sessions.only(after, Dispatch.class).size(), 1, "all slots after a success: " + after);
    }

    @Test
    public void smallCallerIsNotRefusedForTheBacklogOfALargeOne() {
        Sessions session = Sessions.standard(1, 40);
        List<DispatcherAction> actions = List.of();
        for (int i = 0; i < 200; i++) {
            actions = session.arrive("l" + i, "large", "urgent");
        }
        assertEquals(Sessions.only(actions, Refuse.class).getFirst().reason(), RefusalReason.PREDICTED_LATE);
        List<DispatcherAction> small = session.arrive("s0", "small", "urgent");
        assertTrue(small.isEmpty(), "it waits: " + small);
        List<DispatcherAction> next = session.send(new Finished(new RequestId("l0"), FinishOutcome.COMPLETED));
        assertEquals(Sessions.only(next, Dispatch.class).getFirst().request(), new RequestId("s0"));
    }
}
