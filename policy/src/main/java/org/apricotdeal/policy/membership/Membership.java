package org.apricotdeal.policy.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.duty.StateMachine;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.message.Message;

/**
 * Detects which VMs and nodes are alive. Each VM is probed by a few nodes of its failure domain, which are selected by
 * rendezvous hashing from the nodes that have not failed. The probers send changes to the other nodes in heartbeats. The
 * number of probes and the bytes sent therefore grow with the number of VMs and with the number of nodes, not with their
 * product.
 *
 * <p>A heartbeat contains the greatest age of the sender's observations, and echoes the send time of the newest heartbeat
 * that the sender has received from the receiver. From both the receiver derives a lower bound, on its own clock, for the
 * time at which a VM was in the reported state. The bound holds for any clock difference and any delay of the heartbeat. A
 * VM's state is replaced only by one that was certainly observed later, or that the same prober observed later.
 *
 * <p>A VM's health is the best health that a live prober reports, including this node if it probes the VM, so that one
 * prober without a connection to the VM does not make it count as failed. A node that detects a gap between its own ticks
 * was paused itself, and does not count the time before the end of the gap as silence of others.
 */
public final class Membership implements StateMachine<MembershipEvent, MembershipAction> {
    /** Number of nodes that probe each VM. */
    public static final int PROBERS_PER_VM = 3;

    /** Number of nodes in each failure domain that exchange heartbeats with other failure domains. */
    public static final int DELEGATES_PER_FAILURE_DOMAIN = 2;

    /** Maximum number of probes that a node sends per second. */
    public static final int MAX_PROBES_PER_SECOND = 40;

    /** Minimum time between two probes of a VM by the same prober, in milliseconds. */
    public static final long MIN_PROBE_PERIOD_MILLIS = 500;

    /** Time between two heartbeats to the same peer in this node's failure domain, in milliseconds. */
    public static final long HEARTBEAT_PERIOD_MILLIS = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long REMOTE_HEARTBEAT_PERIOD_MILLIS = 2_000;
    private static final long OWN_PAUSE_THRESHOLD_MILLIS = 800;

    private final NodeId self;
    private final FailureDomainId failureDomain;
    private final String bootId;
    private final int probersPerVm;
    private final Set<MembershipFault> faults;
    private final Map<NodeId, PeerState> peers = new TreeMap<>();
    private final Map<VmId, Observation> observations = new HashMap<>();
    private final Map<VmId, Observation> ownObservations = new HashMap<>();
    private final Map<VmId, VmUpdate> ownUpdates = new TreeMap<>();
    private final Map<VmId, VmReport> lastReports = new HashMap<>();
    private Set<VmId> vms = Set.of();
    private Set<VmId> probedVms = Set.of();
    private Set<NodeId> selectedAmongNodes = Set.of();
    private Set<VmId> selectedFromVms = Set.of();
    private PolicyEntry policy = PolicyEntry.DEFAULT;
    private long lastIncarnation;
    private long runningSinceMillis = -1;
    private long lastTickMillis;
    private long nextProbeMillis;
    private long nextHeartbeatMillis;
    private long nextRemoteHeartbeatMillis;

    /**
     * Creates the state machine.
     *
     * @param self this node
     * @param failureDomain failure domain of this node
     * @param bootId changes with each start of this node
     */
    public Membership(NodeId self, FailureDomainId failureDomain, String bootId) {
        this(self, failureDomain, bootId, PROBERS_PER_VM, Set.of());
    }

    /**
     * Creates the state machine with a given number of probers and with injected faults, for tests.
     *
     * @param self this node
     * @param failureDomain failure domain of this node
     * @param bootId changes with each start of this node
     * @param probersPerVm number of nodes that probe each VM
     * @param faults the injected faults
     */
    public Membership(
            NodeId self, FailureDomainId failureDomain, String bootId, int probersPerVm, Set<MembershipFault> faults) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.bootId = bootId;
        this.probersPerVm = probersPerVm;
        this.faults = Set.copyOf(faults);
    }

    /**
     * Returns the VMs that this node probes.
     *
     * @return ids of these VMs
     */
    public Set<VmId> probedVms() {
        return Set.copyOf(probedVms);
    }

    @Override
    public List<MembershipAction> step(long nowMillis, MembershipEvent event) {
        if (runningSinceMillis < 0) {
            runningSinceMillis = nowMillis;
            lastTickMillis = nowMillis;
        }
        List<MembershipAction> actions = new ArrayList<>();
        switch (event) {
            case MembershipEvent.Tick tick -> tick(nowMillis, actions);
            case MembershipEvent.VmsListed(List<VmId> listed) -> handleVmList(listed);
            case MembershipEvent.PeersListed(List<PeerNode> listed) -> handlePeerList(nowMillis, listed);
            case MembershipEvent.PolicyChanged(PolicyEntry newPolicy) -> policy = newPolicy;
            case MembershipEvent.ProbeAnswered(VmId vm, long sentMillis, EngineState state) ->
                handleProbeAnswer(nowMillis, vm, sentMillis, state);
            case MembershipEvent.HeartbeatReceived(Heartbeat heartbeat) -> handleHeartbeat(nowMillis, heartbeat);
        }
        return actions;
    }

    private void handleVmList(List<VmId> listed) {
        vms = Set.copyOf(listed);
        observations.keySet().retainAll(vms);
        ownObservations.keySet().retainAll(vms);
        lastReports.keySet().retainAll(vms);
    }

    private void handlePeerList(long nowMillis, List<PeerNode> listed) {
        Set<NodeId> known = new HashSet<>();
        for (PeerNode peer : listed) {
            if (!peer.node().equals(self)) {
                known.add(peer.node());
                peers.computeIfAbsent(peer.node(), node -> new PeerState(peer, bootId, nowMillis));
            }
        }
        peers.keySet().retainAll(known);
    }

    private void handleProbeAnswer(long nowMillis, VmId vm, long sentMillis, EngineState state) {
        if (!vms.contains(vm)) {
            return;
        }
        Observation observation = new Observation(self, state, sentMillis, nowMillis);
        ownObservations.merge(vm, observation, Observation::merge);
        observations.merge(vm, observation, Observation::merge);
    }

    private void handleHeartbeat(long nowMillis, Heartbeat heartbeat) {
        PeerState peer = peers.get(heartbeat.node());
        if (peer == null || !peer.apply(nowMillis, heartbeat) || !isLocal(peer)) {
            return;
        }
        boolean trustReceipt = faults.contains(MembershipFault.TRUST_RECEIPT_TIME);
        long observedMillis = trustReceipt ? nowMillis : peer.oldestObservationMillis();
        for (VmUpdate update : peer.vmUpdates().values()) {
            if (update.health() == Health.ALIVE && vms.contains(update.vm()) && observedMillis > 0) {
                Observation observation = new Observation(heartbeat.node(), update.state(), observedMillis, nowMillis);
                observations.merge(update.vm(), observation, Observation::merge);
            }
        }
    }

    private void tick(long nowMillis, List<MembershipAction> actions) {
        if (nowMillis - lastTickMillis > OWN_PAUSE_THRESHOLD_MILLIS
                && !faults.contains(MembershipFault.IGNORE_OWN_GAP)) {
            runningSinceMillis = nowMillis;
            recordEvent(actions, Message.NODE_RESUMED, self, nowMillis - lastTickMillis);
        }
        lastTickMillis = nowMillis;
        updatePeerHealth(nowMillis, actions);
        selectProbedVms();
        sendProbes(nowMillis, actions);
        collectOwnUpdates(nowMillis);
        sendHeartbeats(nowMillis, actions);
        reportVms(nowMillis, actions);
    }

    private void updatePeerHealth(long nowMillis, List<MembershipAction> actions) {
        for (PeerState peer : peers.values()) {
            if (!isLocal(peer) && !peer.hasReceivedHeartbeat()) {
                continue;
            }
            Health health = healthAfterSilence(nowMillis, peer.receivedMillis(), heartbeatPeriodMillis(peer));
            if (health != peer.health()) {
                peer.health(health);
                actions.add(new MembershipAction.ReportNode(peer.peer().node(), health));
                recordEvent(actions, Message.NODE_HEALTH, peer.peer().node(), health);
            }
        }
    }

    private long heartbeatPeriodMillis(PeerState peer) {
        return isLocal(peer) ? HEARTBEAT_PERIOD_MILLIS : REMOTE_HEARTBEAT_PERIOD_MILLIS;
    }

    /** Returns the health after a silence, which starts one message period after the last message. */
    private Health healthAfterSilence(long nowMillis, long lastReceivedMillis, long periodMillis) {
        long silentMillis = nowMillis - Math.max(lastReceivedMillis, runningSinceMillis) - periodMillis;
        if (silentMillis >= policy.failMillis()) {
            return Health.FAILED;
        }
        return silentMillis >= policy.suspectMillis() ? Health.SUSPECT : Health.ALIVE;
    }

    /** Selects the VMs that this node probes: those for which it is among the highest-ranked live nodes. */
    private void selectProbedVms() {
        Set<NodeId> live = liveLocalNodes();
        if (live.equals(selectedAmongNodes) && vms.equals(selectedFromVms)) {
            return;
        }
        selectedAmongNodes = live;
        selectedFromVms = vms;
        Set<VmId> selected = new HashSet<>();
        for (VmId vm : vms) {
            if (RendezvousHash.select(vm.value(), live, probersPerVm).contains(self)) {
                selected.add(vm);
            }
        }
        probedVms = selected;
        ownObservations.keySet().retainAll(selected);
    }

    private Set<NodeId> liveLocalNodes() {
        Set<NodeId> live = new HashSet<>();
        live.add(self);
        for (PeerState peer : peers.values()) {
            if (isLocal(peer) && peer.health() != Health.FAILED) {
                live.add(peer.peer().node());
            }
        }
        return live;
    }

    private void sendProbes(long nowMillis, List<MembershipAction> actions) {
        if (nowMillis < nextProbeMillis) {
            return;
        }
        nextProbeMillis = nowMillis + probePeriodMillis();
        probedVms.stream().sorted().forEach(vm -> actions.add(new MembershipAction.Probe(vm)));
    }

    /** Returns the time between two probes of a VM, which grows if this node probes many VMs. */
    private long probePeriodMillis() {
        return Math.max(MIN_PROBE_PERIOD_MILLIS, probedVms.size() * MILLIS_PER_SECOND / MAX_PROBES_PER_SECOND);
    }

    /** Adds an update for each VM whose health or state, as probed by this node, has changed. */
    private void collectOwnUpdates(long nowMillis) {
        for (VmId vm : List.copyOf(ownUpdates.keySet())) {
            VmUpdate previous = ownUpdates.get(vm);
            if (!probedVms.contains(vm) && previous.health() != null) {
                ownUpdates.put(vm, new VmUpdate(vm, ++lastIncarnation, null, null));
            }
        }
        for (VmId vm : probedVms) {
            Health health = ownHealth(nowMillis, vm);
            Observation observation = ownObservations.get(vm);
            if (observation == null && health != Health.FAILED) {
                continue;
            }
            EngineState state = observation == null ? null : Observation.withoutLoad(observation.state());
            VmUpdate previous = ownUpdates.get(vm);
            if (previous == null || previous.health() != health || !Objects.equals(previous.state(), state)) {
                ownUpdates.put(vm, new VmUpdate(vm, ++lastIncarnation, health, state));
            }
        }
    }

    private Health ownHealth(long nowMillis, VmId vm) {
        Observation observation = ownObservations.get(vm);
        return healthAfterSilence(
                nowMillis, observation == null ? 0 : observation.observedMillis(), probePeriodMillis());
    }

    private void sendHeartbeats(long nowMillis, List<MembershipAction> actions) {
        if (nowMillis >= nextHeartbeatMillis) {
            nextHeartbeatMillis = nowMillis + HEARTBEAT_PERIOD_MILLIS;
            removeAcknowledgedUpdates();
            for (PeerState peer : peers.values()) {
                if (isLocal(peer)) {
                    actions.add(
                            new MembershipAction.SendHeartbeat(peer.peer().node(), createHeartbeat(nowMillis, peer)));
                }
            }
        }
        if (nowMillis >= nextRemoteHeartbeatMillis) {
            nextRemoteHeartbeatMillis = nowMillis + REMOTE_HEARTBEAT_PERIOD_MILLIS;
            sendHeartbeatsToDelegates(nowMillis, actions);
        }
    }

    /** Removes the updates on VMs that are no longer probed once every local peer has acknowledged them. */
    private void removeAcknowledgedUpdates() {
        long ackedByAll = lastIncarnation;
        for (PeerState peer : peers.values()) {
            ackedByAll = isLocal(peer) ? Math.min(ackedByAll, peer.ackedIncarnation()) : ackedByAll;
        }
        long acked = ackedByAll;
        ownUpdates.values().removeIf(update -> update.health() == null && update.incarnation() <= acked);
    }

    /** Sends heartbeats to the delegates of the other failure domains if this node is a delegate of its own. */
    private void sendHeartbeatsToDelegates(long nowMillis, List<MembershipAction> actions) {
        if (!RendezvousHash.select(failureDomain.value(), liveLocalNodes(), DELEGATES_PER_FAILURE_DOMAIN)
                .contains(self)) {
            return;
        }
        Map<FailureDomainId, Set<NodeId>> remoteNodes = new TreeMap<>();
        for (PeerState peer : peers.values()) {
            if (!isLocal(peer)) {
                remoteNodes
                        .computeIfAbsent(peer.peer().failureDomain(), domain -> new HashSet<>())
                        .add(peer.peer().node());
            }
        }
        for (Map.Entry<FailureDomainId, Set<NodeId>> domain : remoteNodes.entrySet()) {
            for (NodeId node :
                    RendezvousHash.select(domain.getKey().value(), domain.getValue(), DELEGATES_PER_FAILURE_DOMAIN)) {
                actions.add(new MembershipAction.SendHeartbeat(node, createHeartbeat(nowMillis, peers.get(node))));
            }
        }
    }

    private Heartbeat createHeartbeat(long nowMillis, PeerState peer) {
        List<VmUpdate> updates = new ArrayList<>();
        if (isLocal(peer)) {
            for (VmUpdate update : ownUpdates.values()) {
                if (update.incarnation() > peer.ackedIncarnation()) {
                    updates.add(update);
                }
            }
        }
        return new Heartbeat(
                self,
                failureDomain,
                bootId,
                nowMillis,
                peer.bootId(),
                peer.echoMillis(),
                peer.appliedIncarnation(),
                oldestAliveMillis(nowMillis),
                peer.ackedIncarnation(),
                updates);
    }

    private long oldestAliveMillis(long nowMillis) {
        long oldest = 0;
        for (VmUpdate item : ownUpdates.values()) {
            Observation seen = ownObservations.get(item.vm());
            if (item.health() == Health.ALIVE && seen != null) {
                oldest = Math.max(oldest, nowMillis - seen.observedMillis());
            }
        }
        return oldest;
    }

    private void reportVms(long nowMillis, List<MembershipAction> actions) {
        for (VmId vm : vms) {
            Observation observation = observations.get(vm);
            Health health = combinedHealth(nowMillis, vm);
            if (observation == null && health != Health.FAILED) {
                continue;
            }
            VmReport report = new VmReport(
                    vm,
                    health,
                    observation == null ? null : observation.state(),
                    observation == null ? 0 : observation.observedMillis(),
                    false);
            VmReport previous = lastReports.put(vm, report);
            if (!report.equals(previous)) {
                actions.add(new MembershipAction.ReportVm(report));
            }
            if (previous == null || previous.health() != health) {
                recordEvent(actions, Message.VM_HEALTH, vm, health);
            }
        }
    }

    /** Returns the best health that a live prober reports; if there is none, the health after the VM's silence. */
    private Health combinedHealth(long nowMillis, VmId vm) {
        Health best = probedVms.contains(vm) ? ownHealth(nowMillis, vm) : null;
        for (PeerState peer : peers.values()) {
            VmUpdate update = peer.vmUpdates().get(vm);
            if (update == null || !isLocal(peer) || peer.health() != Health.ALIVE) {
                continue;
            }
            boolean better = best == null || update.health().compareTo(best) < 0;
            best = better ? update.health() : best;
        }
        if (best != null) {
            return best;
        }
        Observation observation = observations.get(vm);
        return healthAfterSilence(
                nowMillis, observation == null ? 0 : observation.receivedMillis(), HEARTBEAT_PERIOD_MILLIS);
    }

    private boolean isLocal(PeerState peer) {
        return peer.peer().failureDomain().equals(failureDomain);
    }

    /**
     * Selects the delegates of a failure domain, which exchange heartbeats with other failure domains.
     *
     * @param domain the failure domain
     * @param nodes the nodes of the failure domain that the caller knows
     * @return the delegates, highest rank first
     */
    public static List<NodeId> delegates(FailureDomainId domain, Collection<NodeId> nodes) {
        return List.copyOf(RendezvousHash.select(domain.value(), nodes, DELEGATES_PER_FAILURE_DOMAIN));
    }

    private static void recordEvent(List<MembershipAction> actions, Message message, Object... arguments) {
        List<String> texts = new ArrayList<>();
        for (Object argument : arguments) {
            texts.add(String.valueOf(argument));
        }
        actions.add(new MembershipAction.RecordEvent(message, texts));
    }
}
