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
import org.apricotdeal.policy.membership.VmNews;
import org.apricotdeal.policy.membership.VmReport;

/** Nodes that run membership on virtual time before VMs that answer probes, with a count of the bytes they send. */
final class MembershipFleet {
    private static final FailureDomainId DOMAIN = new FailureDomainId("at-east-1");
    private static final long TICK_MILLIS = 100;
    private static final int VMS_PER_REPLICA = 16;
    private static final int FIELD_BYTES = 1;
    private static final int NUMBER_BYTES = 6;

    private final Scheduler scheduler = new Scheduler(7);
    private final Network network = new Network(scheduler, 200, 3_000);
    private final Map<NodeId, Membership> nodes = new TreeMap<>();
    private final Map<NodeId, Map<VmId, VmReport>> reports = new HashMap<>();
    private final Map<NodeId, Set<Health>> verdicts = new HashMap<>();
    private final Map<VmId, Integer> boots = new TreeMap<>();
    private final List<PeerNode> peers = new ArrayList<>();
    private final Set<MembershipFault> faults;
    private long probes;
    private long heartbeats;
    private long heartbeatBytes;

    MembershipFleet(int nodeCount, int vmCount, MembershipFault... faults) {
        for (int i = 0; i < vmCount; i++) {
            boots.put(new VmId("at-east-1-vm-" + (100 + i)), 1);
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
        verdicts.put(id, new HashSet<>());
        step(id, new MembershipEvent.PeersListed(peers));
        step(id, new MembershipEvent.VmsListed(vms()));
    }

    /** Restarts a node: it knows nothing. */
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
        return List.copyOf(boots.keySet());
    }

    Membership node(NodeId id) {
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
        boots.merge(vm, 1, Integer::sum);
    }

    void run(long millis) {
        scheduler.runUntil(nowMillis() + millis);
    }

    /** Verdicts on VMs that a node has given since they were last cleared. */
    Set<Health> verdicts(NodeId node) {
        return verdicts.get(node);
    }

    void clearVerdicts() {
        verdicts.values().forEach(Set::clear);
    }

    boolean allSee(VmId vm, Health health) {
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
                    verdicts.get(id).add(report.health());
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
        int index = vms().indexOf(vm) / VMS_PER_REPLICA * VMS_PER_REPLICA;
        List<VmId> members = vms().subList(index, Math.min(vms().size(), index + VMS_PER_REPLICA));
        return new EngineState(
                vm,
                "boot-" + boots.get(vm),
                EnginePhase.JOINED,
                new ReplicaId("quote-model-" + index),
                3,
                members,
                1_234,
                new UpstreamId("quote-model"),
                EngineLoad.NONE);
    }

    /** Bytes in Thrift's compact protocol: one for each field's header, a length before each text, numbers as varints. */
    private static long compactBytes(Heartbeat heartbeat) {
        long bytes = text(heartbeat.node().value())
                + text(heartbeat.failureDomain().value())
                + text(heartbeat.bootId())
                + text(heartbeat.echoBootId())
                + 5 * (FIELD_BYTES + NUMBER_BYTES)
                + FIELD_BYTES
                + 1;
        for (VmNews news : heartbeat.news()) {
            bytes += text(news.vm().value()) + 2 * (FIELD_BYTES + NUMBER_BYTES) + 1;
            EngineState state = news.state();
            if (state == null) {
                continue;
            }
            bytes += text(state.bootId()) + text(state.replica().value());
            bytes += text(state.loadedModel().value()) + 3 * (FIELD_BYTES + NUMBER_BYTES);
            for (VmId member : state.members()) {
                bytes += text(member.value());
            }
        }
        return bytes;
    }

    private static long text(String value) {
        return FIELD_BYTES + 1L + value.length();
    }
}
