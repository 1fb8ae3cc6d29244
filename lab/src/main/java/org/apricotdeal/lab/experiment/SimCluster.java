package org.apricotdeal.lab.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.RequestId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.policy.admission.Dispatcher;
import org.apricotdeal.policy.admission.DispatcherEvent;
import org.apricotdeal.policy.admission.DomainLoad;
import org.apricotdeal.policy.limits.CapacitySplit;
import org.apricotdeal.policy.limits.ShareLedger;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.policy.routing.TargetHealth;
import org.apricotdeal.policy.routing.TargetId;

/** One run of an experiment: the fleet, its reports and faults, and the callers. */
final class SimCluster implements SimNode.Fleet {
    private static final long TICK_MILLIS = 20;
    private static final long REPORT_PERIOD_MILLIS = 500;
    private static final long DETECT_MILLIS = 2_000;
    private static final long BREAK_SEEN_MILLIS = 500;

    private final ExperimentPlan plan;
    private final Variant variant;
    private final long seed;
    private final Scheduler scheduler;
    private final Network network;
    private final SimCounters counters;
    private final List<SimNode> nodes = new ArrayList<>();
    private final Map<TargetId, Placed> targets = new LinkedHashMap<>();
    private final SimCallers callers;
    private long restarts;

    /** A target with its place. */
    private static final class Placed {
        private final SimTarget target;
        private final UpstreamId upstream;
        private final FailureDomainId failureDomain;
        private final int streams;
        private boolean listed = true;
        private long lostMicros;

        private Placed(SimTarget target, UpstreamId upstream, FailureDomainId failureDomain, int streams) {
            this.target = target;
            this.upstream = upstream;
            this.failureDomain = failureDomain;
            this.streams = streams;
        }
    }

    SimCluster(ExperimentPlan plan, Variant variant, long seed) {
        this.plan = plan;
        this.variant = variant;
        this.seed = seed;
        this.scheduler = new Scheduler(seed);
        this.network = new Network(
                scheduler, plan.fleet().minDelayMicros(), plan.fleet().maxDelayMicros());
        long fromMicros = plan.warmUpSeconds() * 1_000_000;
        this.counters = new SimCounters(fromMicros, fromMicros + plan.measuredSeconds() * 1_000_000);
        buildTargets();
        buildNodes();
        this.callers = new SimCallers(plan, scheduler, this, slotsByUpstream(), seed);
    }

    /** Runs the experiment to its end. */
    RunResult run() {
        for (SimNode node : nodes) {
            startNode(node);
        }
        scheduler.every(TICK_MILLIS, () -> nodes.forEach(node -> node.step(new DispatcherEvent.Tick())));
        scheduler.every(REPORT_PERIOD_MILLIS, this::reportLoads);
        scheduler.every(REPORT_PERIOD_MILLIS, this::reportDomains);
        for (FaultSpec fault : plan.faults()) {
            scheduler.after(fault.atSeconds() * 1_000, () -> begin(fault));
            scheduler.after((fault.atSeconds() + fault.forSeconds()) * 1_000, () -> end(fault));
        }
        callers.start();
        scheduler.runUntil((plan.warmUpSeconds() + plan.measuredSeconds()) * 1_000);
        callers.stop();
        scheduler.runUntil((plan.warmUpSeconds() + plan.measuredSeconds()) * 1_000 + drainMillis());
        return new RunResult(plan, variant, seed, counters, callers.requests(), slotsByUpstream());
    }

    /** Returns the time for which requests asked within the measured time may still end. */
    private long drainMillis() {
        return 30_000;
    }

    private void buildTargets() {
        for (String domain : plan.fleet().failureDomains()) {
            FailureDomainId domainId = new FailureDomainId(domain);
            for (ModelEntry model : plan.catalogue().all(ModelEntry.class)) {
                for (int i = 0; i < plan.fleet().replicasPerDomain(); i++) {
                    String name = model.id() + "." + domain + "." + i;
                    place(
                            new SimReplica(
                                    name,
                                    scheduler,
                                    network,
                                    model.maxStreamsPerReplica(),
                                    plan.fleet().prefixCacheEntries(),
                                    counters),
                            model.id(),
                            domainId,
                            model.maxStreamsPerReplica());
                }
            }
            for (ServiceEntry service : plan.catalogue().all(ServiceEntry.class)) {
                for (int i = 0; i < plan.fleet().serviceVmsPerDomain(); i++) {
                    String name = service.id() + "." + domain + "." + i;
                    place(
                            new SimServiceVm(name, scheduler, network, service.maxInFlightPerVm()),
                            service.id(),
                            domainId,
                            service.maxInFlightPerVm());
                }
            }
        }
    }

    private void place(SimTarget target, UpstreamId upstream, FailureDomainId domain, int streams) {
        targets.put(new TargetId(target.name()), new Placed(target, upstream, domain, streams));
    }

    private void buildNodes() {
        for (int i = 0; i < plan.fleet().failureDomains().size(); i++) {
            String domain = plan.fleet().failureDomains().get(i);
            for (int n = 0; n < plan.fleet().nodesPerDomain().get(i); n++) {
                NodeId id = new NodeId("node." + domain + "." + n);
                nodes.add(new SimNode(id, new FailureDomainId(domain), scheduler, network, this, counters));
            }
        }
    }

    private void startNode(SimNode node) {
        restarts++;
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000 + restarts);
        ShareLedger ledger = new ShareLedger(node.id(), scheduler.wallMillis());
        Dispatcher dispatcher = new Dispatcher(variant.newRouter(random), ledger, random, variant.options());
        node.start(dispatcher, plan.catalogue(), nodes.stream().map(SimNode::id).toList());
        tellCapacity(node);
    }

    private void tellCapacity(SimNode node) {
        List<NodeId> sharing = nodes.stream()
                .filter(other -> other.failureDomain().equals(node.failureDomain()))
                .map(SimNode::id)
                .sorted()
                .toList();
        List<Target> visible = new ArrayList<>();
        targets.forEach((id, placed) -> {
            if (placed.listed && placed.failureDomain.equals(node.failureDomain())) {
                int part = CapacitySplit.streamsOf(placed.streams, id, sharing, node.id());
                visible.add(new Target(id, placed.upstream, placed.failureDomain, part, TargetHealth.HEALTHY));
            }
        });
        node.step(new DispatcherEvent.CapacityChanged(visible));
    }

    private void reportLoads() {
        targets.forEach((id, placed) -> {
            if (placed.target.isLost()) {
                return;
            }
            DispatcherEvent report = new DispatcherEvent.LoadReported(
                    id, placed.target.running(), placed.target.waiting(), plan.reportLagMillis());
            scheduler.after(plan.reportLagMillis(), () -> {
                for (SimNode node : nodes) {
                    if (node.failureDomain().equals(placed.failureDomain)) {
                        node.step(report);
                    }
                }
            });
        });
    }

    private void reportDomains() {
        for (SimNode node : nodes) {
            if (node.isStopped()) {
                continue;
            }
            for (SimNode other : nodes) {
                if (!other.failureDomain().equals(node.failureDomain())) {
                    List<DomainLoad> loads = loadsOf(node);
                    network.send(node.name(), other.name(), () -> other.domainReported(node.name(), loads));
                }
            }
        }
    }

    /** Returns a node's open streams, divided between the nodes that may forward to it. */
    private List<DomainLoad> loadsOf(SimNode node) {
        long others = nodes.stream()
                .filter(other -> !other.failureDomain().equals(node.failureDomain()))
                .count();
        List<DomainLoad> loads = new ArrayList<>();
        for (UpstreamId upstream : slotsByUpstream().keySet()) {
            for (ClassEntry entry : plan.catalogue().all(ClassEntry.class)) {
                int open = node.dispatcher().openStreams(upstream, entry.id());
                int each = (int) Math.ceilDiv(open, Math.max(1, others));
                loads.add(
                        new DomainLoad(node.failureDomain(), upstream, entry.id(), each, scheduler.monotonicMillis()));
            }
        }
        return loads;
    }

    private void begin(FaultSpec fault) {
        switch (fault.kind()) {
            case REPLICA -> affected(fault).forEach(this::lose);
            case STRAGGLER -> affected(fault).forEach(placed -> placed.target.setSlowdown(fault.slowdown()));
            case FAILURE_DOMAIN -> {
                inDomain(fault).forEach(this::lose);
                nodesOf(fault).forEach(SimNode::stop);
            }
            case CUT -> cut(fault, true);
            default -> throw new IllegalStateException("fault " + fault.kind());
        }
    }

    private void end(FaultSpec fault) {
        switch (fault.kind()) {
            case REPLICA -> affected(fault).forEach(this::restore);
            case STRAGGLER -> affected(fault).forEach(placed -> placed.target.setSlowdown(1));
            case FAILURE_DOMAIN -> {
                nodesOf(fault).forEach(this::startNode);
                inDomain(fault).forEach(this::restore);
            }
            case CUT -> cut(fault, false);
            default -> throw new IllegalStateException("fault " + fault.kind());
        }
    }

    private void lose(Placed placed) {
        placed.target.setLost(true);
        placed.lostMicros = scheduler.nowMicros();
        scheduler.after(BREAK_SEEN_MILLIS, () -> nodes.forEach(node -> node.targetLost(placed.target)));
        scheduler.after(DETECT_MILLIS, () -> {
            placed.listed = false;
            nodes.forEach(this::tellCapacity);
        });
    }

    private void restore(Placed placed) {
        placed.target.setLost(false);
        counters.lost(placed.upstream, placed.streams, placed.lostMicros, scheduler.nowMicros());
        placed.listed = true;
        nodes.forEach(this::tellCapacity);
    }

    private void cut(FaultSpec fault, boolean isCut) {
        for (SimNode inside : nodesOf(fault)) {
            for (SimNode outside : nodes) {
                if (!outside.failureDomain().equals(inside.failureDomain())) {
                    network.cut(inside.name(), outside.name(), isCut);
                    network.cut(outside.name(), inside.name(), isCut);
                }
            }
        }
    }

    private List<Placed> inDomain(FaultSpec fault) {
        return targets.values().stream()
                .filter(placed -> placed.failureDomain.value().equals(fault.failureDomain()))
                .toList();
    }

    private List<Placed> affected(FaultSpec fault) {
        return inDomain(fault).stream()
                .filter(placed -> placed.target instanceof SimReplica)
                .limit(fault.replicas())
                .toList();
    }

    private List<SimNode> nodesOf(FaultSpec fault) {
        return nodes.stream()
                .filter(node -> node.failureDomain().value().equals(fault.failureDomain()))
                .toList();
    }

    private Map<UpstreamId, Integer> slotsByUpstream() {
        Map<UpstreamId, Integer> slots = new HashMap<>();
        targets.values().forEach(placed -> slots.merge(placed.upstream, placed.streams, Integer::sum));
        return slots;
    }

    /** Hands a request to the node that the platform's balancer picks. */
    void balance(RequestId id, CallerRequest request) {
        List<SimNode> live = nodes.stream().filter(node -> !node.isStopped()).toList();
        if (live.isEmpty()) {
            failed(request);
            return;
        }
        SimNode node = live.get(scheduler.random().nextInt(live.size()));
        network.send("callers", node.name(), () -> node.ask(id, request));
    }

    @Override
    public SimTarget target(TargetId id) {
        return targets.get(id).target;
    }

    @Override
    public SimNode peerIn(FailureDomainId failureDomain) {
        List<SimNode> live = nodes.stream()
                .filter(node -> node.failureDomain().equals(failureDomain) && !node.isStopped())
                .toList();
        return live.isEmpty() ? null : live.get(scheduler.random().nextInt(live.size()));
    }

    @Override
    public SimNode node(NodeId id) {
        for (SimNode node : nodes) {
            if (node.id().equals(id)) {
                return node;
            }
        }
        throw new IllegalStateException("no node " + id);
    }

    @Override
    public void refused(CallerRequest request) {
        callers.refused(request);
    }

    @Override
    public void failed(CallerRequest request) {
        callers.failed(request);
    }
}
