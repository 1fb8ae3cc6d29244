package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.model.RouteEntry;
import org.apricotdeal.relay.model.WeightedUpstream;
import org.apricotdeal.relay.policy.Arrival;
import org.apricotdeal.relay.policy.AttemptOutcome;
import org.apricotdeal.relay.policy.ExchangeId;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayDispatcher;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.RetryBudget;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;

/** A dispatcher with its clock, for tests that tell a story step by step. */
final class RelayFixture {
    static final FailureDomainId HOME = new FailureDomainId("a");
    static final QueueId LINE = new QueueId(new UpstreamId("chat"), Optional.of(new ModelId("m0")));
    static final long OBJECTIVE_MILLIS = 400;
    static final long TIMEOUT_MILLIS = 8_000;

    final RelayDispatcher dispatcher;
    long nowMillis = 1_000;
    private long lastId;

    RelayFixture() {
        this(100);
    }

    RelayFixture(double repeats) {
        this(repeats, 7);
    }

    RelayFixture(double repeats, long seed) {
        dispatcher = new RelayDispatcher(
                HOME, new RetryBudget(10_000, 0.2, repeats, 1), RandomSource.SPLIT_MIX_64.create(seed));
    }

    static Target target(String vm, int slots) {
        VmId id = new VmId(vm);
        return new Target(new TargetId(id, 1), LINE, vm + ":80", HOME, slots, List.of(id));
    }

    static RouteEntry route(RetrySafety repeatability, int maxAttempts) {
        return route(repeatability, maxAttempts, OBJECTIVE_MILLIS);
    }

    private static RouteEntry route(RetrySafety repeatability, int maxAttempts, long objectiveMillis) {
        return new RouteEntry(
                "route",
                "host",
                "/p/",
                repeatability,
                repeatability == RetrySafety.STREAM,
                TIMEOUT_MILLIS,
                objectiveMillis,
                300,
                1,
                true,
                maxAttempts,
                List.of(new WeightedUpstream(LINE.upstream(), 1)));
    }

    List<RelayAction> targets(Target... targets) {
        return step(new RelayEvent.TargetsChanged(List.of(targets)));
    }

    Arrival arrival(RetrySafety repeatability, int maxAttempts) {
        return arrival(LINE, repeatability, maxAttempts);
    }

    Arrival arrival(QueueId line, RetrySafety repeatability, int maxAttempts) {
        return new Arrival(
                new ExchangeId(++lastId),
                line,
                route(repeatability, maxAttempts),
                "customer",
                1,
                nowMillis,
                nowMillis + TIMEOUT_MILLIS);
    }

    /** Makes a stream request of a class, which has a priority and an objective. */
    Arrival arrival(int priority, long objectiveMillis) {
        return new Arrival(
                new ExchangeId(++lastId),
                LINE,
                route(RetrySafety.STREAM, 2, objectiveMillis),
                "customer",
                priority,
                nowMillis,
                nowMillis + TIMEOUT_MILLIS);
    }

    List<RelayAction> arrive(RetrySafety repeatability) {
        return step(new RelayEvent.RequestArrived(arrival(repeatability, 2)));
    }

    List<RelayAction> fail(ExchangeId id, AttemptOutcome outcome) {
        return step(new RelayEvent.AttemptFailed(id, outcome));
    }

    /** Passes time in ticks; returns all actions. */
    List<RelayAction> pass(long millis) {
        List<RelayAction> actions = new ArrayList<>();
        for (long end = nowMillis + millis; nowMillis < end; ) {
            nowMillis += 25;
            actions.addAll(step(new RelayEvent.Tick()));
        }
        return actions;
    }

    List<RelayAction> step(RelayEvent event) {
        return dispatcher.step(nowMillis, event);
    }

    static <A extends RelayAction> List<A> of(List<RelayAction> actions, Class<A> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static RelayAction.Send onlySend(List<RelayAction> actions) {
        List<RelayAction.Send> sends = of(actions, RelayAction.Send.class);
        if (sends.size() != 1) {
            throw new AssertionError("expected one send, found " + actions);
        }
        return sends.getFirst();
    }
}
