package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelSpec;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;

/** The queues of a node with their targets, as far as VMs, other nodes and the catalogue determine them. */
final class QueueRegistry {
    /**
     * Maximum length of a heartbeat round, also if a heartbeat was lost or a node is gone; longer than the heartbeat
     * period.
     */
    private static final long ROUND_MILLIS = 400;

    private static final double INITIAL_PLAIN_SERVICE_MILLIS = 30;
    private static final double INITIAL_PLAIN_START_MILLIS = 30;
    private static final double INITIAL_ENGINE_START_MILLIS = 120;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final HomeNodes homeNodes;
    private final UniformRandomProvider random;
    private final Map<QueueId, QueueState> queues = new HashMap<>();
    private final Map<TargetId, TargetState> targets = new HashMap<>();
    private final Map<VmId, Long> pausedUntilMillis = new HashMap<>();
    private Set<FailureDomainId> evacuated = Set.of();
    private RelayCatalogue catalogue;
    private long roundStartedMillis;

    /**
     * Creates a registry without targets.
     *
     * @param self this node
     * @param random seeded random source
     */
    QueueRegistry(FleetNode self, UniformRandomProvider random) {
        this.homeNodes = new HomeNodes(self);
        this.random = random;
    }

    /** Sets the catalogue whose engine profiles provide the initial estimates of new queues. */
    void setCatalogue(RelayCatalogue changed) {
        catalogue = changed;
    }

    Collection<QueueState> queues() {
        return Collections.unmodifiableCollection(queues.values());
    }

    /** Returns a copy of the targets, including those that are no longer listed and still run requests. */
    List<TargetState> targets() {
        return List.copyOf(targets.values());
    }

    /** Returns the number of requests that this node runs at each target; targets without requests are omitted. */
    Map<TargetId, Integer> runningRequests() {
        Map<TargetId, Integer> running = new HashMap<>();
        for (TargetState state : targets.values()) {
            if (!state.running.isEmpty()) {
                running.put(state.target.id(), state.running.size());
            }
        }
        return running;
    }

    Set<TargetId> homeTargets() {
        Set<TargetId> ids = new HashSet<>();
        queues.values().forEach(queue -> queue.homeTargets.forEach(state -> ids.add(state.target.id())));
        return ids;
    }

    /** Returns the demand for each queue of an engine upstream. */
    Map<QueueId, QueueDemand> demandByQueue(long nowMillis) {
        Map<QueueId, QueueDemand> demand = new HashMap<>();
        queues.forEach((id, queue) -> {
            if (id.model().isPresent()) {
                demand.put(id, queue.readDemand(nowMillis));
            }
        });
        return demand;
    }

    /** Returns a queue, which is created if there is none yet. */
    QueueState queue(QueueId id) {
        return queues.computeIfAbsent(id, this::newQueue);
    }

    private QueueState newQueue(QueueId id) {
        UpstreamEntry upstream =
                catalogue == null ? null : catalogue.upstreams().get(id.upstream());
        if (upstream == null || upstream.engine().isEmpty() || id.model().isEmpty()) {
            return new QueueState(id, INITIAL_PLAIN_SERVICE_MILLIS, INITIAL_PLAIN_START_MILLIS);
        }
        EngineProfile engine = upstream.engine().get();
        double timeFactor =
                engine.model(id.model().get()).map(ModelSpec::timeFactor).orElse(1.0);
        double tokenMillis = engine.baseStepMillis() + engine.slotsPerReplica() * engine.stepMillisPerSequence();
        double serviceMillis = timeFactor
                * (engine.meanAnswerTokens() * tokenMillis
                        + engine.meanPromptTokens() / engine.prefillTokensPerMilli());
        return new QueueState(id, serviceMillis, INITIAL_ENGINE_START_MILLIS);
    }

    /**
     * Sets the listed targets. A target that is no longer listed receives no new requests; it is kept until its running
     * requests have ended.
     */
    void setTargets(List<Target> listed, long nowMillis) {
        queues.values().forEach(QueueState::clearTargets);
        List<Target> ordered = new ArrayList<>(listed);
        ordered.sort(Comparator.comparing((Target target) -> target.id().vm()));
        for (Target target : ordered) {
            QueueState queue = queue(target.queue());
            queue.addTarget(targets.computeIfAbsent(target.id(), id -> newTarget(target, queue, nowMillis)));
        }
        queues.values().forEach(QueueState::updateEvacuated);
    }

    private TargetState newTarget(Target target, QueueState queue, long nowMillis) {
        TargetState state = new TargetState(target, queue);
        state.pauseUntil(pausedUntilMillis.getOrDefault(target.id().vm(), NEVER_MILLIS));
        state.setHome(homeNodes.isHome(target));
        state.setEvacuated(evacuated.contains(target.failureDomain()));
        queue.averagePeersRunning().ifPresent(average -> state.assumePeersRunning(average, nowMillis));
        beginRound(state, nowMillis);
        return state;
    }

    /** Forgets the targets that are no longer listed and run no requests any more. */
    void removeUnlistedTargets() {
        targets.values()
                .removeIf(state ->
                        state.running.isEmpty() && !state.queue().targets.contains(state));
    }

    /** Pauses all targets of a VM, also those that open later. */
    void pause(VmId vm, long untilMillis, long nowMillis) {
        pausedUntilMillis.values().removeIf(endMillis -> endMillis <= nowMillis);
        pausedUntilMillis.merge(vm, untilMillis, Math::max);
        for (TargetState state : targets.values()) {
            if (state.target.id().vm().equals(vm)) {
                state.pauseUntil(untilMillis);
            }
        }
    }

    /** Sets the failure domains that the operator evacuates. */
    void setEvacuated(Set<FailureDomainId> domains) {
        evacuated = domains;
        targets.values().forEach(state -> state.setEvacuated(domains.contains(state.target.failureDomain())));
        queues.values().forEach(QueueState::updateEvacuated);
    }

    void setNodes(List<FleetNode> nodes) {
        homeNodes.setNodes(nodes);
        targets.values().forEach(state -> state.setHome(homeNodes.isHome(state.target)));
        queues.values().forEach(QueueState::updateHomeTargets);
    }

    void setPeerLoads(Map<TargetId, Integer> running, long nowMillis) {
        targets.values().forEach(state -> state.setPeersRunning(running.getOrDefault(state.target.id(), 0), nowMillis));
        beginRound(nowMillis);
    }

    /** Begins a new round if the heartbeat that ends the current one is overdue. */
    void endOverdueRound(long nowMillis) {
        if (nowMillis - roundStartedMillis >= ROUND_MILLIS) {
            beginRound(nowMillis);
        }
    }

    private void beginRound(long nowMillis) {
        roundStartedMillis = nowMillis;
        targets.values().forEach(state -> beginRound(state, nowMillis));
    }

    private void beginRound(TargetState state, long nowMillis) {
        state.beginRound(homeNodes.sharingNodes(state.isHome()), random.nextDouble(), nowMillis);
    }
}
