package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

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
import org.apricotdeal.relay.peer.FleetLoads;
import org.apricotdeal.relay.peer.HeartbeatPartners;
import org.apricotdeal.relay.peer.PlannerChoice;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.TargetId;
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
 * Exchanges heartbeats with the nodes that {@link HeartbeatPartners} chooses: what runs where, which nodes are heard, the news
 * of VMs for nodes that do not follow the store themselves, and the catalogue for one that stays behind. The answer to a
 * heartbeat is the receiver's own.
 */
final class Heartbeats extends Handler.Abstract implements AutoCloseable {
    /** Path of the heartbeats on the port for peers. */
    static final String PATH = "/heartbeat";

    /** Time between two heartbeats; counts of requests go through three of them and are believed for 1.5 s. */
    private static final long PERIOD_MILLIS = 200;

    private static final long TIMEOUT_MILLIS = 600;
    private static final int RING_SLOTS = 16;

    /** A catalogue with thousands of routes and the entries of thousands of VMs fit in. */
    private static final int MAX_HEARTBEAT_BYTES = 16 * 1024 * 1024;

    /** Nodes that follow the store have a catalogue within this time by themselves; only then it is sent along. */
    private static final long BEHIND_MILLIS = 500;

    private final HttpClient client;
    private final RelayDuty relay;
    private final FleetDuty fleet;
    private final CatalogueHolder catalogues;
    private final CatalogueWatcher catalogueWatcher;
    private final VmWatcher vms;
    private final Clock clock;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final TRelayNode self;
    private final FailureDomainId ownDomain;
    private final HeartbeatPartners partners;
    private final FleetLoads loads = new FleetLoads();

    /** What each partner said last, by name. */
    private final Map<String, Partner> known = new ConcurrentHashMap<>();

    private final Map<String, Boolean> underWay = new ConcurrentHashMap<>();
    private Duty<Runnable> duty;
    private volatile boolean delegate = true;

    /**
     * What a partner said of itself.
     *
     * @param behindSinceMillis time since which its catalogue has been older than this node's; 0 where it is not
     * @param storeAway whether it cannot follow the store
     * @param vmRevision store's revision up to which it knows of VMs
     */
    private record Partner(long behindSinceMillis, boolean storeAway, long vmRevision) {}

    Heartbeats(
            TRelayNode self,
            HttpClient client,
            RelayDuty relay,
            FleetDuty fleet,
            CatalogueHolder catalogues,
            CatalogueWatcher catalogueWatcher,
            VmWatcher vms,
            Clock clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.client = client;
        this.relay = relay;
        this.fleet = fleet;
        this.catalogues = catalogues;
        this.catalogueWatcher = catalogueWatcher;
        this.vms = vms;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.self = self;
        this.ownDomain = new FailureDomainId(self.getFailureDomain());
        this.partners = new HeartbeatPartners(new PlannerChoice.Candidate(self.getName(), ownDomain));
    }

    void begin() {
        metrics.register("delegate", (Gauge<Integer>) () -> delegate ? 1 : 0);
        duty = new Duty<>("heartbeats", RING_SLOTS, PERIOD_MILLIS, Runnable::run, this::sendAll);
    }

    private void sendAll() {
        Neighbours neighbours = fleet.neighbours();
        Set<String> chosen;
        synchronized (partners) {
            chosen = partners.choose(
                    neighbours.peers().stream()
                            .map(peer -> new PlannerChoice.Candidate(peer.name(), peer.failureDomain()))
                            .toList(),
                    neighbours.stopping(),
                    clock.monotonicMillis());
            noteDelegate(partners.isDelegate());
        }
        vms.followStore(delegate);
        catalogueWatcher.hearsDelegate(!delegate);
        if (delegate) {
            relay.put(new RelayEvent.PeerLoadsChanged(loads.others(clock.monotonicMillis())));
        }
        for (Peer peer : neighbours.peers()) {
            // One at a time to each peer: a silent connection must not gather heartbeats.
            if (chosen.contains(peer.name()) && underWay.putIfAbsent(peer.name(), true) == null) {
                send(peer);
            }
        }
    }

    private void noteDelegate(boolean now) {
        if (delegate != now) {
            log.state(now ? "delegate_took_over" : "delegate_yielded")
                    .with("failureDomain", ownDomain)
                    .write();
        }
        delegate = now;
    }

    private void send(Peer peer) {
        boolean sameDomain = peer.failureDomain().equals(ownDomain);
        TRelayHeartbeat heartbeat = sameDomain
                ? heartbeat(TRelayScope.NODE, relay.running())
                : heartbeat(TRelayScope.DOMAIN, domainLoads());
        Partner partner = known.get(peer.name());
        if (partner != null) {
            addWhatLacks(heartbeat, partner, !sameDomain && partner.storeAway());
        }
        byte[] body = encode(heartbeat);
        metrics.counter("heartbeats.sent").inc();
        metrics.counter("heartbeats.sent.bytes").inc(body.length);
        HostPort address = HostPort.parse(peer.address());
        Request request = client.newRequest(address.host(), address.port())
                .method(HttpMethod.POST)
                .path(PATH)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .body(new BytesRequestContent(body));
        var unused = new CompletableResponseListener(request, MAX_HEARTBEAT_BYTES)
                .send()
                .whenComplete((response, failure) -> {
                    underWay.remove(peer.name());
                    if (failure != null
                            || response.getStatus() != HttpStatus.OK_200
                            || take(response.getContent()).isEmpty()) {
                        metrics.counter("heartbeats.failed").inc();
                    }
                });
    }

    private TRelayHeartbeat heartbeat(TRelayScope scope, Map<TargetId, Integer> running) {
        List<TRelayLoad> list = new ArrayList<>(running.size());
        running.forEach((target, count) -> list.add(new TRelayLoad(target.vm().value(), target.epoch(), count)));
        TRelayHeartbeat heartbeat = new TRelayHeartbeat(self, catalogues.version(), list);
        heartbeat.setScope(scope);
        heartbeat.setVmRevision(vms.revision());
        heartbeat.setVmAgeMillis((int) Math.min(Integer.MAX_VALUE, vms.ageMillis()));
        heartbeat.setStoreAway(vms.isAway() || catalogueWatcher.isAway());
        heartbeat.setStopping(fleet.isStopping());
        long nowMillis = clock.monotonicMillis();
        fleet.seenOfLate()
                .forEach(node -> heartbeat.addToSeen(
                        new TRelayNodeSeen(node.name(), (int) (nowMillis - node.heardMillis()), node.stopping())));
        fleet.silentVms()
                .forEach((vm, missedMillis) ->
                        heartbeat.addToSilentVms(new TRelaySilentVm(vm.value(), (int) (nowMillis - missedMillis))));
        return heartbeat;
    }

    private Map<TargetId, Integer> domainLoads() {
        return loads.domain(relay.running(), clock.monotonicMillis());
    }

    /** Adds the catalogue where the receiver stays behind, and the news of VMs that it does not read in the store itself. */
    private void addWhatLacks(TRelayHeartbeat heartbeat, Partner receiver, boolean needsNews) {
        long behindSinceMillis = receiver.behindSinceMillis();
        boolean staysBehind = behindSinceMillis > 0
                && (receiver.storeAway() || clock.monotonicMillis() - behindSinceMillis >= BEHIND_MILLIS);
        if (staysBehind) {
            ByteBuffer catalogue = catalogues.bytes();
            metrics.counter("catalogues.sent.bytes").inc(catalogue.remaining());
            heartbeat.setCatalogue(catalogue);
        }
        if (needsNews) {
            vms.newsSince(receiver.vmRevision()).map(VmNews::encode).ifPresent(heartbeat::setVmNews);
        }
    }

    private static byte[] encode(TRelayHeartbeat heartbeat) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(heartbeat);
        } catch (TException e) {
            throw new IllegalStateException("a heartbeat cannot be encoded", e);
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
                            answer(take(copy), response, callback);
                        },
                        callback::failed));
        return true;
    }

    private void answer(Optional<Peer> sender, Response response, Callback callback) {
        if (sender.isEmpty()) {
            response.setStatus(HttpStatus.BAD_REQUEST_400);
            response.write(true, null, callback);
            return;
        }
        byte[] body = encode(answerTo(sender.get()));
        metrics.counter("heartbeats.sent.bytes").inc(body.length);
        response.setStatus(HttpStatus.OK_200);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    private TRelayHeartbeat answerTo(Peer sender) {
        boolean sameDomain = sender.failureDomain().equals(ownDomain);
        TRelayHeartbeat answer = sameDomain
                ? heartbeat(TRelayScope.FLEET, loads.allBut(relay.running(), sender.name(), clock.monotonicMillis()))
                : heartbeat(TRelayScope.DOMAIN, domainLoads());
        Partner partner = known.get(sender.name());
        addWhatLacks(answer, partner, sameDomain || partner.storeAway());
        return answer;
    }

    /** Takes a heartbeat; returns its sender, or nothing where it cannot be read. */
    private Optional<Peer> take(byte[] bytes) {
        try {
            TRelayHeartbeat heartbeat = new TRelayHeartbeat();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(heartbeat, bytes);
            return Optional.of(take(heartbeat));
        } catch (TException | IllegalArgumentException e) {
            log.state("heartbeat_unreadable").with("reason", e).write();
            return Optional.empty();
        }
    }

    private Peer take(TRelayHeartbeat heartbeat) {
        metrics.counter("heartbeats.taken").inc();
        long nowMillis = clock.monotonicMillis();
        Peer sender = Registration.peer(heartbeat.getSender());
        synchronized (partners) {
            partners.heard(sender.name(), nowMillis);
        }
        if (heartbeat.isSetCatalogue() && heartbeat.getCatalogueVersion() > catalogues.version()) {
            catalogues.offer(heartbeat.getCatalogue(), sender.name());
        }
        if (heartbeat.isSetVmNews()) {
            vms.told(VmNews.decode(heartbeat.getVmNews()), heartbeat.getVmAgeMillis());
        }
        note(sender, heartbeat, nowMillis);
        takeLoads(sender, heartbeat, nowMillis);
        if (heartbeat.isSetSilentVms()) {
            Map<VmId, Long> missedMillis = new HashMap<>();
            heartbeat
                    .getSilentVms()
                    .forEach(silent -> missedMillis.put(new VmId(silent.getVm()), nowMillis - silent.getAgeMillis()));
            fleet.put(new FleetEvent.ToldSilent(missedMillis));
        }
        List<FleetEvent.Seen> seen = new ArrayList<>();
        if (heartbeat.isSetSeen()) {
            for (TRelayNodeSeen node : heartbeat.getSeen()) {
                seen.add(new FleetEvent.Seen(node.getName(), nowMillis - node.getAgeMillis(), node.isStopping()));
            }
        }
        fleet.put(new FleetEvent.Heartbeat(sender, List.copyOf(seen), heartbeat.isStopping()));
        return sender;
    }

    private void note(Peer sender, TRelayHeartbeat heartbeat, long nowMillis) {
        boolean behind = heartbeat.getCatalogueVersion() < catalogues.version();
        known.compute(sender.name(), (name, before) -> {
            long sinceMillis =
                    before == null || before.behindSinceMillis() == 0 ? nowMillis : before.behindSinceMillis();
            return new Partner(behind ? sinceMillis : 0, heartbeat.isStoreAway(), heartbeat.getVmRevision());
        });
    }

    private void takeLoads(Peer sender, TRelayHeartbeat heartbeat, long nowMillis) {
        Map<TargetId, Integer> running = new HashMap<>();
        for (TRelayLoad load : heartbeat.getLoads()) {
            running.put(new TargetId(new VmId(load.getVm()), load.getNumber()), load.getRunning());
        }
        TRelayScope scope = heartbeat.isSetScope() ? heartbeat.getScope() : TRelayScope.NODE;
        switch (scope) {
            case NODE -> loads.ofNode(sender.name(), running, nowMillis);
            case DOMAIN -> loads.ofDomain(sender.failureDomain(), running, nowMillis);
            case FLEET -> {
                loads.ofRest(running, nowMillis);
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
