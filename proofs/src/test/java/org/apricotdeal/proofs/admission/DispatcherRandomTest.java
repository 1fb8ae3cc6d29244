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

/** Feeds random events to the dispatcher and follows every request from its arrival to its one end. */
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

    /** What the owner of a dispatcher knows of its requests. */
    private static final class Owner {
        private final UniformRandomProvider random;
        private final Sessions session;
        private final Set<RequestId> waiting = new HashSet<>();
        private final Map<RequestId, TargetId> running = new LinkedHashMap<>();
        private final Set<RequestId> forwarded = new HashSet<>();
        private final Set<RequestId> hopped = new HashSet<>();
        private final Set<RequestId> ran = new HashSet<>();
        private final Map<RequestId, Integer> tokens = new HashMap<>();
        private Set<TargetId> open = new HashSet<>();
        private int sequence;
        private int ended;

        private Owner(long seed) {
            random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
            session = new Sessions(Sessions.entries(weighting()), AdmissionOptions.DEFAULT, 4, 3);
            changeCapacity();
        }

        private CallerWeighting weighting() {
            return random.nextBoolean() ? CallerWeighting.WEIGHTED : CallerWeighting.SMALL_FIRST;
        }

        private void send(DispatcherEvent event) {
            for (DispatcherAction action : session.dispatcher.step(session.nowMillis, event)) {
                follow(action);
            }
            assertEquals(session.dispatcher.inProgress(), waiting.size() + running.size() + forwarded.size());
        }

        private void follow(DispatcherAction action) {
            switch (action) {
                case DispatcherAction.Dispatch(RequestId id, TargetId target, int attempt) -> {
                    assertTrue(waiting.remove(id), "dispatched but not waiting: " + id);
                    assertTrue(open.contains(target), "dispatched to a target that takes no new work: " + target);
                    running.put(id, target);
                    ran.add(id);
                }
                case DispatcherAction.Preempt(RequestId id, TargetId target) -> {
                    assertEquals(running.remove(id), target);
                    waiting.add(id);
                }
                case DispatcherAction.Refuse(RequestId id, var reason, long retryAfterMillis) -> {
                    assertFalse(ran.contains(id), "refused as not run, but it was dispatched: " + id);
                    end(id);
                }
                case DispatcherAction.GiveUp(RequestId id, var reason, boolean mayHaveRun) -> {
                    assertTrue(ran.contains(id), "given up but never dispatched: " + id);
                    end(id);
                }
                case DispatcherAction.Forward(RequestId id, var domain) -> {
                    assertFalse(hopped.contains(id), "forwarded twice: " + id);
                    assertFalse(ran.contains(id), "forwarded but dispatched here: " + id);
                    assertTrue(waiting.remove(id));
                    forwarded.add(id);
                }
                case DispatcherAction.SendShare share -> {}
                case DispatcherAction.Note note -> {}
            }
        }

        private void end(RequestId id) {
            assertTrue(waiting.remove(id) || running.remove(id) != null || forwarded.remove(id), "ended twice: " + id);
            ended++;
        }

        private void step() {
            session.nowMillis += random.nextInt(40);
            switch (random.nextInt(12)) {
                case 0, 1, 2, 3 -> arrive();
                case 4, 5 -> progress();
                case 6, 7 -> finishRunning(ATTEMPT_ENDS.get(random.nextInt(ATTEMPT_ENDS.size())));
                case 8 -> finishForwarded(FORWARD_ENDS.get(random.nextInt(FORWARD_ENDS.size())));
                case 9 -> disturb();
                default -> send(new DispatcherEvent.Tick());
            }
        }

        private void arrive() {
            RequestId id = new RequestId("r" + sequence++);
            int hops = random.nextInt(5) == 0 ? 1 : 0;
            if (hops > 0) {
                hopped.add(id);
            }
            waiting.add(id);
            send(new DispatcherEvent.Arrived(Sessions.arrival(
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
                ran.add(id);
            }
            finish(id, outcome, outcome != FinishOutcome.COMPLETED && outcome != FinishOutcome.FAILED);
        }

        /** Ends an attempt; where the dispatcher answers what becomes of the request, it waits for that. */
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

        private void disturb() {
            switch (random.nextInt(4)) {
                case 0 -> changeCapacity();
                case 1 ->
                    send(new DispatcherEvent.CatalogueChanged(Catalogue.of(2, "c2", Sessions.entries(weighting()))));
                case 2 ->
                    send(new DispatcherEvent.DomainsReported(List.of(new DomainLoad(
                            new FailureDomainId("b"),
                            Sessions.MODEL,
                            new ClassId(CLASSES.get(random.nextInt(3))),
                            random.nextInt(3),
                            session.nowMillis))));
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
            open = new HashSet<>();
            for (Target target : Sessions.targets(4, 3)) {
                TargetHealth health = HEALTHS.get(random.nextInt(HEALTHS.size()));
                if (health != TargetHealth.LEAVING) {
                    open.add(target.id());
                }
                targets.add(new Target(target.id(), target.upstream(), target.failureDomain(), 3, health));
            }
            if (random.nextInt(3) == 0) {
                open.remove(targets.removeLast().id());
            }
            send(new DispatcherEvent.CapacityChanged(targets));
        }

        private void drain() {
            while (!running.isEmpty() || !forwarded.isEmpty() || !waiting.isEmpty()) {
                session.nowMillis += 500;
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
    public void everyRequestEndsOnceAndNoneRefusedHasRun(long seed) {
        Owner owner = new Owner(seed);
        for (int i = 0; i < STEPS; i++) {
            owner.step();
        }
        owner.drain();
        assertEquals(owner.ended, owner.sequence);
        assertEquals(owner.session.dispatcher.waiting(), 0);
    }
}
