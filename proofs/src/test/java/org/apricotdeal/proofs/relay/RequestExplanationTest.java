package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.CallerLimits;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.RequestSize;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.ColdVm;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.RequestExplanation;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests what the dispatcher says of a request that is not sent. */
public final class RequestExplanationTest {
    private static final FailureDomainId OTHER = new FailureDomainId("b");
    private static final int STEPS = 4_000;

    private static Target target(String vm, FailureDomainId domain, int slots) {
        VmId id = new VmId(vm);
        return new Target(
                new TargetId(id, 1),
                RelayFixture.QUEUE,
                vm + ":80",
                "v1",
                domain,
                slots,
                List.of(id),
                OptionalLong.empty());
    }

    private static RelayFixture overloadedNode() {
        RelayFixture node = new RelayFixture();
        EngineProfile engine =
                new EngineProfile(4, 5, 1, 0.1, 0.01, 45.9, 10, 10, 0, 50, 7, 50, 2.5, List.of(), OptionalLong.empty());
        UpstreamEntry chat = new UpstreamEntry(RelayFixture.QUEUE.upstream(), "/h", 50, Optional.of(engine));
        node.step(new RelayEvent.CatalogueChanged(new RelayCatalogue(
                1,
                List.of(),
                Map.of(chat.id(), chat),
                Optional.empty(),
                new CallerLimits(16_384, 100_000, 3_000, 15_000))));
        node.setNodeCount(2);
        node.setTargets(target("v0", RelayFixture.HOME, 4), target("v1", OTHER, 4), target("v2", OTHER, 2));
        return node;
    }

    /**
     * A node that is asked at each step acts as one that is never asked, in an overload with evacuations and cold VMs; and
     * what it says of a request is what becomes of it.
     */
    @Test
    public void explanationsChangeNothingAndComeTrue() {
        RelayFixture asked = overloadedNode();
        RelayFixture other = overloadedNode();
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(3);
        List<RelayAction.Send> running = new ArrayList<>();
        Map<RequestExplanation.Verdict, Integer> verdicts = new EnumMap<>(RequestExplanation.Verdict.class);
        for (int i = 0; i < STEPS; i++) {
            long nowMillis = 1_000 + 7L * i;
            asked.nowMillis = nowMillis;
            other.nowMillis = nowMillis;
            RelayEvent event = event(asked, random, running, i);
            asked.dispatcher.explain(nowMillis, arrival(asked, random));
            Optional<RequestExplanation> said = Optional.empty();
            if (event instanceof RelayEvent.RequestArrived(Arrival arrival)) {
                said = Optional.of(asked.dispatcher.explain(nowMillis, arrival));
            }
            List<RelayAction> actions = asked.step(event);
            assertEquals(other.step(event), actions, "step " + i);
            RelayFixture.actionsOfType(actions, RelayAction.Send.class).forEach(running::add);
            if (said.isPresent() && event instanceof RelayEvent.RequestArrived(Arrival arrival)) {
                verdicts.merge(said.get().verdict(), 1, Integer::sum);
                assertCameTrue(said.get(), arrival, actions);
            }
        }
        assertEquals(verdicts.size(), RequestExplanation.Verdict.values().length, verdicts.toString());
    }

    private static RelayEvent event(
            RelayFixture node, UniformRandomProvider random, List<RelayAction.Send> running, int step) {
        if (step % 4 == 0) {
            return new RelayEvent.Tick();
        }
        if (step % 400 == 101) {
            return new RelayEvent.EvacuationsChanged(random.nextBoolean() ? Set.of(OTHER) : Set.of());
        }
        if (step % 1_000 == 501) {
            return new RelayEvent.EvacuationsChanged(Set.of(OTHER, RelayFixture.HOME));
        }
        if (step % 300 == 103) {
            return new RelayEvent.ColdVmsChanged(Map.of(new VmId("v1"), new ColdVm(node.nowMillis + 1_000, 20)));
        }
        if (step % 3 == 0 && !running.isEmpty()) {
            return new RelayEvent.RequestFinished(running.removeFirst().attempt());
        }
        if (step % 5 == 0 && !running.isEmpty()) {
            return new RelayEvent.AnswerStarted(running.getLast().attempt());
        }
        return new RelayEvent.RequestArrived(arrival(node, random));
    }

    /** Returns a request whose caller waits for some time, and which states its size or does not. */
    private static Arrival arrival(RelayFixture node, UniformRandomProvider random) {
        Arrival plain = node.arrival(RetrySafety.STREAM, 2);
        Arrival arrival = new Arrival(
                plain.id(),
                plain.queue(),
                plain.route(),
                plain.sharedParts(),
                "customer-" + random.nextInt(3),
                plain.priority(),
                node.nowMillis,
                node.nowMillis + 2_000 + random.nextInt(6_000));
        OptionalInt hint = random.nextBoolean() ? OptionalInt.empty() : OptionalInt.of(1 + random.nextInt(100));
        return random.nextBoolean()
                ? arrival
                : arrival.withSize(new RequestSize(1 + random.nextInt(900), 100 + random.nextInt(400), hint));
    }

    private static void assertCameTrue(RequestExplanation said, Arrival arrival, List<RelayAction> actions) {
        RequestExplanation.Verdict became = RequestExplanation.Verdict.WAIT;
        for (RelayAction action : actions) {
            if (action instanceof RelayAction.Send send && send.id().equals(arrival.id())) {
                became = RequestExplanation.Verdict.SEND;
            } else if (action instanceof RelayAction.Refuse refusal
                    && refusal.id().equals(arrival.id())) {
                became = RequestExplanation.Verdict.REFUSE;
                assertEquals(said.reason(), Optional.of(refusal.reason()));
                assertEquals(said.waiting(), refusal.details().waiting());
                assertEquals(said.predictedWaitMillis(), refusal.details().predictedWaitMillis());
            }
        }
        assertEquals(said.verdict(), became, said + " but " + actions);
    }

    /** Each target is listed with what bars it; the request goes to the one that nothing bars. */
    @Test
    public void candidatesNameWhatBarsThem() {
        RelayFixture node = new RelayFixture();
        node.setNodeCount(1);
        node.step(new RelayEvent.ColdVmsChanged(Map.of(new VmId("v2"), new ColdVm(Long.MAX_VALUE, 1))));
        node.setTargets(target("v3", RelayFixture.HOME, 1));
        node.arrive(RetrySafety.STREAM);
        node.setTargets(
                target("v0", RelayFixture.HOME, 4),
                target("v1", OTHER, 4),
                target("v2", RelayFixture.HOME, 4),
                target("v3", RelayFixture.HOME, 1),
                target("v4", RelayFixture.HOME, 4));
        node.step(new RelayEvent.EvacuationsChanged(Set.of(OTHER)));
        node.step(new RelayEvent.VmPaused(new VmId("v4"), node.nowMillis + 500));
        RequestExplanation said = node.dispatcher.explain(node.nowMillis, node.arrival(RetrySafety.STREAM, 2));
        assertEquals(
                said.candidates().stream()
                        .map(candidate -> candidate.target().id().vm() + " " + candidate.bar())
                        .toList(),
                List.of("v0 none", "v1 evacuated", "v2 cold", "v3 full", "v4 paused"));
        assertEquals(said.verdict(), RequestExplanation.Verdict.SEND);
        assertEquals(said.target(), Optional.of(new TargetId(new VmId("v0"), 1)));
        assertTrue(said.slotMillis() > 0, said.toString());
        assertEquals(node.dispatcher.runningRequests().size(), 1, "nothing was sent");
    }
}
