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
import org.apricotdeal.kernel.duty.Machine;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.message.Message;

/**
 * Finds out which VMs and nodes are alive. Each VM is probed by a few nodes of its failure domain, chosen by rendezvous
 * hashing among the nodes that are not failed; they tell the others what changed, by heartbeats. So the number of probes
 * and the bytes sent grow with the VMs and the nodes, not with their product.
 *
 * <p>A heartbeat says how old the sender's observations are at most, and echoes the receiver's own clock as of the newest
 * heartbeat that the sender has from it. From both the receiver knows a moment of its own clock after which a VM was in
 * the state reported, whatever the clocks of the two and however long the heartbeat was under way. A VM's state is only
 * replaced by one that was certainly true later, or that the same prober saw later.
 *
 * <p>A VM's health is the best verdict among the probers heard lately, this node included where it probes: one prober that
 * is cut off from a VM does not make it fail. A node that finds a gap between its own ticks was paused itself; it judges
 * nobody's silence by the time before.
 */
public final class Membership implements Machine<MembershipEvent, MembershipAction> {
    /** Nodes that probe each VM. */
    public static final int PROBERS_PER_VM = 3;

    /** Nodes of a failure domain that exchange heartbeats with other failure domains. */
    public static final int DELEGATES = 2;

    /** Most probes that a node sends a second. */
    public static final int MAX_PROBES_PER_SECOND = 40;

    /** Shortest time between two probes of a VM by one prober, in milliseconds. */
    public static final long PROBE_MILLIS = 500;

    /** Time between two heartbeats to one peer of the own failure domain, in milliseconds. */
    public static final long HEARTBEAT_MILLIS = 1_000;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long REMOTE_HEARTBEAT_MILLIS = 2_000;
    private static final long OWN_GAP_MILLIS = 800;

    private final NodeId self;
    private final FailureDomainId failureDomain;
    private final String bootId;
    private final int probersPerVm;
    private final Set<MembershipFault> faults;
    private final Map<NodeId, PeerState> peers = new TreeMap<>();
    private final Map<VmId, Sighting> sightings = new HashMap<>();
    private final Map<VmId, Sighting> ownSightings = new HashMap<>();
    private final Map<VmId, VmNews> ownNews = new TreeMap<>();
    private final Map<VmId, VmReport> reported = new HashMap<>();
    private Set<VmId> vms = Set.of();
    private Set<VmId> probed = Set.of();
    private Set<NodeId> chosenAmong = Set.of();
    private Set<VmId> chosenOf = Set.of();
    private PolicyEntry policy = PolicyEntry.DEFAULT;
    private long incarnation;
    private long watchingSinceMillis = -1;
    private long lastTickMillis;
    private long nextProbeMillis;
    private long nextHeartbeatMillis;
    private long nextRemoteMillis;

    /**
     * Creates the machine.
     *
     * @param self this node
     * @param failureDomain its failure domain
     * @param bootId changes with each start of this node
     */
    public Membership(NodeId self, FailureDomainId failureDomain, String bootId) {
        this(self, failureDomain, bootId, PROBERS_PER_VM, Set.of());
    }

    /**
     * Creates the machine with another number of probers and with deliberate faults, for tests.
     *
     * @param self this node
     * @param failureDomain its failure domain
     * @param bootId changes with each start of this node
     * @param probersPerVm nodes that probe each VM
     * @param faults the faults
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
     * @return the VMs
     */
    public Set<VmId> probed() {
        return Set.copyOf(probed);
    }

    @Override
    public List<MembershipAction> step(long nowMillis, MembershipEvent event) {
        if (watchingSinceMillis < 0) {
            watchingSinceMillis = nowMillis;
            lastTickMillis = nowMillis;
        }
        List<MembershipAction> actions = new ArrayList<>();
        switch (event) {
            case MembershipEvent.Tick tick -> tick(nowMillis, actions);
            case MembershipEvent.VmsListed(List<VmId> listed) -> takeVms(listed);
            case MembershipEvent.PeersListed(List<PeerNode> listed) -> takePeers(nowMillis, listed);
            case MembershipEvent.PolicyChanged(PolicyEntry newPolicy) -> policy = newPolicy;
            case MembershipEvent.ProbeAnswered(VmId vm, long sentMillis, EngineState state) ->
                takeAnswer(nowMillis, vm, sentMillis, state);
            case MembershipEvent.HeartbeatReceived(Heartbeat heartbeat) -> takeHeartbeat(nowMillis, heartbeat);
        }
        return actions;
    }

    private void takeVms(List<VmId> listed) {
        vms = Set.copyOf(listed);
        sightings.keySet().retainAll(vms);
        ownSightings.keySet().retainAll(vms);
        reported.keySet().retainAll(vms);
    }

    private void takePeers(long nowMillis, List<PeerNode> listed) {
        Set<NodeId> known = new HashSet<>();
        for (PeerNode peer : listed) {
            if (!peer.node().equals(self)) {
                known.add(peer.node());
                peers.computeIfAbsent(peer.node(), node -> new PeerState(peer, bootId, nowMillis));
            }
        }
        peers.keySet().retainAll(known);
    }

    private void takeAnswer(long nowMillis, VmId vm, long sentMillis, EngineState state) {
        if (!vms.contains(vm)) {
            return;
        }
        Sighting seen = new Sighting(self, state, sentMillis, nowMillis);
        ownSightings.merge(vm, seen, Sighting::merge);
        sightings.merge(vm, seen, Sighting::merge);
    }

    private void takeHeartbeat(long nowMillis, Heartbeat heartbeat) {
        PeerState peer = peers.get(heartbeat.node());
        if (peer == null || !peer.take(nowMillis, heartbeat) || !isLocal(peer)) {
            return;
        }
        boolean trustReceipt = faults.contains(MembershipFault.TRUST_RECEIPT_TIME);
        long observedMillis = trustReceipt ? nowMillis : peer.observedMillis();
        for (VmNews news : peer.news().values()) {
            if (news.health() == Health.ALIVE && vms.contains(news.vm()) && observedMillis > 0) {
                Sighting seen = new Sighting(heartbeat.node(), news.state(), observedMillis, nowMillis);
                sightings.merge(news.vm(), seen, Sighting::merge);
            }
        }
    }

    private void tick(long nowMillis, List<MembershipAction> actions) {
        if (nowMillis - lastTickMillis > OWN_GAP_MILLIS && !faults.contains(MembershipFault.IGNORE_OWN_GAP)) {
            watchingSinceMillis = nowMillis;
            note(actions, Message.NODE_RESUMED, self, nowMillis - lastTickMillis);
        }
        lastTickMillis = nowMillis;
        judgePeers(nowMillis, actions);
        chooseVms();
        probe(nowMillis, actions);
        updateNews(nowMillis);
        heartbeat(nowMillis, actions);
        reportVms(nowMillis, actions);
    }

    private void judgePeers(long nowMillis, List<MembershipAction> actions) {
        for (PeerState peer : peers.values()) {
            if (!isLocal(peer) && !peer.wasHeard()) {
                continue;
            }
            Health health = judge(nowMillis, peer.receivedMillis(), heartbeatMillis(peer));
            if (health != peer.health()) {
                peer.health(health);
                actions.add(new MembershipAction.ReportNode(peer.peer().node(), health));
                note(actions, Message.NODE_HEALTH, peer.peer().node(), health);
            }
        }
    }

    private long heartbeatMillis(PeerState peer) {
        return isLocal(peer) ? HEARTBEAT_MILLIS : REMOTE_HEARTBEAT_MILLIS;
    }

    /** Judges a silence, of which one period of the expected messages is no silence yet. */
    private Health judge(long nowMillis, long heardMillis, long periodMillis) {
        long silentMillis = nowMillis - Math.max(heardMillis, watchingSinceMillis) - periodMillis;
        if (silentMillis >= policy.failMillis()) {
            return Health.FAILED;
        }
        return silentMillis >= policy.suspectMillis() ? Health.SUSPECT : Health.ALIVE;
    }

    /** Chooses the VMs that this node probes: those of which it is one of the best-ranked live nodes. */
    private void chooseVms() {
        Set<NodeId> live = liveLocalNodes();
        if (live.equals(chosenAmong) && vms.equals(chosenOf)) {
            return;
        }
        chosenAmong = live;
        chosenOf = vms;
        Set<VmId> chosen = new HashSet<>();
        for (VmId vm : vms) {
            if (ProberChoice.choose(vm.value(), live, probersPerVm).contains(self)) {
                chosen.add(vm);
            }
        }
        probed = chosen;
        ownSightings.keySet().retainAll(chosen);
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

    private void probe(long nowMillis, List<MembershipAction> actions) {
        if (nowMillis < nextProbeMillis) {
            return;
        }
        nextProbeMillis = nowMillis + probeMillis();
        probed.stream().sorted().forEach(vm -> actions.add(new MembershipAction.Probe(vm)));
    }

    /** Time between two probes of a VM; longer where this node probes many. */
    private long probeMillis() {
        return Math.max(PROBE_MILLIS, probed.size() * MILLIS_PER_SECOND / MAX_PROBES_PER_SECOND);
    }

    /** Notes what has changed in what this node saw for itself. */
    private void updateNews(long nowMillis) {
        for (VmId vm : List.copyOf(ownNews.keySet())) {
            VmNews former = ownNews.get(vm);
            if (!probed.contains(vm) && former.health() != null) {
                ownNews.put(vm, new VmNews(vm, ++incarnation, null, null));
            }
        }
        for (VmId vm : probed) {
            Health health = ownVerdict(nowMillis, vm);
            Sighting seen = ownSightings.get(vm);
            if (seen == null && health != Health.FAILED) {
                continue;
            }
            EngineState state = seen == null ? null : Sighting.withoutLoad(seen.state());
            VmNews former = ownNews.get(vm);
            if (former == null || former.health() != health || !Objects.equals(former.state(), state)) {
                ownNews.put(vm, new VmNews(vm, ++incarnation, health, state));
            }
        }
    }

    private Health ownVerdict(long nowMillis, VmId vm) {
        Sighting seen = ownSightings.get(vm);
        return judge(nowMillis, seen == null ? 0 : seen.observedMillis(), probeMillis());
    }

    private void heartbeat(long nowMillis, List<MembershipAction> actions) {
        if (nowMillis >= nextHeartbeatMillis) {
            nextHeartbeatMillis = nowMillis + HEARTBEAT_MILLIS;
            forgetDropped();
            for (PeerState peer : peers.values()) {
                if (isLocal(peer)) {
                    actions.add(new MembershipAction.SendHeartbeat(peer.peer().node(), heartbeatTo(nowMillis, peer)));
                }
            }
        }
        if (nowMillis >= nextRemoteMillis) {
            nextRemoteMillis = nowMillis + REMOTE_HEARTBEAT_MILLIS;
            heartbeatToDelegates(nowMillis, actions);
        }
    }

    /** Forgets VMs that are probed no longer once every peer has heard so. */
    private void forgetDropped() {
        long ackedByAll = incarnation;
        for (PeerState peer : peers.values()) {
            ackedByAll = isLocal(peer) ? Math.min(ackedByAll, peer.ackedIncarnation()) : ackedByAll;
        }
        long acked = ackedByAll;
        ownNews.values().removeIf(item -> item.health() == null && item.incarnation() <= acked);
    }

    /** Where this node is a delegate of its failure domain, it tells the delegates of the others that it lives. */
    private void heartbeatToDelegates(long nowMillis, List<MembershipAction> actions) {
        if (!ProberChoice.choose(failureDomain.value(), liveLocalNodes(), DELEGATES)
                .contains(self)) {
            return;
        }
        Map<FailureDomainId, Set<NodeId>> remote = new TreeMap<>();
        for (PeerState peer : peers.values()) {
            if (!isLocal(peer)) {
                remote.computeIfAbsent(peer.peer().failureDomain(), domain -> new HashSet<>())
                        .add(peer.peer().node());
            }
        }
        for (Map.Entry<FailureDomainId, Set<NodeId>> domain : remote.entrySet()) {
            for (NodeId node : ProberChoice.choose(domain.getKey().value(), domain.getValue(), DELEGATES)) {
                actions.add(new MembershipAction.SendHeartbeat(node, heartbeatTo(nowMillis, peers.get(node))));
            }
        }
    }

    private Heartbeat heartbeatTo(long nowMillis, PeerState peer) {
        List<VmNews> news = new ArrayList<>();
        if (isLocal(peer)) {
            for (VmNews item : ownNews.values()) {
                if (item.incarnation() > peer.ackedIncarnation()) {
                    news.add(item);
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
                news);
    }

    private long oldestAliveMillis(long nowMillis) {
        long oldest = 0;
        for (VmNews item : ownNews.values()) {
            Sighting seen = ownSightings.get(item.vm());
            if (item.health() == Health.ALIVE && seen != null) {
                oldest = Math.max(oldest, nowMillis - seen.observedMillis());
            }
        }
        return oldest;
    }

    private void reportVms(long nowMillis, List<MembershipAction> actions) {
        for (VmId vm : vms) {
            Sighting seen = sightings.get(vm);
            Health health = verdict(nowMillis, vm);
            if (seen == null && health != Health.FAILED) {
                continue;
            }
            VmReport report = new VmReport(
                    vm, health, seen == null ? null : seen.state(), seen == null ? 0 : seen.observedMillis(), false);
            VmReport former = reported.put(vm, report);
            if (!report.equals(former)) {
                actions.add(new MembershipAction.ReportVm(report));
            }
            if (former == null || former.health() != health) {
                note(actions, Message.VM_HEALTH, vm, health);
            }
        }
    }

    /** The best verdict among the probers heard lately; by silence where there is none. */
    private Health verdict(long nowMillis, VmId vm) {
        Health best = probed.contains(vm) ? ownVerdict(nowMillis, vm) : null;
        for (PeerState peer : peers.values()) {
            VmNews news = peer.news().get(vm);
            if (news == null || !isLocal(peer) || peer.health() != Health.ALIVE) {
                continue;
            }
            boolean better = best == null || news.health().compareTo(best) < 0;
            best = better ? news.health() : best;
        }
        if (best != null) {
            return best;
        }
        Sighting seen = sightings.get(vm);
        return judge(nowMillis, seen == null ? 0 : seen.receivedMillis(), HEARTBEAT_MILLIS);
    }

    private boolean isLocal(PeerState peer) {
        return peer.peer().failureDomain().equals(failureDomain);
    }

    /**
     * Returns the nodes of a failure domain that speak for it, as far as this node knows.
     *
     * @param domain the failure domain
     * @param nodes its nodes
     * @return the delegates
     */
    public static List<NodeId> delegates(FailureDomainId domain, Collection<NodeId> nodes) {
        return List.copyOf(ProberChoice.choose(domain.value(), nodes, DELEGATES));
    }

    private static void note(List<MembershipAction> actions, Message message, Object... arguments) {
        List<String> texts = new ArrayList<>();
        for (Object argument : arguments) {
            texts.add(String.valueOf(argument));
        }
        actions.add(new MembershipAction.RecordEvent(message, texts));
    }
}
