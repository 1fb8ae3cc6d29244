package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.kernel.misc.HostPort;
import org.apricotdeal.kernel.time.Clock;
import org.apricotdeal.relay.peer.FleetDemand;
import org.apricotdeal.relay.peer.FleetLoads;
import org.apricotdeal.relay.peer.HeardNodes;
import org.apricotdeal.relay.peer.HeartbeatPartners;
import org.apricotdeal.relay.peer.PlannerChoice;
import org.apricotdeal.relay.poison.CrashNews;
import org.apricotdeal.relay.policy.QueueDemand;
import org.apricotdeal.relay.policy.QueueId;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.TargetId;
import org.apricotdeal.relay.port.StoreRevision;
import org.apricotdeal.wire.gen.TRelayHeartbeat;
import org.apricotdeal.wire.gen.TRelayLoad;
import org.apricotdeal.wire.gen.TRelayNode;
import org.apricotdeal.wire.gen.TRelayNodeSeen;
import org.apricotdeal.wire.gen.TRelayScope;
import org.apricotdeal.wire.gen.TRelaySilentVm;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

/**
 * Exchanges heartbeats with the nodes that {@link HeartbeatPartners} chooses. A heartbeat carries the number of requests at
 * each target and the demand by queue, the nodes recently heard, the version of the sender's catalogue and the operator's
 * evacuations, and changes of VM entries if the receiver needs them. The response to a heartbeat is a heartbeat of the
 * receiver.
 */
final class Heartbeats extends Handler.Abstract implements AutoCloseable {
    /** Path of heartbeats on the port for peers. */
    static final String PATH = "/heartbeat";

    /** Time between two heartbeats; request counts take up to three heartbeats to spread, and are used for 1.5 s. */
    static final long PERIOD_MILLIS = 200;

    /** Time after which a heartbeat counts as lost and the next one is sent. */
    private static final long TIMEOUT_MILLIS = 600;

    /**
     * Time for which a response is awaited. A node with little processor time gets all responses late, and would otherwise
     * learn nothing of the operator's words; what else they say is outdated by then.
     */
    private static final long MAX_RESPONSE_MILLIS = 2_000;

    /** Minimum time between heartbeats that are sent early; less than that between the losses of a request and its repeat. */
    private static final long MIN_EARLY_PERIOD_MILLIS = 20;

    private static final int RING_SLOTS = 16;

    /** Large enough for the entries of thousands of VMs. */
    private static final int MAX_HEARTBEAT_BYTES = 16 * 1024 * 1024;

    private final HttpClient client;
    private final RelayDuty relay;
    private final FleetDuty fleet;
    private final CatalogueHolder catalogues;
    private final CataloguePull cataloguePull;
    private final EvacuationHolder evacuations;
    private final CatalogueWatcher catalogueWatcher;
    private final VmWatcher vms;
    private final HealthProbe healthProbe;
    private final Clock clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final TRelayNode self;
    private final long createdMillis;
    private final FailureDomainId ownDomain;
    private final HeartbeatPartners partners;
    private final FleetLoads loads = new FleetLoads();

    /** Last reported state of each peer, by name. */
    private final Map<String, PeerState> peerStates = new ConcurrentHashMap<>();

    /** Time at which the last heartbeat was sent to each peer that has not responded to it. */
    private final Map<String, Long> pendingSinceMillis = new ConcurrentHashMap<>();

    private final AtomicBoolean soon = new AtomicBoolean();
    private Set<String> lastRecipients = Set.of();
    private long sentEarlyMillis;
    private Duty<Runnable> duty;
    private volatile boolean delegate = true;
    private volatile boolean storeFollower = true;

    /**
     * State of a peer as reported in its last heartbeat.
     *
     * @param storeAway whether it cannot reach the store
     * @param vmRevision revision of the store up to which it knows the VM entries
     * @param crashDigest digest of the crashes and trials that it knows of
     */
    private record PeerState(boolean storeAway, StoreRevision vmRevision, long crashDigest) {}

    Heartbeats(
            TRelayNode self,
            HttpClient client,
            RelayDuty relay,
            FleetDuty fleet,
            CatalogueHolder catalogues,
            CataloguePull cataloguePull,
            EvacuationHolder evacuations,
            CatalogueWatcher catalogueWatcher,
            VmWatcher vms,
            HealthProbe healthProbe,
            Clock clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.client = client;
        this.relay = relay;
        this.fleet = fleet;
        this.catalogues = catalogues;
        this.cataloguePull = cataloguePull;
        this.evacuations = evacuations;
        this.catalogueWatcher = catalogueWatcher;
        this.vms = vms;
        this.healthProbe = healthProbe;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.self = self;
        this.createdMillis = clock.monotonicMillis();
        this.ownDomain = new FailureDomainId(self.getFailureDomain());
        this.partners = new HeartbeatPartners(new PlannerChoice.Candidate(self.getName(), ownDomain));
    }

    void startSending() {
        metrics.register("delegate", (Gauge<Integer>) () -> delegate ? 1 : 0);
        duty = new Duty<>("heartbeats", RING_SLOTS, PERIOD_MILLIS, Runnable::run, this::sendAll);
    }

    private void sendAll() {
        healthProbe.tick();
        PeerSnapshot snapshot = fleet.peerSnapshot();
        Set<String> recipients;
        Set<String> dueNow;
        synchronized (partners) {
            recipients = partners.choose(
                    snapshot.peers().stream()
                            .map(peer -> new PlannerChoice.Candidate(peer.name(), peer.failureDomain()))
                            .toList(),
                    snapshot.stopping(),
                    healthProbe.extend(HeartbeatPartners.SUSPECT_MILLIS),
                    clock.monotonicMillis());
            dueNow = partners.dueRecipients(clock.monotonicMillis());
            setDelegate(partners.isDelegate());
            storeFollower = partners.isStoreFollower();
            vms.setSource(vmSource());
        }
        catalogueWatcher.setFollowsDelegate(!storeFollower);
        if (delegate) {
            relay.put(new RelayEvent.PeerLoadsChanged(loads.sumOfOthers(clock.monotonicMillis())));
        }
        lastRecipients = recipients;
        soon.set(false);
        for (Peer peer : snapshot.peers()) {
            if (dueNow.contains(peer.name()) && !isPending(peer)) {
                send(peer);
            }
        }
    }

    /** Sends a heartbeat to the last recipients at once, so that they know of a crash before the next copy of its cause. */
    void sendSoon() {
        if (duty != null && !soon.getAndSet(true)) {
            duty.offer(this::sendEarly);
        }
    }

    private void sendEarly() {
        soon.set(false);
        long nowMillis = clock.monotonicMillis();
        if (nowMillis - sentEarlyMillis < MIN_EARLY_PERIOD_MILLIS) {
            return;
        }
        sentEarlyMillis = nowMillis;
        for (Peer peer : fleet.peerSnapshot().peers()) {
            boolean silent = pendingMillis(peer).orElse(0) > PERIOD_MILLIS;
            if (lastRecipients.contains(peer.name()) && !silent) {
                send(peer);
            }
        }
    }

    /** Returns whether a heartbeat is under way, so that they do not accumulate for an unresponsive peer. */
    private boolean isPending(Peer peer) {
        long timeoutMillis = healthProbe.extend(TIMEOUT_MILLIS);
        return pendingMillis(peer).orElse(timeoutMillis) < timeoutMillis;
    }

    /** Returns the time since the last heartbeat was sent to a peer that has not responded to it. */
    private OptionalLong pendingMillis(Peer peer) {
        Long sinceMillis = pendingSinceMillis.get(peer.name());
        return sinceMillis == null ? OptionalLong.empty() : OptionalLong.of(clock.monotonicMillis() - sinceMillis);
    }

    private VmWatcher.Source vmSource() {
        if (partners.isFirstStoreFollower()) {
            return VmWatcher.Source.STORE;
        }
        return storeFollower ? VmWatcher.Source.RESERVE : VmWatcher.Source.PEERS;
    }

    private void setDelegate(boolean isDelegate) {
        if (delegate != isDelegate) {
            log.state(isDelegate ? "delegate_took_over" : "delegate_yielded")
                    .with("failureDomain", ownDomain)
                    .write();
        }
        delegate = isDelegate;
    }

    private void send(Peer peer) {
        boolean sameDomain = peer.failureDomain().equals(ownDomain);
        TRelayHeartbeat heartbeat =
                sameDomain ? heartbeat(TRelayScope.NODE, relay.running(), relay.demand()) : domainHeartbeat();
        PeerState peerState = peerStates.get(peer.name());
        if (peerState != null) {
            addMissingUpdates(heartbeat, peerState, !sameDomain && (storeFollower || peerState.storeAway()));
        }
        byte[] body = encode(heartbeat);
        metrics.counter("heartbeats.sent").inc();
        metrics.counter("heartbeats.sent.bytes").inc(body.length);
        HostPort address = HostPort.parse(peer.address());
        Request request = client.newRequest(address.host(), address.port())
                .method(HttpMethod.POST)
                .path(PATH)
                .timeout(MAX_RESPONSE_MILLIS, TimeUnit.MILLISECONDS)
                .body(new BytesRequestContent(body));
        long sentMillis = clock.monotonicMillis();
        pendingSinceMillis.put(peer.name(), sentMillis);
        var unused = new CompletableResponseListener(request, MAX_HEARTBEAT_BYTES)
                .send()
                .whenComplete((response, failure) -> {
                    pendingSinceMillis.remove(peer.name(), sentMillis);
                    if (failure != null
                            || response.getStatus() != HttpStatus.OK_200
                            || !receiveResponse(response.getContent(), sentMillis)) {
                        metrics.counter("heartbeats.failed").inc();
                    }
                });
    }

    /** Processes a response; returns false if it is invalid or late, with only the operator's words taken from it. */
    private boolean receiveResponse(byte[] content, long sentMillis) {
        if (clock.monotonicMillis() - sentMillis < TIMEOUT_MILLIS) {
            return receive(content).isPresent();
        }
        metrics.counter("heartbeats.late").inc();
        decode(content).ifPresent(this::receiveOperatorWords);
        return false;
    }

    private TRelayHeartbeat heartbeat(
            TRelayScope scope, Map<TargetId, Integer> running, Map<QueueId, QueueDemand> demandByQueue) {
        List<TRelayLoad> loadList = new ArrayList<>(running.size());
        running.forEach(
                (target, count) -> loadList.add(new TRelayLoad(target.vm().value(), target.epoch(), count)));
        TRelayHeartbeat heartbeat = new TRelayHeartbeat(self, catalogues.version(), loadList);
        heartbeat.setScope(scope);
        StoreRevision vmRevision = vms.revision();
        heartbeat.setVmRevision(vmRevision.number());
        heartbeat.setVmIncarnation(vmRevision.incarnation());
        heartbeat.setVmAgeMillis((int) Math.min(Integer.MAX_VALUE, vms.ageMillis()));
        heartbeat.setStoreAway(vms.isStoreFailing() || catalogueWatcher.isStoreFailing());
        heartbeat.setStopping(fleet.plansNoMore());
        heartbeat.setCrashDigest(relay.crashNews().news().digest());
        EvacuationCodec.encode(evacuations.current(), heartbeat);
        long nowMillis = clock.monotonicMillis();
        DemandCodec.encode(demandByQueue, heartbeat, nowMillis);
        heartbeat.setSentMillis(self.getStartedMillis() + nowMillis - createdMillis);
        fleet.recentlySeenNodes().forEach(node -> heartbeat.addToSeen(encode(node, nowMillis)));
        fleet.unresponsiveVms()
                .forEach((vm, missedMillis) ->
                        heartbeat.addToSilentVms(new TRelaySilentVm(vm.value(), (int) (nowMillis - missedMillis))));
        return heartbeat;
    }

    private TRelayHeartbeat domainHeartbeat() {
        long nowMillis = clock.monotonicMillis();
        return heartbeat(
                TRelayScope.DOMAIN,
                loads.sumOfOwnDomain(relay.running(), nowMillis),
                fleet.peerDemand().sumOfOwnDomain(relay.demand(), nowMillis));
    }

    /** Returns a heartbeat with the sums over all nodes but the receiver. */
    private TRelayHeartbeat fleetHeartbeat(String receiver) {
        long nowMillis = clock.monotonicMillis();
        return heartbeat(
                TRelayScope.FLEET,
                loads.sumWithout(relay.running(), receiver, nowMillis),
                fleet.peerDemand().sumWithout(relay.demand(), receiver, nowMillis));
    }

    /**
     * Adds changes of VMs if the receiver does not watch them in the store, and crashes if it does not know the same ones.
     */
    private void addMissingUpdates(TRelayHeartbeat heartbeat, PeerState receiver, boolean needsVmUpdates) {
        CrashNews crashNews = relay.crashNews().news();
        if (receiver.crashDigest() != crashNews.digest()) {
            heartbeat.setCrashDigest(crashNews.digest());
            CrashNewsCodec.encode(crashNews, heartbeat, clock.monotonicMillis());
        }
        if (needsVmUpdates) {
            vms.changesSince(receiver.vmRevision()).map(VmUpdateCodec::encode).ifPresent(heartbeat::setVmNews);
        }
    }

    private static TRelayNodeSeen encode(FleetEvent.NodeSeen node, long nowMillis) {
        HeardNodes.Heard heartbeat = node.heartbeat();
        TRelayNodeSeen seen =
                new TRelayNodeSeen(node.name(), (int) (nowMillis - heartbeat.atMillis()), node.stopping());
        heartbeat.sentMillis().ifPresent(seen::setSentMillis);
        return seen;
    }

    private static FleetEvent.NodeSeen decode(TRelayNodeSeen node, long nowMillis) {
        OptionalLong sentMillis = node.isSetSentMillis() ? OptionalLong.of(node.getSentMillis()) : OptionalLong.empty();
        return new FleetEvent.NodeSeen(
                node.getName(), new HeardNodes.Heard(nowMillis - node.getAgeMillis(), sentMillis), node.isStopping());
    }

    private static byte[] encode(TRelayHeartbeat heartbeat) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(heartbeat);
        } catch (TException e) {
            throw new IllegalStateException("failed to encode a heartbeat", e);
        }
    }

    @Override
    public boolean handle(org.eclipse.jetty.server.Request request, Response response, Callback callback) {
        Content.Source.asByteBuffer(
                request,
                Promise.from(
                        bytes -> {
                            byte[] copy = new byte[bytes.remaining()];
                            bytes.get(copy);
                            respond(receive(copy), response, callback);
                        },
                        callback::failed));
        return true;
    }

    private void respond(Optional<Peer> sender, Response response, Callback callback) {
        if (sender.isEmpty()) {
            response.setStatus(HttpStatus.BAD_REQUEST_400);
            response.write(true, null, callback);
            return;
        }
        byte[] body = encode(replyTo(sender.get()));
        metrics.counter("heartbeats.sent.bytes").inc(body.length);
        response.setStatus(HttpStatus.OK_200);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    private TRelayHeartbeat replyTo(Peer sender) {
        boolean sameDomain = sender.failureDomain().equals(ownDomain);
        TRelayHeartbeat reply = sameDomain ? fleetHeartbeat(sender.name()) : domainHeartbeat();
        PeerState peerState = peerStates.get(sender.name());
        addMissingUpdates(reply, peerState, sameDomain || storeFollower || peerState.storeAway());
        return reply;
    }

    /** Parses and processes a heartbeat; returns its sender, or empty if it is invalid. */
    private Optional<Peer> receive(byte[] bytes) {
        try {
            return decode(bytes).map(this::receive);
        } catch (IllegalArgumentException e) {
            logUnreadable(e);
            return Optional.empty();
        }
    }

    private Optional<TRelayHeartbeat> decode(byte[] bytes) {
        try {
            TRelayHeartbeat heartbeat = new TRelayHeartbeat();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(heartbeat, bytes);
            return Optional.of(heartbeat);
        } catch (TException e) {
            logUnreadable(e);
            return Optional.empty();
        }
    }

    private void logUnreadable(Exception reason) {
        log.state("heartbeat_unreadable").with("reason", reason).write();
    }

    /** Takes the evacuations and the version of the catalogue, which hold however late they come. */
    private void receiveOperatorWords(TRelayHeartbeat heartbeat) {
        Peer sender = Registration.peer(heartbeat.getSender());
        EvacuationCodec.decode(heartbeat).ifPresent(told -> evacuations.offer(told, sender.name()));
        cataloguePull.heard(sender, heartbeat.getCatalogueVersion());
    }

    private Peer receive(TRelayHeartbeat heartbeat) {
        metrics.counter("heartbeats.taken").inc();
        long nowMillis = clock.monotonicMillis();
        Peer sender = Registration.peer(heartbeat.getSender());
        synchronized (partners) {
            partners.recordHeartbeat(sender.name(), nowMillis);
        }
        receiveOperatorWords(heartbeat);
        if (heartbeat.isSetVmNews()) {
            vms.applyPeerUpdate(VmUpdateCodec.decode(heartbeat.getVmNews()), heartbeat.getVmAgeMillis());
        }
        if (heartbeat.isSetCrashes() || heartbeat.isSetTrials()) {
            relay.put(new RelayEvent.CrashNewsReceived(CrashNewsCodec.decode(heartbeat, nowMillis)));
        }
        recordPeerState(sender, heartbeat);
        recordLoads(sender, heartbeat, nowMillis);
        if (heartbeat.isSetSilentVms()) {
            Map<VmId, Long> missedMillis = new HashMap<>();
            heartbeat
                    .getSilentVms()
                    .forEach(silent -> missedMillis.put(new VmId(silent.getVm()), nowMillis - silent.getAgeMillis()));
            fleet.put(new FleetEvent.PeerReportedUnresponsive(missedMillis));
        }
        List<FleetEvent.NodeSeen> seen = new ArrayList<>();
        if (heartbeat.isSetSeen()) {
            heartbeat.getSeen().forEach(node -> seen.add(decode(node, nowMillis)));
        }
        OptionalLong sentMillis =
                heartbeat.isSetSentMillis() ? OptionalLong.of(heartbeat.getSentMillis()) : OptionalLong.empty();
        fleet.put(new FleetEvent.HeartbeatReceived(sender, sentMillis, List.copyOf(seen), heartbeat.isStopping()));
        return sender;
    }

    private void recordPeerState(Peer sender, TRelayHeartbeat heartbeat) {
        peerStates.put(
                sender.name(),
                new PeerState(
                        heartbeat.isStoreAway(),
                        new StoreRevision(heartbeat.getVmIncarnation(), heartbeat.getVmRevision()),
                        heartbeat.getCrashDigest()));
    }

    private void recordLoads(Peer sender, TRelayHeartbeat heartbeat, long nowMillis) {
        Map<TargetId, Integer> running = new HashMap<>();
        for (TRelayLoad load : heartbeat.getLoads()) {
            running.put(new TargetId(new VmId(load.getVm()), load.getNumber()), load.getRunning());
        }
        Map<QueueId, QueueDemand> demandByQueue = DemandCodec.decode(heartbeat, nowMillis);
        FleetDemand peerDemand = fleet.peerDemand();
        TRelayScope scope = heartbeat.isSetScope() ? heartbeat.getScope() : TRelayScope.NODE;
        switch (scope) {
            case NODE -> {
                loads.recordNode(sender.name(), running, nowMillis);
                peerDemand.recordNode(sender.name(), demandByQueue, nowMillis);
            }
            case DOMAIN -> {
                loads.recordDomain(sender.failureDomain(), running, nowMillis);
                peerDemand.recordDomain(sender.failureDomain(), demandByQueue, nowMillis);
            }
            case FLEET -> {
                loads.recordRest(running, nowMillis);
                peerDemand.recordRest(demandByQueue, nowMillis);
                relay.put(new RelayEvent.PeerLoadsChanged(running));
            }
            default -> throw new IllegalStateException("scope " + scope);
        }
    }

    @Override
    public void close() {
        if (duty != null) {
            duty.close();
        }
    }
}
