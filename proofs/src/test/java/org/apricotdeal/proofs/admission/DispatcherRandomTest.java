package org.apricotdeal.proofs.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.catalogue.model.CallerWeighting;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.policy.admission.AdmissionOptions;
import org.apricotdeal.policy.admission.DispatcherAction;
import org.apricotdeal.policy.admission.DispatcherEvent;
import org.apricotdeal.policy.admission.DomainLoad;
import org.apricotdeal.policy.admission.FinishOutcome;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.policy.routing.TargetHealth;
import org.apricotdeal.policy.routing.TargetId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Sends random events to the dispatcher and checks that every request ends exactly once. */
public final class DispatcherRandomTest {
    private static final int STEPS = 6_000;
    private static final List<String> CALLERS = List.of("small", "large", "limited", "narrow");
    private static final List<FinishOutcome> ATTEMPT_ENDS =
            List.of(FinishOutcome.COMPLETED, FinishOutcome.FAILED, FinishOutcome.BROKEN, FinishOutcome.NOT_STARTED);
    private static final List<FinishOutcome> FORWARD_ENDS = List.of(
            FinishOutcome.COMPLETED,
            FinishOutcome.FAILED,
            FinishOutcome.BROKEN,
            FinishOutcome.NOT_STARTED,
            FinishOutcome.REFUSED_ELSEWHERE);
    private static final List<TargetHealth> HEALTHS =
            List.of(TargetHealth.HEALTHY, TargetHealth.SLOW, TargetHealth.LEAVING);
    private static final List<String> CLASSES = List.of("urgent", "booking", "overnight");

    /** Tracks the state of every request as the owner of a dispatcher sees it. */
    private static final class RequestTracker {
        private final UniformRandomProvider random;
        private final DispatcherFixture fixture;
        private final Set<RequestId> waiting = new HashSet<>();
        private final Map<RequestId, TargetId> running = new LinkedHashMap<>();
        private final Set<RequestId> forwarded = new HashSet<>();
        private final Set<RequestId> arrivedForwarded = new HashSet<>();
        private final Set<RequestId> possiblyRun = new HashSet<>();
        private final Map<RequestId, Integer> tokens = new HashMap<>();
        private Set<TargetId> openTargets = new HashSet<>();
        private int sequence;
        private int ended;

        private RequestTracker(long seed) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            fixture = new DispatcherFixture(DispatcherFixture.entries(weighting()), AdmissionOptions.DEFAULT, 4, 3);
            changeCapacity();
        }

        private CallerWeighting weighting() {
            return random.nextBoolean() ? CallerWeighting.WEIGHTED : CallerWeighting.SMALL_FIRST;
        }

        private void send(DispatcherEvent event) {
            for (DispatcherAction action : fixture.dispatcher.step(fixture.nowMillis, event)) {
                track(action);
            }
            assertEquals(fixture.dispatcher.inProgress(), waiting.size() + running.size() + forwarded.size());
        }

        private void track(DispatcherAction action) {
            switch (action) {
                case DispatcherAction.Dispatch(RequestId id, TargetId target, int attempt) -> {
                    assertTrue(waiting.remove(id), "dispatched but not waiting: " + id);
                    assertTrue(
                            openTargets.contains(target), "dispatched to a target that takes no new work: " + target);
                    running.put(id, target);
                    possiblyRun.add(id);
                }
                case DispatcherAction.Preempt(RequestId id, TargetId target) -> {
                    assertEquals(running.remove(id), target);
                    waiting.add(id);
                }
                case DispatcherAction.Refuse(RequestId id, var reason, long retryAfterMillis) -> {
                    assertFalse(possiblyRun.contains(id), "refused as not run, but it was dispatched: " + id);
                    end(id);
                }
                case DispatcherAction.GiveUp(RequestId id, var reason, boolean mayHaveRun) -> {
                    assertTrue(possiblyRun.contains(id), "given up but never dispatched: " + id);
                    end(id);
                }
                case DispatcherAction.Forward(RequestId id, var domain) -> {
                    assertFalse(arrivedForwarded.contains(id), "forwarded twice: " + id);
                    assertFalse(possiblyRun.contains(id), "forwarded but dispatched here: " + id);
                    assertTrue(waiting.remove(id));
                    forwarded.add(id);
                }
                case DispatcherAction.SendShare share -> {}
                case DispatcherAction.RecordEvent event -> {}
            }
        }

        private void end(RequestId id) {
            assertTrue(waiting.remove(id) || running.remove(id) != null || forwarded.remove(id), "ended twice: " + id);
            ended++;
        }

        private void step() {
            fixture.nowMillis += random.nextInt(40);
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3 -> arrive();
                case 4, 5 -> progress();
                case 6, 7 -> finishRunning(ATTEMPT_ENDS.get(random.nextInt(ATTEMPT_ENDS.size())));
                case 8 -> finishForwarded(FORWARD_ENDS.get(random.nextInt(FORWARD_ENDS.size())));
                case 9 -> applyRandomChange();
                default -> send(new DispatcherEvent.Tick());
            }
        }

        private void arrive() {
            RequestId id = new RequestId("r" + sequence++);
            int hops = random.nextInt(5) == 0 ? 1 : 0;
            if (hops > 0) {
                arrivedForwarded.add(id);
            }
            waiting.add(id);
            send(new DispatcherEvent.Arrived(DispatcherFixture.arrival(
                            id.value(),
                            CALLERS.get(random.nextInt(CALLERS.size())),
                            CLASSES.get(random.nextInt(CLASSES.size())))
                    .estimatedTokens(1 + random.nextInt(200))
                    .deadlineMillis(random.nextInt(3) == 0 ? 500 : 0)
                    .prompt(random.nextInt(5), 10)
                    .hops(hops)
                    .resumable(random.nextInt(4) > 0)
                    .build()));
        }

        private RequestId pick(Iterable<RequestId> from, int size) {
            int skip = size == 0 ? 0 : random.nextInt(size);
            for (RequestId id : from) {
                if (skip-- == 0) {
                    return id;
                }
            }
            return null;
        }

        private void progress() {
            RequestId id = pick(running.keySet(), running.size());
            if (id != null) {
                send(new DispatcherEvent.Progress(id, tokens.merge(id, 1 + random.nextInt(20), Integer::sum)));
            }
        }

        private void finishRunning(FinishOutcome outcome) {
            RequestId id = pick(running.keySet(), running.size());
            if (id != null) {
                finish(id, outcome, outcome == FinishOutcome.BROKEN || outcome == FinishOutcome.NOT_STARTED);
            }
        }

        private void finishForwarded(FinishOutcome outcome) {
            RequestId id = pick(new ArrayList<>(new java.util.TreeSet<>(forwarded)), forwarded.size());
            if (id == null) {
                return;
            }
            if (outcome == FinishOutcome.BROKEN) {
                possiblyRun.add(id);
            }
            finish(id, outcome, outcome != FinishOutcome.COMPLETED && outcome != FinishOutcome.FAILED);
        }

        /** Ends an attempt; the request waits if the dispatcher decides whether it is retried or ended. */
        private void finish(RequestId id, FinishOutcome outcome, boolean dispatcherDecides) {
            running.remove(id);
            forwarded.remove(id);
            if (dispatcherDecides) {
                waiting.add(id);
            } else {
                ended++;
            }
            send(new DispatcherEvent.Finished(id, outcome));
        }

        private void applyRandomChange() {
            switch (random.nextInt(4)) {
                case 0 -> changeCapacity();
                case 1 ->
                    send(new DispatcherEvent.CatalogueChanged(
                            Catalogue.of(2, "c2", DispatcherFixture.entries(weighting()))));
                case 2 ->
                    send(new DispatcherEvent.DomainsReported(List.of(new DomainLoad(
                            new FailureDomainId("b"),
                            DispatcherFixture.MODEL,
                            new ClassId(CLASSES.get(random.nextInt(3))),
                            random.nextInt(3),
                            fixture.nowMillis))));
                default -> {
                    RequestId id = pick(new ArrayList<>(new java.util.TreeSet<>(waiting)), waiting.size());
                    if (id != null) {
                        waiting.remove(id);
                        ended++;
                        send(new DispatcherEvent.Cancelled(id));
                    }
                }
            }
        }

        private void changeCapacity() {
            List<Target> targets = new ArrayList<>();
            openTargets = new HashSet<>();
            for (Target target : DispatcherFixture.targets(4, 3)) {
                TargetHealth health = HEALTHS.get(random.nextInt(HEALTHS.size()));
                if (health != TargetHealth.LEAVING) {
                    openTargets.add(target.id());
                }
                targets.add(new Target(target.id(), target.upstream(), target.failureDomain(), 3, health));
            }
            if (random.nextInt(3) == 0) {
                openTargets.remove(targets.removeLast().id());
            }
            send(new DispatcherEvent.CapacityChanged(targets));
        }

        private void drain() {
            while (!running.isEmpty() || !forwarded.isEmpty() || !waiting.isEmpty()) {
                fixture.nowMillis += 500;
                send(new DispatcherEvent.Tick());
                finishRunning(FinishOutcome.COMPLETED);
                finishForwarded(FinishOutcome.COMPLETED);
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
    public void everyRequestEndsOnceAndRefusedRequestsNeverRan(long seed) {
        RequestTracker tracker = new RequestTracker(seed);
        for (int i = 0; i < STEPS; i++) {
            tracker.step();
        }
        tracker.drain();
        assertEquals(tracker.ended, tracker.sequence);
        assertEquals(tracker.fixture.dispatcher.waiting(), 0);
    }
}
