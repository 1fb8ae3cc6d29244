package org.apricotdeal.proofs.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.ReplicaId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.lab.sim.Network;
import org.apricotdeal.lab.sim.Scheduler;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.Heartbeat;
import org.apricotdeal.policy.membership.Membership;
import org.apricotdeal.policy.membership.MembershipAction;
import org.apricotdeal.policy.membership.MembershipEvent;
import org.apricotdeal.policy.membership.MembershipFault;
import org.apricotdeal.policy.membership.PeerNode;
import org.apricotdeal.policy.membership.VmReport;
import org.apricotdeal.policy.membership.VmUpdate;

/** Simulates nodes that run {@link Membership} on virtual time and VMs that answer probes, and counts the bytes sent. */
final class MembershipSimulation {
    private static final FailureDomainId DOMAIN = new FailureDomainId("at-east-1");
    private static final long TICK_MILLIS = 100;
    private static final int VMS_PER_REPLICA = 16;
    private static final int FIELD_HEADER_BYTES = 1;
    private static final int NUMBER_BYTES = 6;

    private final Scheduler scheduler = new Scheduler(7);
    private final Network network = new Network(scheduler, 200, 3_000);
    private final Map<NodeId, Membership> nodes = new TreeMap<>();
    private final Map<NodeId, Map<VmId, VmReport>> reports = new HashMap<>();
    private final Map<NodeId, Set<Health>> reportedHealth = new HashMap<>();
    private final Map<VmId, Integer> bootCounts = new TreeMap<>();
    private final List<PeerNode> peers = new ArrayList<>();
    private final Set<MembershipFault> faults;
    private long probes;
    private long heartbeats;
    private long heartbeatBytes;

    MembershipSimulation(int nodeCount, int vmCount, MembershipFault... faults) {
        for (int i = 0; i < vmCount; i++) {
            bootCounts.put(new VmId("at-east-1-vm-" + (100 + i)), 1);
        }
        this.faults = Set.of(faults);
        for (int i = 0; i < nodeCount; i++) {
            NodeId id = new NodeId("at-east-1-entry-" + (10 + i));
            peers.add(new PeerNode(id, DOMAIN));
            nodes.put(id, new Membership(id, DOMAIN, "boot-1", Membership.PROBERS_PER_VM, this.faults));
        }
        for (NodeId id : nodes.keySet()) {
            start(id, "boot-1");
            scheduler.after(
                    scheduler.random().nextLong(TICK_MILLIS),
                    () -> scheduler.every(TICK_MILLIS, () -> {
                        if (!network.isPaused(id.value()) && !network.isStopped(id.value())) {
                            step(id, new MembershipEvent.Tick());
                        }
                    }));
        }
    }

    private void start(NodeId id, String bootId) {
        nodes.put(id, new Membership(id, DOMAIN, bootId, Membership.PROBERS_PER_VM, faults));
        reports.put(id, new HashMap<>());
        reportedHealth.put(id, new HashSet<>());
        step(id, new MembershipEvent.PeersListed(peers));
        step(id, new MembershipEvent.VmsListed(vms()));
    }

    /** Restarts a node without any state. */
    void restart(NodeId id) {
        start(id, "boot-2");
    }

    Network network() {
        return network;
    }

    List<NodeId> nodes() {
        return List.copyOf(nodes.keySet());
    }

    List<VmId> vms() {
        return List.copyOf(bootCounts.keySet());
    }

    Membership membership(NodeId id) {
        return nodes.get(id);
    }

    VmReport report(NodeId node, VmId vm) {
        return reports.get(node).get(vm);
    }

    long nowMillis() {
        return scheduler.monotonicMillis();
    }

    long probes() {
        return probes;
    }

    long heartbeats() {
        return heartbeats;
    }

    long heartbeatBytes() {
        return heartbeatBytes;
    }

    void restart(VmId vm) {
        bootCounts.merge(vm, 1, Integer::sum);
    }

    void run(long millis) {
        scheduler.runUntil(nowMillis() + millis);
    }

    /** Returns the health values that a node has reported for any VM since they were last cleared. */
    Set<Health> reportedHealth(NodeId node) {
        return reportedHealth.get(node);
    }

    void clearReportedHealth() {
        reportedHealth.values().forEach(Set::clear);
    }

    boolean allNodesReport(VmId vm, Health health) {
        for (NodeId node : nodes.keySet()) {
            VmReport report = report(node, vm);
            if (!network.isStopped(node.value()) && (report == null || report.health() != health)) {
                return false;
            }
        }
        return true;
    }

    private void step(NodeId id, MembershipEvent event) {
        for (MembershipAction action : nodes.get(id).step(nowMillis(), event)) {
            switch (action) {
                case MembershipAction.Probe(VmId vm) -> probe(id, vm);
                case MembershipAction.SendHeartbeat(NodeId to, Heartbeat heartbeat) -> {
                    heartbeats++;
                    heartbeatBytes += compactBytes(heartbeat);
                    network.send(
                            id.value(), to.value(), () -> step(to, new MembershipEvent.HeartbeatReceived(heartbeat)));
                }
                case MembershipAction.ReportVm(VmReport report) -> {
                    reports.get(id).put(report.vm(), report);
                    reportedHealth.get(id).add(report.health());
                }
                default -> {}
            }
        }
    }

    private void probe(NodeId id, VmId vm) {
        probes++;
        long sentMillis = nowMillis();
        network.send(id.value(), vm.value(), () -> {
            EngineState state = state(vm);
            network.send(
                    vm.value(), id.value(), () -> step(id, new MembershipEvent.ProbeAnswered(vm, sentMillis, state)));
        });
    }

    private EngineState state(VmId vm) {
        int firstIndex = vms().indexOf(vm) / VMS_PER_REPLICA * VMS_PER_REPLICA;
        List<VmId> members = vms().subList(firstIndex, Math.min(vms().size(), firstIndex + VMS_PER_REPLICA));
        return new EngineState(
                vm,
                "boot-" + bootCounts.get(vm),
                EnginePhase.JOINED,
                new ReplicaId("quote-model-" + firstIndex),
                3,
                members,
                1_234,
                new UpstreamId("quote-model"),
                EngineLoad.NONE);
    }

    /** Estimates the size in Thrift's compact protocol: a header for each field, length-prefixed strings, and varints. */
    private static long compactBytes(Heartbeat heartbeat) {
        long bytes = textBytes(heartbeat.node().value())
                + textBytes(heartbeat.failureDomain().value())
                + textBytes(heartbeat.bootId())
                + textBytes(heartbeat.echoBootId())
                + 5 * (FIELD_HEADER_BYTES + NUMBER_BYTES)
                + FIELD_HEADER_BYTES
                + 1;
        for (VmUpdate update : heartbeat.vmUpdates()) {
            bytes += textBytes(update.vm().value()) + 2 * (FIELD_HEADER_BYTES + NUMBER_BYTES) + 1;
            EngineState state = update.state();
            if (state == null) {
                continue;
            }
            bytes += textBytes(state.bootId()) + textBytes(state.replica().value());
            bytes += textBytes(state.loadedModel().value()) + 3 * (FIELD_HEADER_BYTES + NUMBER_BYTES);
            for (VmId member : state.members()) {
                bytes += textBytes(member.value());
            }
        }
        return bytes;
    }

    private static long textBytes(String value) {
        return FIELD_HEADER_BYTES + 1L + value.length();
    }
}
