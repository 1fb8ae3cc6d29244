package org.apricotdeal.proofs.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

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
import org.apricotdeal.relay.policy.FleetNode;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.policy.RelayAction;
import org.apricotdeal.relay.policy.RelayDispatcher;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.RetryBudget;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;

/** A dispatcher with a controllable clock. */
final class RelayFixture {
    static final FailureDomainId HOME = new FailureDomainId("a");
    static final QueueId QUEUE = new QueueId(new UpstreamId("chat"), Optional.of(new ModelId("m0")));
    static final long OBJECTIVE_MILLIS = 400;
    static final long TIMEOUT_MILLIS = 8_000;

    final RelayDispatcher dispatcher;
    long nowMillis = 1_000;
    private long lastId;

    RelayFixture() {
        this(100);
    }

    RelayFixture(double retryAllowance) {
        this(retryAllowance, 7);
    }

    RelayFixture(double retryAllowance, long seed) {
        this("n0", retryAllowance, seed);
    }

    /** Creates the dispatcher of a node of a larger fleet, see {@link #setNodeCount}. */
    RelayFixture(String nodeName, double retryAllowance, long seed) {
        dispatcher = new RelayDispatcher(
                new FleetNode(nodeName, HOME),
                new RetryBudget(10_000, 0.2, retryAllowance, 1),
                RandomSource.SPLIT_MIX_64.create(seed));
    }

    /** Announces a fleet of nodes in the same failure domain. */
    void setNodeCount(int count) {
        List<FleetNode> nodes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            nodes.add(new FleetNode("n" + i, HOME));
        }
        step(new RelayEvent.NodesChanged(nodes));
    }

    static Target target(String vm, int slots) {
        VmId id = new VmId(vm);
        return new Target(new TargetId(id, 1), QUEUE, vm + ":80", "v1", HOME, slots, List.of(id), OptionalLong.empty());
    }

    static RouteEntry route(RetrySafety retrySafety, int maxAttempts) {
        return route(retrySafety, maxAttempts, OBJECTIVE_MILLIS);
    }

    private static RouteEntry route(RetrySafety retrySafety, int maxAttempts, long objectiveMillis) {
        return new RouteEntry(
                "route",
                "host",
                "/p/",
                retrySafety,
                retrySafety == RetrySafety.STREAM,
                TIMEOUT_MILLIS,
                objectiveMillis,
                300,
                1,
                true,
                maxAttempts,
                List.of(new WeightedUpstream(QUEUE.upstream(), 1)));
    }

    List<RelayAction> setTargets(Target... targets) {
        return step(new RelayEvent.TargetsChanged(List.of(targets)));
    }

    Arrival arrival(RetrySafety retrySafety, int maxAttempts) {
        return arrival(QUEUE, retrySafety, maxAttempts);
    }

    Arrival arrival(QueueId queue, RetrySafety retrySafety, int maxAttempts) {
        return new Arrival(
                new ExchangeId(++lastId),
                queue,
                route(retrySafety, maxAttempts),
                List.of(),
                "customer",
                1,
                nowMillis,
                nowMillis + TIMEOUT_MILLIS);
    }

    /** Creates a stream request with the priority and objective of a class. */
    Arrival arrival(int priority, long objectiveMillis) {
        return new Arrival(
                new ExchangeId(++lastId),
                QUEUE,
                route(RetrySafety.STREAM, 2, objectiveMillis),
                List.of(),
                "customer",
                priority,
                nowMillis,
                nowMillis + TIMEOUT_MILLIS);
    }

    List<RelayAction> arrive(RetrySafety retrySafety) {
        return step(new RelayEvent.RequestArrived(arrival(retrySafety, 2)));
    }

    List<RelayAction> fail(RelayAction.Send sent, AttemptOutcome outcome) {
        return step(new RelayEvent.AttemptFailed(sent.attempt(), outcome));
    }

    /** Advances the clock in ticks and returns all actions. */
    List<RelayAction> advance(long millis) {
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

    static <A extends RelayAction> List<A> actionsOfType(List<RelayAction> actions, Class<A> type) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static RelayAction.Send onlySend(List<RelayAction> actions) {
        List<RelayAction.Send> sends = actionsOfType(actions, RelayAction.Send.class);
        if (sends.size() != 1) {
            throw new AssertionError("expected exactly one Send action, found " + actions);
        }
        return sends.getFirst();
    }
}
