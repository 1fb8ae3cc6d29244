package org.apricotdeal.node.catalogue;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.apache.commons.rng.simple.RandomSource;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.message.Message;
import org.apricotdeal.kernel.result.Result;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.node.peer.PeerClient;
import org.apricotdeal.node.peer.PeerDirectory;
import org.apricotdeal.platform.KeyValueStore;
import org.apricotdeal.policy.spread.CatalogueChange;
import org.apricotdeal.policy.spread.CatalogueSpread;
import org.apricotdeal.policy.spread.PeerRef;
import org.apricotdeal.policy.spread.SpreadAction;
import org.apricotdeal.policy.spread.SpreadEvent;
import org.apricotdeal.policy.spread.SpreadSettings;
import org.apricotdeal.wire.gen.TCatalogueRequest;
import org.apricotdeal.wire.gen.TCatalogueVersion;
import org.apricotdeal.wire.gen.TPeerBody;
import org.apricotdeal.wire.gen.TPeerMessage;

/** Replicates the catalogue. One duty makes the decisions, another one makes the blocking calls to the platform. */
public final class CataloguePlugin implements NodePlugin {
    private static final int RING_SLOTS = 1_024;
    private static final long TICK_MILLIS = 100;

    private final CatalogueRef current = new CatalogueRef();
    private volatile String notReadyReason = "the catalogue is not known yet";
    private volatile Set<NodeId> failedNodes = Set.of();
    private NodeKernel kernel;
    private CatalogueSpread spread;
    private Duty<SpreadEvent> duty;
    private Duty<SpreadAction.QueryPlatform> platformReads;
    private PeerDirectory peers;
    private PeerClient peerClient;

    @Override
    public String name() {
        return "catalogue";
    }

    @Override
    public void register(NodeKernel nodeKernel) {
        kernel = nodeKernel;
        kernel.offer(CatalogueRef.class, current);
        kernel.readinessCheck(() -> current.get().isPresent() ? Optional.empty() : Optional.of(notReadyReason));
        kernel.peerHandler(TPeerBody._Fields.CATALOGUE_VERSION, this::handleVersion);
        kernel.peerHandler(TPeerBody._Fields.CATALOGUE_REQUEST, this::handleRequest);
        kernel.peerHandler(TPeerBody._Fields.CATALOGUE, this::handleCatalogue);
    }

    @Override
    public void start(NodeKernel nodeKernel) {
        peers = kernel.require(PeerDirectory.class);
        peerClient = kernel.require(PeerClient.class);
        var node = kernel.settings().node();
        spread = new CatalogueSpread(
                SpreadSettings.DEFAULT,
                new PeerRef(node.id(), node.failureDomain()),
                RandomSource.XO_RO_SHI_RO_128_PP.create());
        CatalogueReader reader = new CatalogueReader(kernel.require(KeyValueStore.class));
        duty = kernel.duty("catalogue", RING_SLOTS, TICK_MILLIS, this::step, () -> step(new SpreadEvent.Tick()));
        platformReads = kernel.duty(
                "store-catalogue", RING_SLOTS, TICK_MILLIS, query -> duty.offer(reader.read(query)), () -> {});
        kernel.subscribe(event -> {
            if (event instanceof NodeEvent.FailedNodesChanged(Set<NodeId> failed)) {
                failedNodes = failed;
            }
            if (event instanceof NodeEvent.VmsListed || event instanceof NodeEvent.FailedNodesChanged) {
                duty.offer(new SpreadEvent.PeersChanged(liveNodes()));
            }
        });
    }

    private Set<PeerRef> liveNodes() {
        Set<PeerRef> live = new HashSet<>();
        var node = kernel.settings().node();
        live.add(new PeerRef(node.id(), node.failureDomain()));
        for (PeerDirectory.Peer peer : peers.all()) {
            if (!failedNodes.contains(peer.node())) {
                live.add(new PeerRef(peer.node(), peer.failureDomain()));
            }
        }
        return live;
    }

    private void step(SpreadEvent event) {
        List<SpreadAction> actions = spread.step(kernel.clock().monotonicMillis(), event);
        for (SpreadAction action : actions) {
            execute(action);
        }
    }

    private void execute(SpreadAction action) {
        switch (action) {
            case SpreadAction.QueryPlatform query -> {
                if (!platformReads.offer(query)) {
                    duty.offer(new SpreadEvent.PlatformFailed(query.callId()));
                }
            }
            case SpreadAction.AnnounceVersion(NodeId peer, long version, String digest) ->
                send(peer, TPeerBody.catalogueVersion(new TCatalogueVersion(version, digest)));
            case SpreadAction.RequestCatalogue(NodeId peer, long haveVersion) ->
                send(peer, TPeerBody.catalogueRequest(new TCatalogueRequest(haveVersion)));
            case SpreadAction.SendCatalogue(NodeId peer, CatalogueChange change) ->
                send(peer, TPeerBody.catalogue(CatalogueMessages.toWire(change)));
            case SpreadAction.Adopt(Catalogue catalogue, String source) -> adopt(catalogue, source);
            case SpreadAction.NotReady(String reason) -> notReadyReason = reason;
            case SpreadAction.Diverged(NodeId peer, long version) ->
                kernel.timeline().record(Message.CATALOGUE_REFUSED, version, "another content of version " + version);
        }
    }

    private void adopt(Catalogue catalogue, String source) {
        current.set(catalogue);
        kernel.timeline().catalogueVersion(catalogue.version());
        kernel.timeline().record(Message.CATALOGUE_ADOPTED, catalogue.version(), source);
        kernel.publish(new NodeEvent.CatalogueAdopted(catalogue));
    }

    private void send(NodeId peer, TPeerBody body) {
        peers.find(peer).ifPresent(target -> peerClient.send(target.address(), body));
    }

    private void handleVersion(TPeerMessage message) {
        TCatalogueVersion version = message.getBody().getCatalogueVersion();
        duty.offer(new SpreadEvent.PeerVersion(
                new NodeId(message.getSender()), version.getVersion(), version.getDigest()));
    }

    private void handleRequest(TPeerMessage message) {
        TCatalogueRequest request = message.getBody().getCatalogueRequest();
        duty.offer(new SpreadEvent.PeerRequest(new NodeId(message.getSender()), request.getHaveVersion()));
    }

    private void handleCatalogue(TPeerMessage message) {
        if (CatalogueMessages.fromWire(message.getBody().getCatalogue())
                instanceof Result.Ok<CatalogueChange, String>(CatalogueChange change)) {
            duty.offer(new SpreadEvent.PeerCatalogue(new NodeId(message.getSender()), change));
        }
    }
}
