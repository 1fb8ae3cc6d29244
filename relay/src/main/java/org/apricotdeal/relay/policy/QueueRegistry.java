package org.apricotdeal.relay.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.MemoryUse;
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
    private final Map<VmId, ColdRateLimit> coldLimits = new HashMap<>();
    private Set<FailureDomainId> evacuated = Set.of();
    private RelayCatalogue catalogue;
    private long roundStartedMillis;
    private OptionalLong fleetKnownMillis = OptionalLong.empty();

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

    /** Returns the number of waiting requests in all queues. */
    int waitingRequests() {
        return queues().stream().mapToInt(queue -> queue.waiting.size()).sum();
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

    /** Returns a queue; empty if there is none yet, since it has had neither a target nor a request. */
    Optional<QueueState> find(QueueId id) {
        return Optional.ofNullable(queues.get(id));
    }

    /** Returns a queue, which is created if there is none yet. */
    QueueState queue(QueueId id) {
        return queues.computeIfAbsent(id, this::newQueue);
    }

    private QueueState newQueue(QueueId id) {
        UpstreamEntry upstream =
                catalogue == null ? null : catalogue.upstreams().get(id.upstream());
        if (upstream == null || upstream.engine().isEmpty() || id.model().isEmpty()) {
            return new QueueState(id, INITIAL_PLAIN_SERVICE_MILLIS, INITIAL_PLAIN_START_MILLIS, Optional.empty());
        }
        EngineProfile engine = upstream.engine().get();
        double timeFactor =
                engine.model(id.model().get()).map(ModelSpec::timeFactor).orElse(1.0);
        double tokenMillis = engine.baseStepMillis() + engine.slotsPerReplica() * engine.stepMillisPerSequence();
        double serviceMillis = timeFactor
                * (engine.meanAnswerTokens() * tokenMillis
                        + engine.meanPromptTokens() / engine.prefillTokensPerMilli());
        return new QueueState(
                id, serviceMillis, INITIAL_ENGINE_START_MILLIS, Optional.of(EngineTimes.of(engine, timeFactor)));
    }

    /**
     * Sets the listed targets. A target that is no longer listed receives no new requests; it is kept until its running
     * requests have ended.
     */
    void setTargets(List<Target> listed, long nowMillis) {
        queues.values().forEach(QueueState::clearTargets);
        List<Target> ordered = new ArrayList<>(listed);
        ordered.sort(Comparator.comparing((Target target) -> target.id().vm()));
        List<TargetState> added = new ArrayList<>();
        for (Target target : ordered) {
            QueueState queue = queue(target.queue());
            queue.addTarget(targets.computeIfAbsent(target.id(), id -> {
                TargetState state = newTarget(target, queue, nowMillis);
                added.add(state);
                return state;
            }));
        }
        queues.values().forEach(QueueState::updateEvacuated);
        added.forEach(state -> beginRound(state, nowMillis));
    }

    private TargetState newTarget(Target target, QueueState queue, long nowMillis) {
        TargetState state = new TargetState(target, queue, nowMillis);
        state.pauseUntil(pausedUntilMillis.getOrDefault(target.id().vm(), NEVER_MILLIS));
        setHome(state);
        state.setEvacuated(evacuated.contains(target.failureDomain()));
        state.setColdLimit(coldLimit(state));
        fleetKnownMillis.ifPresent(sinceMillis -> state.setHomeRank(homeNodes.rank(target), sinceMillis));
        queue.averagePeersRunning().ifPresent(average -> state.assumePeersRunning(average, nowMillis));
        return state;
    }

    private void setHome(TargetState state) {
        int homeRank = homeNodes.homeRank(state.target);
        state.setHome(homeNodes.isHome(homeRank));
        state.memory().setPart(homeNodes.memoryPart(homeRank));
    }

    /** Records the memory that a VM has reported, for the targets whose requests it receives. */
    void recordMemory(VmId vm, MemoryUse use, long nowMillis) {
        for (TargetState state : targets.values()) {
            if (state.target.id().vm().equals(vm)) {
                state.memory().recordReport(use, state.running, nowMillis);
            }
        }
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

    /** Sets the failure domains that the operator evacuates; their nodes send most of their requests elsewhere. */
    void setEvacuated(Set<FailureDomainId> domains) {
        evacuated = domains;
        homeNodes.setEvacuated(domains);
        for (TargetState state : targets.values()) {
            state.setEvacuated(domains.contains(state.target.failureDomain()));
            setHome(state);
        }
        queues.values().forEach(QueueState::updateEvacuated);
        queues.values().forEach(QueueState::updateHomeTargets);
    }

    /**
     * Sets the VMs that tolerate only a limited rate of requests while they are cold. The limit belongs to the VM, so
     * that it also holds for a replica that the VM leads next; it is kept until the last requests count no longer.
     */
    void setColdVms(Map<VmId, ColdVm> vms, long nowMillis) {
        coldLimits
                .entrySet()
                .removeIf(entry ->
                        !vms.containsKey(entry.getKey()) && entry.getValue().isIdle(nowMillis));
        vms.forEach((id, vm) ->
                coldLimits.computeIfAbsent(id, unknown -> new ColdRateLimit(vm)).set(vm));
        targets.values().forEach(state -> state.setColdLimit(coldLimit(state)));
    }

    private Optional<ColdRateLimit> coldLimit(TargetState state) {
        return Optional.ofNullable(coldLimits.get(state.target.id().vm()));
    }

    /** Sets the nodes of the fleet; unchanged ones, which are told again and again, cost no new ranks of all targets. */
    void setNodes(List<FleetNode> nodes, long nowMillis) {
        if (!homeNodes.setNodes(nodes) && fleetKnownMillis.isPresent()) {
            return;
        }
        if (fleetKnownMillis.isEmpty()) {
            fleetKnownMillis = OptionalLong.of(nowMillis);
        }
        for (TargetState state : targets.values()) {
            setHome(state);
            state.setHomeRank(homeNodes.rank(state.target), nowMillis);
        }
        queues.values().forEach(QueueState::updateHomeTargets);
    }

    void setPeerLoads(Map<TargetId, Integer> running, long nowMillis) {
        targets.values().forEach(state -> state.setPeersRunning(running.getOrDefault(state.target.id(), 0), nowMillis));
        beginRound(nowMillis);
    }

    /**
     * Records the requests that a target has counted itself. In a fleet whose nodes all use all targets the counts of their
     * heartbeats are young enough.
     */
    void recordReportedLoad(TargetState state, int requests, long nowMillis) {
        if (homeNodes.areFew()) {
            state.recordReportedLoad(requests, nowMillis);
            state.queue().shareScale.record(requests, state.target.slots());
        }
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
        state.beginRound(
                homeNodes.slotShare(state.isHome(), state.queue().openTargets()), random.nextDouble(), nowMillis);
    }
}
