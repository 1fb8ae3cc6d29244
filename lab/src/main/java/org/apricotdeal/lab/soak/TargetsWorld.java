package org.apricotdeal.lab.soak;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.relay.model.CallerLimits;
import org.apricotdeal.relay.model.ColdStart;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.RetrySafety;
import org.apricotdeal.relay.model.RouteEntry;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.model.WeightedUpstream;
import org.apricotdeal.relay.policy.ColdBounds;
import org.apricotdeal.relay.policy.FleetNode;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.port.StoreRevision;

/** Nodes in relay mode, VMs of a plain service, the store and the network between them, on the virtual clock. */
final class TargetsWorld {
    static final ColdStart COLD_START = new ColdStart(3_000, 23);
    static final ColdBounds COLD_BOUNDS = new ColdBounds(1.5, 5);
    static final QueueId QUEUE = new QueueId(new UpstreamId("shop"), Optional.empty());

    private static final int DOMAINS = 3;
    private static final int VMS_PER_DOMAIN = 2;
    private static final int MIN_NODES_PER_DOMAIN = 2;
    private static final int MAX_NODES_PER_DOMAIN = 4;
    private static final long ENTRY_MILLIS = 1_200;
    private static final long COPY_MILLIS = 500;
    private static final long TOUCH_SAMPLE_MILLIS = 50;
    private static final double HEARTBEAT_LOSS = 0.1;
    private static final double HEARTBEAT_REPEATS = 0.05;

    private final Scheduler scheduler;
    private final Network network;
    private final Trace trace;
    private final TargetsFault fault;
    private final TargetsStore store = new TargetsStore();
    private final TargetsChecks checks = new TargetsChecks(this);
    private final List<FailureDomainId> domains = new ArrayList<>();
    private final Map<String, TargetsNode> nodes = new HashMap<>();
    private final List<TargetsNode> nodeList = new ArrayList<>();
    private final Map<VmId, TargetsVm> vms = new HashMap<>();
    private final List<TargetsVm> vmList = new ArrayList<>();
    private final Set<TargetsNode> storeSilentTo = new HashSet<>();
    private final Set<TargetsNode> cutOff = new HashSet<>();
    private final Map<TargetsNode, List<FleetNode>> views = new HashMap<>();
    private boolean storeAway;
    private final RelayCatalogue catalogue;
    private final RouteEntry route;

    TargetsWorld(long seed, TargetsFault fault) {
        this.scheduler = new Scheduler(seed);
        this.network = new Network(scheduler, 500, 60_000);
        this.trace = new Trace(scheduler);
        this.fault = fault;
        network.faults(HEARTBEAT_LOSS, HEARTBEAT_REPEATS);
        route = new RouteEntry(
                "route",
                "host",
                "/",
                RetrySafety.STREAM,
                true,
                6_000,
                400,
                300,
                1,
                true,
                2,
                List.of(new WeightedUpstream(QUEUE.upstream(), 1)));
        UpstreamEntry upstream = new UpstreamEntry(QUEUE.upstream(), "/h", 50, Optional.empty(), COLD_START);
        catalogue = new RelayCatalogue(
                1,
                List.of(route),
                Map.of(upstream.id(), upstream),
                Optional.empty(),
                new CallerLimits(16_384, 100_000, 3_000, 15_000));
        int nodesPerDomain =
                MIN_NODES_PER_DOMAIN + scheduler.random().nextInt(MAX_NODES_PER_DOMAIN - MIN_NODES_PER_DOMAIN + 1);
        for (int d = 0; d < DOMAINS; d++) {
            FailureDomainId domain = new FailureDomainId("d" + d);
            domains.add(domain);
            for (int i = 0; i < nodesPerDomain; i++) {
                add(new TargetsNode(new FleetNode("n" + d + i, domain), this));
            }
            for (int i = 0; i < VMS_PER_DOMAIN; i++) {
                add(new TargetsVm(new VmId("v" + d + i), domain));
            }
        }
        store.copy(scheduler.monotonicMillis());
        scheduler.every(COPY_MILLIS, () -> store.copy(scheduler.monotonicMillis()));
        scheduler.every(TOUCH_SAMPLE_MILLIS, () -> checks.observeTouch(inTouch()));
        nodeList.forEach(TargetsNode::start);
    }

    private void add(TargetsNode node) {
        nodes.put(node.self.name(), node);
        nodeList.add(node);
    }

    private void add(TargetsVm vm) {
        vms.put(vm.id, vm);
        vmList.add(vm);
        writeEntry(vm);
        scheduler.every(ENTRY_MILLIS, () -> {
            if (vm.up) {
                writeEntry(vm);
            }
        });
    }

    /** Writes the entry of a VM as it is now; returns the revision. */
    StoreRevision writeEntry(TargetsVm vm) {
        return store.write(
                vm.id, vm.up ? Optional.of(vm.entry(QUEUE.upstream(), scheduler.monotonicMillis())) : Optional.empty());
    }

    /** Makes a VM cold, as after a start or while it serves. */
    void makeCold(TargetsVm vm) {
        vm.coldUntilMillis = scheduler.monotonicMillis() + COLD_START.startMillis();
        vm.recordTold(writeEntry(vm), scheduler.monotonicMillis());
    }

    /** Returns the nodes that the operator's words can reach now: the store answers them, or nodes that are in touch. */
    private Set<TargetsNode> inTouch() {
        Set<TargetsNode> reached = new HashSet<>();
        Deque<TargetsNode> pending = new ArrayDeque<>();
        for (TargetsNode node : nodeList) {
            if (node.isRunning() && storeAnswers(node)) {
                reached.add(node);
                pending.add(node);
            }
        }
        while (!pending.isEmpty()) {
            TargetsNode from = pending.remove();
            for (TargetsNode node : nodeList) {
                if (node.isRunning() && !cutOff.contains(node) && !cutOff.contains(from) && reached.add(node)) {
                    pending.add(node);
                }
            }
        }
        return reached;
    }

    boolean storeAnswers(TargetsNode node) {
        return !storeAway && !storeSilentTo.contains(node) && !cutOff.contains(node);
    }

    /** Takes the store away from all nodes, or returns it. */
    void setStoreAway(boolean away) {
        storeAway = away;
    }

    /** Returns the store to a copy of an age; what it told of cold VMs since may be lost. */
    void restoreStore(long ageMillis) {
        long copiedMillis = store.restore(ageMillis, scheduler.monotonicMillis());
        checks.restore();
        vmList.forEach(vm -> vm.recordRestored(copiedMillis));
    }

    /** Writes again what the operator and the VMs had written before the store was restored. */
    void writeAgain() {
        store.writeWordsAgain(domains, scheduler.monotonicMillis());
        vmList.forEach(vm -> vm.recordWrittenAgain(writeEntry(vm), scheduler.monotonicMillis()));
    }

    void setStoreSilent(TargetsNode node, boolean silent) {
        if (silent) {
            storeSilentTo.add(node);
        } else {
            storeSilentTo.remove(node);
        }
    }

    /** Cuts a node off from the store and from all other nodes, or joins it again; it still reaches the VMs. */
    void setCutOff(TargetsNode node, boolean isCutOff) {
        if (isCutOff) {
            cutOff.add(node);
        } else {
            cutOff.remove(node);
        }
        network.healAll();
        for (TargetsNode cut : cutOff) {
            for (TargetsNode other : nodeList) {
                network.cut(cut.self.name(), other.self.name(), true);
                network.cut(other.self.name(), cut.self.name(), true);
            }
        }
    }

    /** Returns the nodes that a node takes for the fleet. */
    List<FleetNode> viewOf(TargetsNode node) {
        return views.getOrDefault(node, fleet());
    }

    /** Sets what a node takes for the fleet. */
    void setView(TargetsNode node, List<FleetNode> view) {
        views.put(node, view);
        if (node.view().isEmpty()) {
            return;
        }
        node.setView(view);
    }

    /** Returns whether no process takes less than all nodes for the fleet. */
    boolean allAgree() {
        return nodeList.stream()
                .allMatch(node -> node.view().isEmpty() || node.view().equals(fleet()));
    }

    List<FleetNode> fleet() {
        return nodeList.stream().map(node -> node.self).toList();
    }

    Scheduler scheduler() {
        return scheduler;
    }

    Network network() {
        return network;
    }

    Trace trace() {
        return trace;
    }

    TargetsFault fault() {
        return fault;
    }

    TargetsStore store() {
        return store;
    }

    TargetsChecks checks() {
        return checks;
    }

    RelayCatalogue catalogue() {
        return catalogue;
    }

    RouteEntry route() {
        return route;
    }

    List<FailureDomainId> domains() {
        return domains;
    }

    List<TargetsNode> nodes() {
        return nodeList;
    }

    TargetsNode node(String name) {
        return nodes.get(name);
    }

    List<TargetsVm> vms() {
        return vmList;
    }

    TargetsVm vm(VmId id) {
        return vms.get(id);
    }
}
