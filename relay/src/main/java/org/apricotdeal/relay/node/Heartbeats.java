package org.apricotdeal.relay.node;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.policy.TargetId;
import org.apricotdeal.wire.gen.TRelayHeartbeat;
import org.apricotdeal.wire.gen.TRelayLoad;
import org.apricotdeal.wire.gen.TRelayNode;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Tells the other nodes what runs where, and takes their word. A node whose catalogue is older than the sender's gets the
 * newer one with the next heartbeat, and one that cannot follow the store gets the news of VMs, so that changes reach nodes
 * that the store turns away.
 */
final class Heartbeats extends Handler.Abstract implements AutoCloseable {
    /** Path of the heartbeats on the port for peers. */
    static final String PATH = "/heartbeat";

    private static final long PERIOD_MILLIS = 250;
    private static final long TIMEOUT_MILLIS = 600;
    private static final int RING_SLOTS = 16;

    private final HttpClient client;
    private final RelayDuty relay;
    private final FleetDuty fleet;
    private final CatalogueHolder catalogues;
    private final VmWatcher vms;
    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final TRelayNode self;
    private final Map<String, Long> peerVersions = new ConcurrentHashMap<>();

    /** Revision up to which nodes that cannot follow the store know of VMs. */
    private final Map<String, Long> awayPeers = new ConcurrentHashMap<>();

    private final Map<String, Boolean> underWay = new ConcurrentHashMap<>();
    private Duty<Runnable> duty;

    Heartbeats(
            TRelayNode self,
            HttpClient client,
            RelayDuty relay,
            FleetDuty fleet,
            CatalogueHolder catalogues,
            VmWatcher vms,
            DecisionLog log,
            MetricRegistry metrics) {
        this.client = client;
        this.relay = relay;
        this.fleet = fleet;
        this.catalogues = catalogues;
        this.vms = vms;
        this.log = log;
        this.metrics = metrics;
        this.self = self;
    }

    void begin() {
        duty = new Duty<>("heartbeats", RING_SLOTS, PERIOD_MILLIS, Runnable::run, this::sendAll);
    }

    private void sendAll() {
        for (Peer peer : fleet.peers()) {
            // One at a time to each peer: a silent connection must not gather heartbeats.
            if (underWay.putIfAbsent(peer.name(), true) == null) {
                send(peer);
            }
        }
    }

    private void send(Peer peer) {
        byte[] body = encode(peer);
        metrics.counter("heartbeats.sent").inc();
        metrics.counter("heartbeats.sent.bytes").inc(body.length);
        int colon = peer.address().lastIndexOf(':');
        client.newRequest(
                        peer.address().substring(0, colon),
                        Integer.parseInt(peer.address().substring(colon + 1)))
                .method(HttpMethod.POST)
                .path(PATH)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .body(new BytesRequestContent(body))
                .send(result -> {
                    underWay.remove(peer.name());
                    if (result.isFailed()) {
                        metrics.counter("heartbeats.failed").inc();
                    }
                });
    }

    private byte[] encode(Peer peer) {
        List<TRelayLoad> loads = new ArrayList<>();
        relay.running()
                .forEach((target, count) -> loads.add(new TRelayLoad(target.vm().value(), target.number(), count)));
        TRelayHeartbeat heartbeat = new TRelayHeartbeat(self, catalogues.version(), loads);
        Long theirs = peerVersions.get(peer.name());
        if (theirs != null && theirs < catalogues.version()) {
            ByteBuffer catalogue = catalogues.bytes();
            metrics.counter("catalogues.sent.bytes").inc(catalogue.remaining());
            heartbeat.setCatalogue(catalogue);
        }
        heartbeat.setVmRevision(vms.revision());
        heartbeat.setStoreAway(vms.isAway());
        heartbeat.setStopping(fleet.isStopping());
        Long knownRevision = awayPeers.get(peer.name());
        if (knownRevision != null) {
            vms.newsSince(knownRevision).map(VmNews::encode).ifPresent(heartbeat::setVmNews);
        }
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(heartbeat);
        } catch (TException e) {
            throw new IllegalStateException("a heartbeat cannot be encoded", e);
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Content.Source.asByteBuffer(
                request,
                org.eclipse.jetty.util.Promise.from(
                        bytes -> {
                            response.setStatus(take(bytes) ? HttpStatus.NO_CONTENT_204 : HttpStatus.BAD_REQUEST_400);
                            response.write(true, null, callback);
                        },
                        callback::failed));
        return true;
    }

    private boolean take(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        try {
            TRelayHeartbeat heartbeat = new TRelayHeartbeat();
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(heartbeat, copy);
            take(heartbeat);
            return true;
        } catch (TException | IllegalArgumentException e) {
            log.state("heartbeat_unreadable").with("reason", e).write();
            return false;
        }
    }

    private void take(TRelayHeartbeat heartbeat) {
        metrics.counter("heartbeats.taken").inc();
        Peer sender = Registration.peer(heartbeat.getSender());
        peerVersions.put(sender.name(), heartbeat.getCatalogueVersion());
        if (heartbeat.isSetCatalogue() && heartbeat.getCatalogueVersion() > catalogues.version()) {
            catalogues.offer(heartbeat.getCatalogue(), sender.name());
        }
        if (heartbeat.isStoreAway()) {
            awayPeers.put(sender.name(), heartbeat.getVmRevision());
        } else {
            awayPeers.remove(sender.name());
        }
        if (heartbeat.isSetVmNews()) {
            vms.told(VmNews.decode(heartbeat.getVmNews()));
        }
        Map<TargetId, Integer> running = new HashMap<>();
        for (TRelayLoad load : heartbeat.getLoads()) {
            running.put(new TargetId(new VmId(load.getVm()), load.getNumber()), load.getRunning());
        }
        fleet.put(new FleetEvent.Heartbeat(sender, running, heartbeat.isStopping()));
    }

    @Override
    public void close() {
        if (duty != null) {
            duty.close();
        }
    }
}
