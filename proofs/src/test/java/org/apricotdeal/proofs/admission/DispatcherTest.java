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

/** Tests individual decisions of {@link Dispatcher}. */
public final class DispatcherTest {
    @Test
    public void dispatchesUpToTargetCapacity() {
        DispatcherFixture fixture = DispatcherFixture.standard(2, 3);
        for (int i = 0; i < 10; i++) {
            fixture.arrive("q" + i, "small", "overnight");
        }
        assertEquals(
                DispatcherFixture.ofType(fixture.allActions, Dispatch.class).size(), 6);
        assertEquals(fixture.dispatcher.waiting(), 4);
    }

    @Test
    public void servesClassBelowItsFloorBeforeMoreUrgentClass() {
        DispatcherFixture fixture = DispatcherFixture.standard(1, 4);
        for (int i = 0; i < 5; i++) {
            fixture.send(new DispatcherEvent.Arrived(DispatcherFixture.arrival("u" + i, "large", "urgent")
                    .estimatedTokens(10)
                    .build()));
        }
        fixture.arrive("o0", "small", "overnight");
        assertEquals(fixture.dispatcher.waiting(), 2);
        List<DispatcherAction> actions = fixture.send(new Finished(new RequestId("u0"), FinishOutcome.COMPLETED));
        assertEquals(
                DispatcherFixture.ofType(actions, Dispatch.class).getFirst().request(), new RequestId("o0"));
        List<DispatcherAction> next = fixture.send(new Finished(new RequestId("u1"), FinishOutcome.COMPLETED));
        assertEquals(DispatcherFixture.ofType(next, Dispatch.class).getFirst().request(), new RequestId("u4"));
    }

    @Test
    public void preemptsMostRecentStreamForUrgentRequestAndResumesIt() {
        DispatcherFixture fixture = DispatcherFixture.standard(1, 4);
        for (int i = 0; i < 4; i++) {
            fixture.arrive("o" + i, "large", "overnight");
        }
        fixture.send(new Progress(new RequestId("o3"), 5));
        fixture.arrive("u0", "small", "urgent");
        List<DispatcherAction> actions = fixture.tickAt(fixture.nowMillis + 200);
        assertEquals(DispatcherFixture.ofType(actions, Preempt.class).getFirst().request(), new RequestId("o3"));
        assertEquals(
                DispatcherFixture.ofType(actions, Dispatch.class).getFirst().request(), new RequestId("u0"));
        List<DispatcherAction> after = fixture.send(new Finished(new RequestId("u0"), FinishOutcome.COMPLETED));
        assertEquals(DispatcherFixture.ofType(after, Dispatch.class).getFirst().request(), new RequestId("o3"));
        assertEquals(DispatcherFixture.ofType(after, Dispatch.class).getFirst().attempt(), 2);
    }

    @Test
    public void refusesRequestsPredictedToStartLate() {
        DispatcherFixture fixture = DispatcherFixture.standard(1, 2);
        List<DispatcherAction> actions = List.of();
        for (int i = 0; i < 12; i++) {
            actions = fixture.arrive("u" + i, "small", "urgent");
        }
        assertEquals(DispatcherFixture.ofType(actions, Refuse.class).getFirst().reason(), RefusalReason.PREDICTED_LATE);
    }

    @Test
    public void refusesRequestsOverTheLimitWithRetryDelay() {
        DispatcherFixture fixture = DispatcherFixture.standard(4, 16);
        List<DispatcherAction> actions = List.of();
        for (int i = 0; i < 4; i++) {
            actions = fixture.arrive("q" + i, "limited", "overnight");
        }
        Refuse refusal = DispatcherFixture.ofType(actions, Refuse.class).getFirst();
        assertEquals(refusal.reason(), RefusalReason.LIMIT);
        assertTrue(refusal.retryAfterMillis() >= 100, refusal.toString());
    }

    @Test
    public void forwardsARequestAtMostOnce() {
        DispatcherFixture fixture = DispatcherFixture.standard(0, 0);
        FailureDomainId other = new FailureDomainId("b");
        fixture.send(new DispatcherEvent.DomainsReported(
                List.of(new DomainLoad(other, DispatcherFixture.MODEL, new ClassId("urgent"), 1, fixture.nowMillis))));
        List<DispatcherAction> forwarded = fixture.send(new DispatcherEvent.Arrived(
                DispatcherFixture.arrival("f1", "small", "urgent").hops(1).build()));
        assertEquals(
                DispatcherFixture.ofType(forwarded, Refuse.class).getFirst().reason(), RefusalReason.NO_CAPACITY);
        List<DispatcherAction> own = fixture.arrive("q1", "small", "urgent");
        assertEquals(DispatcherFixture.ofType(own, Forward.class).getFirst().failureDomain(), other);
        List<DispatcherAction> next = fixture.arrive("q2", "small", "urgent");
        assertTrue(
                DispatcherFixture.ofType(next, Forward.class).isEmpty(),
                "the report's one open stream is used up: " + next);
    }

    @Test
    public void resumesBrokenStreamAndBoundsRetriesWithoutProgress() {
        DispatcherFixture fixture = DispatcherFixture.standard(2, 20);
        List<GiveUp> givenUp = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            fixture.arrive("q" + i, "small", "overnight");
        }
        fixture.send(new Progress(new RequestId("q0"), 1));
        fixture.send(new Progress(new RequestId("q0"), 10));
        List<DispatcherAction> resumed = fixture.send(new Finished(new RequestId("q0"), FinishOutcome.BROKEN));
        assertEquals(
                DispatcherFixture.ofType(resumed, Dispatch.class).getFirst().attempt(), 2);
        for (int round = 0; round < 100 && givenUp.size() < 19; round++) {
            for (int i = 1; i < 20; i++) {
                RequestId id = new RequestId("q" + i);
                givenUp.addAll(DispatcherFixture.ofType(
                        fixture.send(new Finished(id, FinishOutcome.NOT_STARTED)), GiveUp.class));
            }
            fixture.tickAt(fixture.nowMillis + 2_100);
        }
        assertEquals(givenUp.size(), 19, "each request ends after the retry budget is exhausted");
        assertTrue(givenUp.stream().noneMatch(GiveUp::mayHaveRun), givenUp.toString());
        long retries = fixture.allActions.stream()
                .filter(a -> a instanceof Dispatch d && d.attempt() > 1)
                .count();
        assertTrue(retries <= 14, "retries within the budget: " + retries);
    }

    @Test
    public void removedTargetKeepsRunningRequestsAndGetsNoNewOnes() {
        DispatcherFixture fixture = DispatcherFixture.standard(1, 2);
        fixture.arrive("q0", "small", "overnight");
        fixture.send(new CapacityChanged(List.of()));
        List<DispatcherAction> actions = fixture.arrive("q1", "small", "overnight");
        assertTrue(DispatcherFixture.ofType(actions, Dispatch.class).isEmpty());
        fixture.send(new Finished(new RequestId("q0"), FinishOutcome.COMPLETED));
        assertEquals(fixture.dispatcher.inProgress(), 0);
    }

    @Test
    public void servesSmallCallerBeforeBacklogOfLargeCaller() {
        for (CallerWeighting weighting : CallerWeighting.values()) {
            DispatcherFixture fixture =
                    new DispatcherFixture(DispatcherFixture.entries(weighting), AdmissionOptions.DEFAULT, 1, 2);
            for (int i = 0; i < 50; i++) {
                fixture.arrive("l" + i, "large", "overnight");
            }
            fixture.arrive("s0", "small", "overnight");
            List<DispatcherAction> actions = fixture.send(new Finished(new RequestId("l0"), FinishOutcome.COMPLETED));
            assertEquals(
                    DispatcherFixture.ofType(actions, Dispatch.class).getFirst().request(),
                    new RequestId("s0"),
                    weighting.name());
        }
    }

    @Test
    public void cancellingRunningRequestFreesItsSlot() {
        DispatcherFixture fixture = DispatcherFixture.standard(1, 1);
        fixture.arrive("q0", "small", "overnight");
        fixture.arrive("q1", "small", "overnight");
        List<DispatcherAction> actions = fixture.send(new DispatcherEvent.Cancelled(new RequestId("q0")));
        assertEquals(
                DispatcherFixture.ofType(actions, Dispatch.class).getFirst().request(), new RequestId("q1"));
    }

    @Test
    public void forwardsAfterHalfOfTheWaitAndResumesLocallyIfForwardingBreaks() {
        DispatcherFixture fixture = DispatcherFixture.standard(1, 1);
        fixture.arrive("q0", "large", "urgent");
        fixture.arrive("q1", "small", "booking");
        FailureDomainId other = new FailureDomainId("b");
        fixture.send(new DispatcherEvent.DomainsReported(
                List.of(new DomainLoad(other, DispatcherFixture.MODEL, new ClassId("booking"), 1, fixture.nowMillis))));
        assertTrue(DispatcherFixture.ofType(fixture.tickAt(fixture.nowMillis + 100), Forward.class)
                .isEmpty());
        List<DispatcherAction> later = fixture.tickAt(fixture.nowMillis + 1_100);
        assertEquals(DispatcherFixture.ofType(later, Forward.class).getFirst().request(), new RequestId("q1"));
        fixture.send(new Progress(new RequestId("q1"), 3));
        fixture.send(new Finished(new RequestId("q1"), FinishOutcome.BROKEN));
        List<DispatcherAction> freed = fixture.send(new Finished(new RequestId("q0"), FinishOutcome.COMPLETED));
        assertEquals(DispatcherFixture.ofType(freed, Dispatch.class).getFirst().request(), new RequestId("q1"));
    }

    @Test
    public void failingTargetIsPausedAndThenProbedWithOneRequest() {
        DispatcherFixture fixture = DispatcherFixture.standard(1, 4);
        fixture.arrive("q0", "small", "overnight");
        List<DispatcherAction> failed = fixture.send(new Finished(new RequestId("q0"), FinishOutcome.NOT_STARTED));
        assertTrue(
                DispatcherFixture.ofType(failed, Dispatch.class).isEmpty(),
                "no dispatch right after the failure: " + failed);
        fixture.arrive("q1", "small", "overnight");
        List<DispatcherAction> probe = fixture.tickAt(fixture.nowMillis + 150);
        assertEquals(DispatcherFixture.ofType(probe, Dispatch.class).size(), 1, "a single request is sent as a probe");
        RequestId probed =
                DispatcherFixture.ofType(probe, Dispatch.class).getFirst().request();
        fixture.send(new Progress(probed, 1));
        List<DispatcherAction> after = fixture.tickAt(fixture.nowMillis + 20);
        assertEquals(DispatcherFixture.ofType(after, Dispatch.class).size(), 1, "all slots after a success: " + after);
    }

    @Test
    public void backlogOfLargeCallerDoesNotGetSmallCallerRefused() {
        DispatcherFixture fixture = DispatcherFixture.standard(1, 40);
        List<DispatcherAction> actions = List.of();
        for (int i = 0; i < 200; i++) {
            actions = fixture.arrive("l" + i, "large", "urgent");
        }
        assertEquals(DispatcherFixture.ofType(actions, Refuse.class).getFirst().reason(), RefusalReason.PREDICTED_LATE);
        List<DispatcherAction> small = fixture.arrive("s0", "small", "urgent");
        assertTrue(small.isEmpty(), "the request should wait: " + small);
        List<DispatcherAction> next = fixture.send(new Finished(new RequestId("l0"), FinishOutcome.COMPLETED));
        assertEquals(DispatcherFixture.ofType(next, Dispatch.class).getFirst().request(), new RequestId("s0"));
    }
}
