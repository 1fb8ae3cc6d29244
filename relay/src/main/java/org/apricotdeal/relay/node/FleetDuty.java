package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.health.LocalHealth;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.peer.FleetDemand;
import org.apricotdeal.relay.peer.HeardNodes;
import org.apricotdeal.relay.peer.PlannerChoice;
import org.apricotdeal.relay.policy.ColdVm;
import org.apricotdeal.relay.policy.FleetNode;
import org.apricotdeal.relay.policy.ModelDemand;
import org.apricotdeal.relay.policy.PlannedOrder;
import org.apricotdeal.relay.policy.QueueDemand;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.ReplicaGroups;
import org.apricotdeal.relay.policy.ReplicaPlanner;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetBuilder;
import org.apricotdeal.relay.policy.TargetId;
import org.apricotdeal.relay.policy.VmTable;
import org.apricotdeal.relay.port.VmClient;

/**
 * Duty that owns the node's view of the VMs and of the other nodes. It derives the targets for the dispatcher, polls
 * suspected VMs for their state, and runs the planners of the failure domains that are assigned to this node.
 */
final class FleetDuty implements VmReach, AutoCloseable {
    private static final int RING_SLOTS = 4_096;
    private static final long TICK_MILLIS = 100;

    private static final long ORDER_TIMEOUT_MILLIS = 600;

    /** Minimum time between two polls of the same VM. */
    private static final long REPORT_PERIOD_MILLIS = 300;

    /** Time between two polls of a VM that is unresponsive but still listed in the store. */
    private static final long UNRESPONSIVE_REPORT_PERIOD_MILLIS = 1_000;

    /**
     * The same for VMs whose replicas other nodes plan, so that polls of lost VMs grow little with the number of nodes;
     * about as long as the entry of a lost VM stays in the store.
     */
    private static final long FOREIGN_REPORT_PERIOD_MILLIS = 3_000;

    /** Time without a heartbeat after which a node is not considered for planning; several heartbeat periods. */
    private static final long PEER_TIMEOUT_MILLIS = 2_000;

    /** Startup time of a fleet, during which it gets no requests yet and loading takes less time. */
    private static final long STARTUP_MILLIS = 12_000;

    /** Time for nodes that start together to register; without this delay each would consider itself the only node. */
    private static final long PLANNING_DELAY_MILLIS = 1_500;

    private final RelaySettings settings;
    private final RelayDuty relay;
    private final VmClient vmClient;
    private final VmPolls polls;
    private final Clock clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final Duty<FleetEvent> duty;
    private final VmTable table = new VmTable();
    private final Map<PlannerKey, ReplicaPlanner> planners = new HashMap<>();
    private final FleetEvacuations evacuations;
    private final PlannerStatisticsLog statisticsLog;
    private final NodeLoadLog nodeLoadLog;
    private final ColdVmFeed coldVms;
    private final FleetDemand peerDemand = new FleetDemand();
    private final IsolationWatch isolation;
    private final Map<String, Peer> peers = new HashMap<>();
    private final HeardNodes heard;
    private final Set<String> stoppingPeers = new HashSet<>();
    private final long startedMillis;
    private final String plannerName;
    private RelayCatalogue catalogue;
    private volatile List<Target> targets = List.of();
    private volatile String planner = "";
    private volatile Set<PlannerKey> plans = Set.of();
    private boolean targetsOutdated;
    private boolean peersListed;
    private volatile PeerSnapshot peerSnapshot = new PeerSnapshot(List.of(), Set.of(), Map.of());
    private volatile Map<VmId, Long> unresponsiveVms = Map.of();
    private volatile Set<QueueId> listedQueues = Set.of();
    private boolean hasListedVms;
    private volatile boolean hasPublishedTargets;
    private volatile boolean stopping;

    FleetDuty(
            RelaySettings settings,
            RelayDuty relay,
            VmClient vmClient,
            LocalHealth health,
            Clock clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.settings = settings;
        this.relay = relay;
        this.vmClient = vmClient;
        this.clock = clock;
        this.log = log;
        this.statisticsLog = new PlannerStatisticsLog(log);
        this.metrics = metrics;
        this.evacuations = new FleetEvacuations(log, metrics);
        this.nodeLoadLog = new NodeLoadLog(log, metrics, health);
        this.isolation = new IsolationWatch(settings.name(), settings.failureDomain(), log, metrics);
        this.coldVms = new ColdVmFeed(settings.coldBounds(), log, metrics);
        this.polls = new VmPolls(vmClient, TICK_MILLIS, this::putReport, health, clock, metrics);
        this.heard = new HeardNodes(settings.name());
        this.startedMillis = clock.monotonicMillis();
        this.plannerName = plannerName(settings.name(), clock.wallMillis());
        metrics.register("targets", (Gauge<Integer>) () -> targets.size());
        this.duty = new Duty<>("fleet", RING_SLOTS, TICK_MILLIS, this::step, this::tick);
    }

    /** Returns a name that is unique for each start of each node, derived from node name and start time. */
    private static String plannerName(String node, long wallMillis) {
        long hash = Hashing.komihash4_3().hashCharsToLong(node + "/" + wallMillis);
        return Long.toUnsignedString(hash, Character.MAX_RADIX);
    }

    void put(FleetEvent event) {
        duty.put(event);
    }

    /** Reports suspected VMs without blocking; a report is dropped if the ring is full, and its cause will be seen again. */
    void suspect(List<VmId> vms, Optional<String> faultyAddress, String reason) {
        if (!duty.offer(new FleetEvent.VmsSuspected(vms, faultyAddress, reason))) {
            metrics.counter("fleet.doubts.dropped").inc();
        }
    }

    @Override
    public PeerSnapshot peerSnapshot() {
        return peerSnapshot;
    }

    /** Returns the other nodes whose heartbeats were received recently by any node. */
    List<FleetEvent.NodeSeen> recentlySeenNodes() {
        return peerSnapshot.seenWithin(PEER_TIMEOUT_MILLIS, clock.monotonicMillis());
    }

    /** Returns the unresponsive VMs with the times of their last missed calls. */
    Map<VmId, Long> unresponsiveVms() {
        return unresponsiveVms;
    }

    /** Returns the demand as the other nodes report it, which the planners add to that of this node. */
    FleetDemand peerDemand() {
        return peerDemand;
    }

    /** Returns whether this node plans no more: it is stopping, or cannot reach the VMs. */
    boolean plansNoMore() {
        return stopping || isolation.isIsolated();
    }

    @Override
    public boolean isIsolated() {
        return isolation.isIsolated();
    }

    @Override
    public boolean isListed(QueueId queue) {
        return listedQueues.contains(queue);
    }

    /** Returns whether the targets of a listed fleet have been passed to the dispatcher; until then it has none. */
    boolean hasPublishedTargets() {
        return hasPublishedTargets;
    }

    /** Returns the number of requests that this node runs in each evacuated failure domain. */
    Map<FailureDomainId, Integer> runningInEvacuated() {
        return evacuations.running();
    }

    /** Returns the VMs that tolerate only a limited rate of requests now. */
    Map<VmId, ColdVm> coldVms() {
        return coldVms.coldVms();
    }

    /** Returns the node that plans this node's failure domain; empty before this node has planned. */
    String planner() {
        return planner;
    }

    /** Returns what this node plans. */
    Set<PlannerKey> plans() {
        return plans;
    }

    /** Returns the number of targets, of all failure domains. */
    int targetCount() {
        return targets.size();
    }

    private void step(FleetEvent event) {
        polls.observe();
        switch (event) {
            case FleetEvent.AllVmsListed(List<UpstreamVm> vms, long removeAtMillis) -> {
                table.replaceEntries(vms, removeAtMillis, clock.monotonicMillis())
                        .forEach(vm -> poll(vm, REPORT_PERIOD_MILLIS));
                hasListedVms = true;
                targetsOutdated = true;
            }
            case FleetEvent.VmListed(UpstreamVm vm) -> {
                // An unresponsive VM that writes its entry can be reached by the store, and perhaps by this node again.
                if (table.applyEntry(vm, clock.monotonicMillis()) || table.isUnresponsive(vm.id())) {
                    poll(vm.id(), UNRESPONSIVE_REPORT_PERIOD_MILLIS);
                }
                targetsOutdated = true;
            }
            case FleetEvent.VmRemoved(VmId vm, long removeAtMillis) -> {
                table.removeEntryLater(vm, removeAtMillis);
                targetsOutdated = true;
            }
            case FleetEvent.VmReported(VmId vm, Result<VmReport, String> report) -> applyReport(vm, report);
            case FleetEvent.VmsSuspected(List<VmId> vms, Optional<String> faultyAddress, String reason) ->
                table.faultyVms(vms, faultyAddress).forEach(vm -> poll(vm, REPORT_PERIOD_MILLIS));
            case FleetEvent.VmLeaves(TargetId target) -> {
                if (table.recordLeaving(target)) {
                    log.state("vm_leaves").with("vm", target.vm()).write();
                    targetsOutdated = true;
                }
            }
            case FleetEvent.OrderReplied replied -> applyReply(replied);
            case FleetEvent.CatalogueChanged(RelayCatalogue adopted) -> {
                catalogue = adopted;
                targetsOutdated = true;
            }
            case FleetEvent.EvacuationsChanged(Set<FailureDomainId> domains) ->
                evacuations.change(domains).forEach(vm -> pollUnlimited(vm, 0));
            case FleetEvent.PeersListed(List<Peer> listed) -> applyPeerList(listed);
            case FleetEvent.PeersConfirmed confirmed -> publishNodes();
            case FleetEvent.HeartbeatReceived(
                    Peer sender,
                    OptionalLong sentMillis,
                    List<FleetEvent.NodeSeen> others,
                    boolean senderStopping) -> {
                // A node that has restarted, perhaps on a different machine, replaces the one of its name.
                peers.merge(
                        sender.name(),
                        sender,
                        (known, now) -> now.startedMillis() > known.startedMillis() ? now : known);
                if (heard.recordDirect(sender.name(), new HeardNodes.Heard(clock.monotonicMillis(), sentMillis))) {
                    recordStopping(sender.name(), senderStopping);
                }
                others.forEach(this::recordRelayed);
                publishPeerSnapshot();
            }
            case FleetEvent.PeerReportedUnresponsive(Map<VmId, Long> missedMillis) -> suspectReportedVms(missedMillis);
            case FleetEvent.Stopping stop -> stopping = true;
        }
    }

    private void recordRelayed(FleetEvent.NodeSeen node) {
        if (heard.recordRelayed(node.name(), node.heartbeat())) {
            recordStopping(node.name(), node.stopping());
        }
    }

    private void recordStopping(String name, boolean peerStopping) {
        boolean stateChanged = peerStopping ? stoppingPeers.add(name) : stoppingPeers.remove(name);
        if (stateChanged) {
            log.state(peerStopping ? "node_stops" : "node_plans_again")
                    .with("node", name)
                    .write();
        }
    }

    private void publishPeerSnapshot() {
        peerSnapshot = new PeerSnapshot(List.copyOf(peers.values()), Set.copyOf(stoppingPeers), heard.snapshot());
    }

    private void suspectReportedVms(Map<VmId, Long> missedMillis) {
        long nowMillis = clock.monotonicMillis();
        if (!isolation.acceptsReport(missedMillis.keySet(), table.all().size(), nowMillis)) {
            return;
        }
        missedMillis.forEach((vm, atMillis) -> {
            if (table.suspectOnPeerReport(vm, atMillis, nowMillis)) {
                metrics.counter("vms.suspected").inc();
                poll(vm, 0);
                targetsOutdated = true;
            }
        });
    }

    private void applyReport(VmId vm, Result<VmReport, String> report) {
        if (report instanceof Result.Err<VmReport, String> && polls.isOwnDelay(vm)) {
            metrics.counter("vm.reports.excused").inc();
            poll(vm, 0);
            return;
        }
        boolean wasUnresponsive = table.isUnresponsive(vm);
        switch (report) {
            case Result.Ok<VmReport, String>(VmReport state) -> {
                table.applyReport(vm, state, clock.monotonicMillis());
                state.memory().ifPresent(use -> relay.put(new RelayEvent.VmMemoryReported(vm, use)));
            }
            case Result.Err<VmReport, String>(String reason) -> {
                table.recordMissedCall(vm, clock.monotonicMillis());
                metrics.counter("vm.reports.missed").inc();
            }
        }
        if (wasUnresponsive != table.isUnresponsive(vm)) {
            log.state(wasUnresponsive ? "vm_answers_again" : "vm_silent")
                    .with("vm", vm)
                    .write();
        } else if (report instanceof Result.Err<VmReport, String> && !table.isUnresponsive(vm)) {
            poll(vm, 0);
        }
        targetsOutdated = true;
    }

    private void applyReply(FleetEvent.OrderReplied replied) {
        ReplicaPlanner planner = planners.get(replied.planner());
        if (planner != null) {
            planner.onReply(clock.monotonicMillis(), replied.order(), replied.reply());
        }
        table.applyReply(replied.order(), replied.reply(), clock.monotonicMillis());
        targetsOutdated = true;
        metrics.counter("orders." + replied.reply()).inc();
        log.state("order_answered")
                .with("vm", replied.order().vm().id())
                .with("expectedOrders", replied.order().expectedOrders())
                .with("reply", replied.reply())
                .write();
    }

    private void applyPeerList(List<Peer> listed) {
        peersListed = true;
        // A node whose registration expired still plans and serves as long as its heartbeats arrive.
        long nowMillis = clock.monotonicMillis();
        peers.keySet().removeIf(name -> !isLive(name, nowMillis));
        stoppingPeers.removeIf(name -> !isLive(name, nowMillis));
        for (Peer peer : listed) {
            if (!peer.name().equals(settings.name())) {
                peers.put(peer.name(), peer);
            }
        }
        heard.forgetSilent(peers::containsKey, nowMillis);
        publishPeerSnapshot();
        publishNodes();
    }

    /** Tells the dispatcher the known nodes, also unchanged ones: it counts for how long they have been so many. */
    private void publishNodes() {
        List<FleetNode> nodes = new ArrayList<>();
        nodes.add(new FleetNode(settings.name(), settings.failureDomain()));
        peers.values().forEach(peer -> nodes.add(new FleetNode(peer.name(), peer.failureDomain())));
        relay.put(new RelayEvent.NodesChanged(nodes));
    }

    private void tick() {
        long nowMillis = clock.monotonicMillis();
        polls.observe();
        if (table.removeExpired(nowMillis)) {
            targetsOutdated = true;
        }
        isolation
                .update(table, this::hasEngine, anyPeerLive(nowMillis), nowMillis)
                .forEach(vm -> poll(vm, UNRESPONSIVE_REPORT_PERIOD_MILLIS));
        pollDoubtfulVms(nowMillis);
        unresponsiveVms = table.recentlyUnresponsive(nowMillis);
        nodeLoadLog.tick(nowMillis);
        if (catalogue == null || !evacuations.isKnown()) {
            return;
        }
        if (targetsOutdated || coldVms.hasColdVms()) {
            coldVms.update(table, catalogue, nowMillis).ifPresent(relay::put);
        }
        evacuations.tick(nowMillis, targets, relay.running());
        if (targetsOutdated) {
            targetsOutdated = false;
            publishTargets();
            hasPublishedTargets |= hasListedVms;
        }
        if (!stopping && peersListed && nowMillis - startedMillis >= PLANNING_DELAY_MILLIS) {
            plan(nowMillis);
        }
    }

    /**
     * Polls VMs that do not answer, and VMs without entries, whose end no entry shows; first those that were not polled for the
     * longest time, as the budget may not suffice for all.
     */
    private void pollDoubtfulVms(long nowMillis) {
        List<UpstreamVm> doubtful = new ArrayList<>();
        for (UpstreamVm vm : table.all()) {
            if (table.isUnresponsive(vm.id()) || table.isUnlisted(vm.id(), nowMillis)) {
                doubtful.add(vm);
            }
        }
        doubtful.sort(Comparator.comparing(vm -> polls.lastAskedMillis(vm.id())));
        for (UpstreamVm vm : doubtful) {
            boolean planned = planners.containsKey(new PlannerKey(vm.failureDomain(), vm.upstream()));
            poll(vm.id(), planned ? UNRESPONSIVE_REPORT_PERIOD_MILLIS : FOREIGN_REPORT_PERIOD_MILLIS);
        }
    }

    /** Polls a VM for a doubt, as far as the budget allows. */
    private void poll(VmId id, long periodMillis) {
        mayPoll(id).ifPresent(vm -> polls.ask(vm, periodMillis));
    }

    private void pollUnlimited(VmId id, long periodMillis) {
        mayPoll(id).ifPresent(vm -> polls.askUnlimited(vm, periodMillis));
    }

    private Optional<UpstreamVm> mayPoll(VmId id) {
        return table.find(id).filter(this::hasEngine).filter(evacuations::mayPoll);
    }

    private void putReport(VmId vm, Result<VmReport, String> report) {
        duty.put(new FleetEvent.VmReported(vm, report));
    }

    /** Plain services cannot be polled; only requests show whether they respond. */
    private boolean hasEngine(UpstreamVm vm) {
        UpstreamEntry upstream =
                catalogue == null ? null : catalogue.upstreams().get(vm.upstream());
        return upstream != null && upstream.engine().isPresent();
    }

    private void publishTargets() {
        polls.retain(id -> table.find(id).isPresent());
        listedQueues = TargetBuilder.listedQueues(table, catalogue);
        List<Target> built = TargetBuilder.build(table, catalogue, clock.monotonicMillis());
        if (Set.copyOf(built).equals(Set.copyOf(targets))) {
            return;
        }
        Set<Target> removed = new HashSet<>(targets);
        removed.removeAll(built);
        Set<Target> added = new HashSet<>(built);
        targets.forEach(added::remove);
        removed.forEach(target -> log.state("target_removed")
                .with("target", target.id())
                .with("line", target.queue())
                .write());
        added.forEach(target -> log.state("target_added")
                .with("target", target.id())
                .with("line", target.queue())
                .with("members", target.members().size())
                .write());
        targets = built;
        relay.put(new RelayEvent.TargetsChanged(built));
    }

    private void plan(long nowMillis) {
        List<PlannerChoice.Candidate> candidates = candidates(nowMillis);
        Set<PlannerKey> ownPlanners = new HashSet<>();
        for (FailureDomainId domain : settings.failureDomains()) {
            boolean isPlanner = !evacuations.contains(domain)
                    && PlannerChoice.planner(domain, candidates)
                            .filter(settings.name()::equals)
                            .isPresent();
            for (UpstreamEntry upstream : catalogue.upstreams().values()) {
                if (isPlanner && upstream.engine().isPresent()) {
                    ownPlanners.add(new PlannerKey(domain, upstream.id()));
                }
            }
        }
        for (PlannerKey key : List.copyOf(planners.keySet())) {
            if (!ownPlanners.contains(key)) {
                planners.remove(key);
                statisticsLog.forget(key);
                log.state("planner_yielded").with("planner", key).write();
            }
        }
        for (PlannerKey key : ownPlanners) {
            runPlanner(nowMillis, key);
        }
        planner = PlannerChoice.planner(settings.failureDomain(), candidates).orElse("");
        plans = Set.copyOf(ownPlanners);
    }

    /**
     * Returns the nodes that may plan: the known nodes except stopping and silent ones. Silence is ignored if no peer at all
     * is heard.
     */
    private List<PlannerChoice.Candidate> candidates(long nowMillis) {
        boolean anyPeerLive = anyPeerLive(nowMillis);
        List<PlannerChoice.Candidate> candidates = new ArrayList<>();
        if (!isIsolated()) {
            candidates.add(new PlannerChoice.Candidate(settings.name(), settings.failureDomain()));
        }
        for (Peer peer : peers.values()) {
            if (!stoppingPeers.contains(peer.name()) && (!anyPeerLive || isLive(peer.name(), nowMillis))) {
                candidates.add(new PlannerChoice.Candidate(peer.name(), peer.failureDomain()));
            }
        }
        return candidates;
    }

    private boolean anyPeerLive(long nowMillis) {
        return peers.keySet().stream().anyMatch(name -> isLive(name, nowMillis));
    }

    private boolean isLive(String name, long nowMillis) {
        return heard.isHeardWithin(name, PEER_TIMEOUT_MILLIS, nowMillis);
    }

    private void runPlanner(long nowMillis, PlannerKey key) {
        ReplicaPlanner planner = planners.get(key);
        if (planner == null) {
            planner = new ReplicaPlanner(plannerName, settings.stallMillis());
            planners.put(key, planner);
            log.state("planner_took_over").with("planner", key).write();
        }
        UpstreamEntry upstream = catalogue.upstreams().get(key.upstream());
        EngineProfile engine = upstream.engine().orElseThrow();
        List<UpstreamVm> known = table.all().stream()
                .filter(vm -> vm.upstream().equals(key.upstream())
                        && vm.failureDomain().equals(key.failureDomain()))
                .sorted(Comparator.comparing(UpstreamVm::id))
                .toList();
        List<UpstreamVm> vms = ReplicaGroups.plannable(known, engine, vm -> table.isUnlisted(vm.id(), nowMillis));
        Set<VmId> unresponsive = new HashSet<>();
        vms.stream().map(UpstreamVm::id).filter(table::isUnresponsive).forEach(unresponsive::add);
        boolean startup = settings.firstStart() && nowMillis - startedMillis < STARTUP_MILLIS;
        Map<QueueId, QueueDemand> demandByQueue = peerDemand.sumWithOthers(relay.demand(), nowMillis);
        ModelDemand demand = startup ? ModelDemand.UNKNOWN : ModelDemand.of(upstream.id(), engine, demandByQueue);
        List<PlannedOrder> planned = planner.plan(new ReplicaPlanner.Input(
                nowMillis,
                clock.wallMillis(),
                engine,
                vms,
                unresponsive,
                startup,
                evacuations.loadShare(settings.failureDomains()),
                demand,
                startup ? Map.of() : replicasInOtherDomains(key)));
        planned.forEach(order -> send(key, order));
        statisticsLog.logVmCounts(nowMillis, key, planner);
        statisticsLog.logDemand(nowMillis, key, demandByQueue, demand.shares());
        planner.vmsWithUnknownOrderCount().forEach(vm -> pollUnlimited(vm, REPORT_PERIOD_MILLIS));
        if (!startup) {
            planner.vmsToPoll().forEach(vm -> pollUnlimited(vm, REPORT_PERIOD_MILLIS));
        }
    }

    /** Counts the replicas that serve in other failure domains, because replicas serve requests of all domains. */
    private Map<ModelId, Integer> replicasInOtherDomains(PlannerKey key) {
        Map<ModelId, Integer> counts = new HashMap<>();
        for (Target target : targets) {
            if (target.queue().upstream().equals(key.upstream())
                    && !target.failureDomain().equals(key.failureDomain())
                    && !evacuations.contains(target.failureDomain())) {
                target.queue().model().ifPresent(model -> counts.merge(model, 1, Integer::sum));
            }
        }
        return counts;
    }

    private void send(PlannerKey key, PlannedOrder order) {
        metrics.counter("orders.sent").inc();
        log.state("order_sent")
                .with("planner", key)
                .with("vm", order.vm().id())
                .with("expectedOrders", order.expectedOrders())
                .with("order", order.order())
                .with("reason", order.reason())
                .write();
        var unused = vmClient.order(order.vm(), order.expectedOrders(), order.order(), ORDER_TIMEOUT_MILLIS)
                .thenAccept(reply -> duty.put(new FleetEvent.OrderReplied(key, order, reply)));
    }

    @Override
    public void close() {
        duty.close();
    }
}
