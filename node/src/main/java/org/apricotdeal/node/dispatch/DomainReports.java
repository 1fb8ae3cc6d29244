package org.apricotdeal.node.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ClassEntry;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.kernel.id.ClassId;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.node.peer.PeerBook;
import org.apricotdeal.node.peer.PeerClient;
import org.apricotdeal.policy.admission.Dispatcher;
import org.apricotdeal.policy.admission.DomainLoad;
import org.apricotdeal.wire.gen.TDomainLoad;
import org.apricotdeal.wire.gen.TDomainLoads;
import org.apricotdeal.wire.gen.TPeerBody;

/**
 * Tells other failure domains what room this node has, and keeps what they tell. Each report goes to one node of each other
 * failure domain, chosen anew each time, so that the number of messages grows with the failure domains and not with the
 * nodes; and it offers each of them an equal part, so that they do not all count on the same room.
 */
final class DomainReports {
    private static final long PERIOD_MILLIS = 1_000;

    /** As long as the dispatcher uses a report. */
    private static final long KEPT_MILLIS = 3_000;

    private final FailureDomainId self;
    private final PeerBook peers;
    private final PeerClient client;
    private final UniformRandomProvider random;
    private final Map<NodeId, List<DomainLoad>> reports = new HashMap<>();
    private long nextReportMillis;

    DomainReports(FailureDomainId self, PeerBook peers, PeerClient client, UniformRandomProvider random) {
        this.self = self;
        this.peers = peers;
        this.client = client;
        this.random = random;
    }

    void tick(long nowMillis, Catalogue catalogue, Dispatcher dispatcher) {
        if (nowMillis < nextReportMillis) {
            return;
        }
        nextReportMillis = nowMillis + PERIOD_MILLIS;
        Map<FailureDomainId, List<PeerBook.Peer>> others = new TreeMap<>();
        for (PeerBook.Peer peer : peers.all()) {
            if (!peer.failureDomain().equals(self)) {
                others.computeIfAbsent(peer.failureDomain(), domain -> new ArrayList<>())
                        .add(peer);
            }
        }
        TPeerBody body = TPeerBody.domainLoads(new TDomainLoads(loads(catalogue, dispatcher, others.size())));
        for (List<PeerBook.Peer> domain : others.values()) {
            client.send(domain.get(random.nextInt(domain.size())).address(), body);
        }
    }

    private static List<TDomainLoad> loads(Catalogue catalogue, Dispatcher dispatcher, int receivers) {
        List<UpstreamId> upstreams = new ArrayList<>();
        catalogue.all(ModelEntry.class).forEach(model -> upstreams.add(model.id()));
        catalogue.all(ServiceEntry.class).forEach(service -> upstreams.add(service.id()));
        List<TDomainLoad> loads = new ArrayList<>();
        for (UpstreamId upstream : upstreams) {
            for (ClassEntry entry : catalogue.all(ClassEntry.class)) {
                int open = Math.ceilDiv(dispatcher.openStreams(upstream, entry.id()), Math.max(1, receivers));
                if (open > 0) {
                    loads.add(new TDomainLoad(entry.id().value(), upstream.value(), open));
                }
            }
        }
        return loads;
    }

    /** Takes a report and returns the sums over the reports that still count. */
    List<DomainLoad> take(long nowMillis, NodeId from, FailureDomainId domain, TDomainLoads message) {
        List<DomainLoad> loads = new ArrayList<>();
        for (TDomainLoad load : message.getLoads()) {
            loads.add(new DomainLoad(
                    domain,
                    new UpstreamId(load.getUpstream()),
                    new ClassId(load.getClassId()),
                    load.getOpenStreams(),
                    nowMillis));
        }
        reports.put(from, loads);
        reports.values()
                .removeIf(kept -> kept.isEmpty() || nowMillis - kept.getFirst().asOfMillis() > KEPT_MILLIS);
        Map<String, DomainLoad> sums = new TreeMap<>();
        for (List<DomainLoad> kept : reports.values()) {
            for (DomainLoad load : kept) {
                sums.merge(
                        load.failureDomain() + " " + load.upstream() + " " + load.classId(), load, DomainLoad::merge);
            }
        }
        return new ArrayList<>(sums.values());
    }
}
