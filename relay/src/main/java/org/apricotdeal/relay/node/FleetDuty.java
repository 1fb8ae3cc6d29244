package org.apricotdeal.relay.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.model.EngineProfile;
import org.apricotdeal.relay.model.ModelId;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.model.VmReport;
import org.apricotdeal.relay.peer.PlannerChoice;
import org.apricotdeal.relay.policy.ModelDemand;
import org.apricotdeal.relay.policy.PlannedOrder;
import org.apricotdeal.relay.policy.QueueDemand;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.ReplicaPlanner;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetBuilder;
import org.apricotdeal.relay.policy.VmTable;
import org.apricotdeal.relay.port.ReplicaOrders;

/**
 * The duty that owns what the node believes of VMs and other nodes. It derives the targets for the dispatcher, asks VMs in
 * doubt for their state, and runs the planners of the failure domains that fall to this node.
 */
final class FleetDuty implements AutoCloseable {
    private static final int RING_SLOTS = 4_096;
    private static final long TICK_MILLIS = 100;

    /** Longest wait for a report: a VM answers within milliseconds, also when it works. */
    private static final long REPORT_TIMEOUT_MILLIS = 250;

    private static final long ORDER_TIMEOUT_MILLIS = 600;

    /** Time between two calls for the state of the same VM. */
    private static final long REPORT_PERIOD_MILLIS = 300;

    /** Time between two calls for the state of a VM that does not answer but is still listed. */
    private static final long SILENT_REPORT_PERIOD_MILLIS = 1_000;

    /** A node that has not been heard for so long is not counted on for planning; several heartbeats. */
    private static final long PEER_SILENT_MILLIS = 2_000;

    /** So many silent VMs are believed of another node in any case. */
    private static final int MIN_TOLD_SILENT = 4;

    /** A fleet that starts gets its first requests later than this; loads are short until then. */
    private static final long START_MILLIS = 12_000;

    /** Nodes that start together have registered by then; until then each would take itself for the only one. */
    private static final long SETTLE_MILLIS = 1_500;

    private final RelaySettings settings;
    private final RelayDuty relay;
    private final ReplicaOrders orders;
    private final Clock clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final Duty<FleetEvent> duty;
    private final VmTable table = new VmTable();
    private final Map<VmId, Long> askedMillis = new HashMap<>();
    private final Map<PlannerKey, ReplicaPlanner> planners = new HashMap<>();
    private final CensusLog censuses;
    private final NodeLoadLog nodeLoads;
    private final Map<String, Peer> peers = new HashMap<>();
    private final Map<String, Long> heardMillis = new HashMap<>();
    private final Set<String> stoppingPeers = new HashSet<>();
    private final long startedMillis;
    private final String plannerName;
    private RelayCatalogue catalogue;
    private List<Target> targets = List.of();
    private boolean changed;
    private boolean peersListed;
    private volatile Neighbours neighbours = new Neighbours(List.of(), Set.of(), Map.of());
    private volatile Map<VmId, Long> silentVms = Map.of();
    private volatile boolean sawVms;
    private volatile boolean stopping;

    FleetDuty(
            RelaySettings settings,
            RelayDuty relay,
            ReplicaOrders orders,
            Clock clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.settings = settings;
        this.relay = relay;
        this.orders = orders;
        this.clock = clock;
        this.log = log;
        this.censuses = new CensusLog(log);
        this.metrics = metrics;
        this.nodeLoads = new NodeLoadLog(log, metrics);
        this.startedMillis = clock.monotonicMillis();
        this.plannerName = plannerName(settings.name(), clock.wallMillis());
        metrics.register("targets", (Gauge<Integer>) () -> targets.size());
        this.duty = new Duty<>("fleet", RING_SLOTS, TICK_MILLIS, this::step, this::tick);
    }

    /** Tells nodes apart by their names, and starts of a node by their time. */
    private static String plannerName(String node, long wallMillis) {
        long mixed = Hashing.komihash4_3().hashCharsToLong(node + "/" + wallMillis);
        return Long.toUnsignedString(mixed, Character.MAX_RADIX);
    }

    void put(FleetEvent event) {
        duty.put(event);
    }

    /** Hands on a doubt from a thread that must not wait; a doubt that finds no room comes again. */
    void doubt(List<VmId> vms, String reason) {
        if (!duty.offer(new FleetEvent.Doubted(vms, reason))) {
            metrics.counter("fleet.doubts.dropped").inc();
        }
    }

    /** Returns the other nodes as they are known now. */
    Neighbours neighbours() {
        return neighbours;
    }

    /** Returns the other nodes that have been heard of late, by whomever. */
    List<FleetEvent.Seen> seenOfLate() {
        long nowMillis = clock.monotonicMillis();
        Neighbours now = neighbours;
        List<FleetEvent.Seen> nodes = new ArrayList<>();
        now.heardMillis().forEach((name, atMillis) -> {
            if (nowMillis - atMillis < PEER_SILENT_MILLIS) {
                nodes.add(new FleetEvent.Seen(name, atMillis, now.stopping().contains(name)));
            }
        });
        return nodes;
    }

    /** Returns when VMs last did not answer a call, for those that are silent. */
    Map<VmId, Long> silentVms() {
        return silentVms;
    }

    /** Tells whether this node plans no more, for heartbeats. */
    boolean isStopping() {
        return stopping;
    }

    /** Tells whether the store's VMs have been listed once. */
    boolean sawVms() {
        return sawVms;
    }

    private void step(FleetEvent event) {
        switch (event) {
            case FleetEvent.ListedAll(List<UpstreamVm> vms, long removeAtMillis) -> {
                table.replaceEntries(vms, removeAtMillis, clock.monotonicMillis())
                        .forEach(vm -> ask(vm, REPORT_PERIOD_MILLIS));
                sawVms = true;
                changed = true;
            }
            case FleetEvent.Listed(UpstreamVm vm) -> {
                if (table.applyEntry(vm, clock.monotonicMillis())) {
                    ask(vm.id(), REPORT_PERIOD_MILLIS);
                }
                changed = true;
            }
            case FleetEvent.Removed(VmId vm, long removeAtMillis) -> {
                table.removeEntryLater(vm, removeAtMillis);
                changed = true;
            }
            case FleetEvent.Reported(VmId vm, Result<VmReport, String> report) -> takeReport(vm, report);
            case FleetEvent.Doubted(List<VmId> vms, String reason) -> vms.forEach(vm -> ask(vm, REPORT_PERIOD_MILLIS));
            case FleetEvent.OrderAnswered answered -> takeReply(answered);
            case FleetEvent.CatalogueChanged(RelayCatalogue adopted) -> {
                catalogue = adopted;
                changed = true;
            }
            case FleetEvent.PeersListed(List<Peer> listed) -> takePeers(listed);
            case FleetEvent.Heartbeat(Peer sender, List<FleetEvent.Seen> others, boolean senderStops) -> {
                peers.putIfAbsent(sender.name(), sender);
                noteHeard(sender.name(), clock.monotonicMillis(), senderStops);
                others.forEach(node -> noteHeard(node.name(), node.heardMillis(), node.stopping()));
                publishNeighbours();
            }
            case FleetEvent.ToldSilent(Map<VmId, Long> missedMillis) -> takeSilent(missedMillis);
            case FleetEvent.Stopping stop -> stopping = true;
        }
    }

    /** Notes when a node was heard, by this one or another; older word than what is known has no effect. */
    private void noteHeard(String name, long atMillis, boolean stops) {
        if (name.equals(settings.name()) || atMillis <= heardMillis.getOrDefault(name, Long.MIN_VALUE)) {
            return;
        }
        heardMillis.put(name, atMillis);
        boolean news = stops ? stoppingPeers.add(name) : stoppingPeers.remove(name);
        if (news) {
            log.state(stops ? "node_stops" : "node_plans_again")
                    .with("node", name)
                    .write();
        }
    }

    private void publishNeighbours() {
        neighbours = new Neighbours(List.copyOf(peers.values()), Set.copyOf(stoppingPeers), Map.copyOf(heardMillis));
    }

    private void takeSilent(Map<VmId, Long> missedMillis) {
        // A node to which most VMs are silent is itself cut off, or too slow to tell.
        if (missedMillis.size() > Math.max(MIN_TOLD_SILENT, table.all().size() / 4)) {
            return;
        }
        missedMillis.forEach((vm, atMillis) -> {
            if (table.suspectOnPeerReport(vm, atMillis, clock.monotonicMillis())) {
                metrics.counter("vms.suspected").inc();
                ask(vm, 0);
                changed = true;
            }
        });
    }

    private void takeReport(VmId vm, Result<VmReport, String> report) {
        boolean silentBefore = table.isUnresponsive(vm);
        switch (report) {
            case Result.Ok<VmReport, String>(VmReport state) -> table.applyReport(vm, state, clock.monotonicMillis());
            case Result.Err<VmReport, String>(String reason) -> {
                table.recordMissedCall(vm, clock.monotonicMillis());
                metrics.counter("vm.reports.missed").inc();
            }
        }
        if (silentBefore != table.isUnresponsive(vm)) {
            log.state(silentBefore ? "vm_answers_again" : "vm_silent")
                    .with("vm", vm)
                    .write();
        } else if (report instanceof Result.Err<VmReport, String> && !table.isUnresponsive(vm)) {
            ask(vm, 0);
        }
        changed = true;
    }

    private void takeReply(FleetEvent.OrderAnswered answered) {
        ReplicaPlanner planner = planners.get(answered.planner());
        if (planner != null) {
            planner.onReply(clock.monotonicMillis(), answered.order(), answered.reply());
        }
        table.applyReply(answered.order(), answered.reply(), clock.monotonicMillis());
        changed = true;
        metrics.counter("orders." + answered.reply()).inc();
        log.state("order_answered")
                .with("vm", answered.order().vm().id())
                .with("expectedOrders", answered.order().expectedOrders())
                .with("reply", answered.reply())
                .write();
    }

    private void takePeers(List<Peer> listed) {
        peersListed = true;
        // A node whose registration lapsed still plans and serves as long as it is heard.
        long nowMillis = clock.monotonicMillis();
        peers.keySet().removeIf(name -> !heard(name, nowMillis));
        stoppingPeers.removeIf(name -> !heard(name, nowMillis));
        for (Peer peer : listed) {
            if (!peer.name().equals(settings.name())) {
                peers.put(peer.name(), peer);
            }
        }
        heardMillis.keySet().removeIf(name -> !heard(name, nowMillis) && !peers.containsKey(name));
        publishNeighbours();
        relay.put(new RelayEvent.NodeCountChanged(peers.size() + 1));
    }

    private void tick() {
        long nowMillis = clock.monotonicMillis();
        if (table.removeExpired(nowMillis)) {
            changed = true;
        }
        askSilent();
        silentVms = table.recentlyUnresponsive(nowMillis);
        nodeLoads.tick(nowMillis);
        if (catalogue == null) {
            return;
        }
        if (changed) {
            changed = false;
            publishTargets();
        }
        if (!stopping && peersListed && nowMillis - startedMillis >= SETTLE_MILLIS) {
            plan(nowMillis);
        }
    }

    private void askSilent() {
        for (UpstreamVm vm : table.all()) {
            if (table.isUnresponsive(vm.id())) {
                ask(vm.id(), SILENT_REPORT_PERIOD_MILLIS);
            }
        }
    }

    private void ask(VmId id, long periodMillis) {
        long nowMillis = clock.monotonicMillis();
        Optional<UpstreamVm> vm = table.find(id).filter(this::hasEngine);
        Long lastMillis = askedMillis.get(id);
        if (vm.isEmpty() || (lastMillis != null && nowMillis - lastMillis < periodMillis)) {
            return;
        }
        askedMillis.put(id, nowMillis);
        metrics.counter("vm.reports.asked").inc();
        var unused = orders.report(vm.get(), REPORT_TIMEOUT_MILLIS)
                .thenAccept(report -> duty.put(new FleetEvent.Reported(id, report)));
    }

    /** Plain services have no state to ask for; whether they answer shows by their requests alone. */
    private boolean hasEngine(UpstreamVm vm) {
        UpstreamEntry upstream =
                catalogue == null ? null : catalogue.upstreams().get(vm.upstream());
        return upstream != null && upstream.engine().isPresent();
    }

    private void publishTargets() {
        askedMillis.keySet().removeIf(id -> table.find(id).isEmpty());
        List<Target> built = TargetBuilder.build(table, catalogue, clock.monotonicMillis());
        if (Set.copyOf(built).equals(Set.copyOf(targets))) {
            return;
        }
        Set<Target> gone = new HashSet<>(targets);
        gone.removeAll(built);
        Set<Target> added = new HashSet<>(built);
        targets.forEach(added::remove);
        gone.forEach(target -> log.state("target_removed")
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

    // Planning.

    private void plan(long nowMillis) {
        List<PlannerChoice.Candidate> live = candidates(nowMillis);
        Set<PlannerKey> mine = new HashSet<>();
        for (FailureDomainId domain : settings.failureDomains()) {
            boolean own = PlannerChoice.planner(domain, live)
                    .filter(settings.name()::equals)
                    .isPresent();
            for (UpstreamEntry upstream : catalogue.upstreams().values()) {
                if (own && upstream.engine().isPresent()) {
                    mine.add(new PlannerKey(domain, upstream.id()));
                }
            }
        }
        for (PlannerKey key : List.copyOf(planners.keySet())) {
            if (!mine.contains(key)) {
                planners.remove(key);
                censuses.forget(key);
                log.state("planner_yielded").with("planner", key).write();
            }
        }
        for (PlannerKey key : mine) {
            planOne(nowMillis, key);
        }
    }

    /** Nodes that are counted on: the registered ones, less those that stop or have fallen silent where others are heard. */
    private List<PlannerChoice.Candidate> candidates(long nowMillis) {
        boolean hearsAny = peers.keySet().stream().anyMatch(name -> heard(name, nowMillis));
        List<PlannerChoice.Candidate> live = new ArrayList<>();
        live.add(new PlannerChoice.Candidate(settings.name(), settings.failureDomain()));
        for (Peer peer : peers.values()) {
            if (!stoppingPeers.contains(peer.name()) && (!hearsAny || heard(peer.name(), nowMillis))) {
                live.add(new PlannerChoice.Candidate(peer.name(), peer.failureDomain()));
            }
        }
        return live;
    }

    private boolean heard(String name, long nowMillis) {
        Long atMillis = heardMillis.get(name);
        return atMillis != null && nowMillis - atMillis < PEER_SILENT_MILLIS;
    }

    private void planOne(long nowMillis, PlannerKey key) {
        ReplicaPlanner planner = planners.get(key);
        if (planner == null) {
            planner = new ReplicaPlanner(plannerName, settings.stallMillis());
            planners.put(key, planner);
            log.state("planner_took_over").with("planner", key).write();
        }
        UpstreamEntry upstream = catalogue.upstreams().get(key.upstream());
        EngineProfile engine = upstream.engine().orElseThrow();
        List<UpstreamVm> vms = table.all().stream()
                .filter(vm -> vm.upstream().equals(key.upstream())
                        && vm.failureDomain().equals(key.failureDomain()))
                .sorted(Comparator.comparing(UpstreamVm::id))
                .toList();
        Set<VmId> lost = new HashSet<>();
        vms.stream().map(UpstreamVm::id).filter(table::isUnresponsive).forEach(lost::add);
        boolean beforeTraffic = settings.firstStart() && nowMillis - startedMillis < START_MILLIS;
        Map<QueueId, QueueDemand> lines = relay.demand();
        ModelDemand demand = beforeTraffic ? ModelDemand.UNKNOWN : ModelDemand.of(upstream.id(), engine, lines);
        List<PlannedOrder> planned = planner.plan(new ReplicaPlanner.Input(
                nowMillis,
                clock.wallMillis(),
                engine,
                vms,
                lost,
                beforeTraffic,
                1.0 / Math.max(1, settings.failureDomains().size()),
                demand,
                beforeTraffic ? Map.of() : servingElsewhere(key)));
        planned.forEach(order -> send(key, order));
        censuses.note(nowMillis, key, planner);
        censuses.noteDemand(nowMillis, key, lines, demand.shares());
        planner.vmsWithUnknownOrderCount().forEach(vm -> ask(vm, REPORT_PERIOD_MILLIS));
        if (!beforeTraffic) {
            planner.vmsToPoll().forEach(vm -> ask(vm, REPORT_PERIOD_MILLIS));
        }
    }

    /** Counts the replicas that serve in other failure domains, which take requests of all. */
    private Map<ModelId, Integer> servingElsewhere(PlannerKey key) {
        Map<ModelId, Integer> counts = new HashMap<>();
        for (Target target : targets) {
            if (target.queue().upstream().equals(key.upstream())
                    && !target.failureDomain().equals(key.failureDomain())) {
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
        var unused = orders.order(order.vm(), order.expectedOrders(), order.order(), ORDER_TIMEOUT_MILLIS)
                .thenAccept(reply -> duty.put(new FleetEvent.OrderAnswered(key, order, reply)));
    }

    @Override
    public void close() {
        duty.close();
    }
}
