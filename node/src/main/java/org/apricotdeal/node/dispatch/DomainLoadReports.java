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
import org.apricotdeal.node.peer.PeerClient;
import org.apricotdeal.node.peer.PeerDirectory;
import org.apricotdeal.policy.admission.Dispatcher;
import org.apricotdeal.policy.admission.DomainLoad;
import org.apricotdeal.wire.gen.TDomainLoad;
import org.apricotdeal.wire.gen.TDomainLoads;
import org.apricotdeal.wire.gen.TPeerBody;

/**
 * Reports this node's free capacity to the other failure domains, and stores the reports received from them. Each report is
 * sent to one node of each other failure domain, chosen at random each time, so that the number of messages grows with the
 * number of failure domains and not with the number of nodes. The free capacity is divided equally among the failure
 * domains, rounded up, so that they do not all count on the same capacity.
 */
final class DomainLoadReports {
    private static final long REPORT_PERIOD_MILLIS = 1_000;

    /** Equal to the maximum age at which the dispatcher uses a report. */
    private static final long REPORT_LIFETIME_MILLIS = 3_000;

    private final FailureDomainId ownDomain;
    private final PeerDirectory peers;
    private final PeerClient client;
    private final UniformRandomProvider random;
    private final Map<NodeId, List<DomainLoad>> reportsBySender = new HashMap<>();
    private long nextReportMillis;

    DomainLoadReports(FailureDomainId ownDomain, PeerDirectory peers, PeerClient client, UniformRandomProvider random) {
        this.ownDomain = ownDomain;
        this.peers = peers;
        this.client = client;
        this.random = random;
    }

    void tick(long nowMillis, Catalogue catalogue, Dispatcher dispatcher) {
        if (nowMillis < nextReportMillis) {
            return;
        }
        nextReportMillis = nowMillis + REPORT_PERIOD_MILLIS;
        Map<FailureDomainId, List<PeerDirectory.Peer>> peersByDomain = new TreeMap<>();
        for (PeerDirectory.Peer peer : peers.all()) {
            if (!peer.failureDomain().equals(ownDomain)) {
                peersByDomain
                        .computeIfAbsent(peer.failureDomain(), domain -> new ArrayList<>())
                        .add(peer);
            }
        }
        TPeerBody body = TPeerBody.domainLoads(new TDomainLoads(loads(catalogue, dispatcher, peersByDomain.size())));
        for (List<PeerDirectory.Peer> domainPeers : peersByDomain.values()) {
            client.send(domainPeers.get(random.nextInt(domainPeers.size())).address(), body);
        }
    }

    private static List<TDomainLoad> loads(Catalogue catalogue, Dispatcher dispatcher, int receivers) {
        List<UpstreamId> upstreams = new ArrayList<>();
        catalogue.all(ModelEntry.class).forEach(model -> upstreams.add(model.id()));
        catalogue.all(ServiceEntry.class).forEach(service -> upstreams.add(service.id()));
        List<TDomainLoad> loads = new ArrayList<>();
        for (UpstreamId upstream : upstreams) {
            for (ClassEntry entry : catalogue.all(ClassEntry.class)) {
                int openStreams = Math.ceilDiv(dispatcher.openStreams(upstream, entry.id()), Math.max(1, receivers));
                if (openStreams > 0) {
                    loads.add(new TDomainLoad(entry.id().value(), upstream.value(), openStreams));
                }
            }
        }
        return loads;
    }

    /** Stores a report and returns the loads summed over the nodes of each failure domain, without expired reports. */
    List<DomainLoad> addReport(long nowMillis, NodeId sender, FailureDomainId domain, TDomainLoads message) {
        List<DomainLoad> loads = new ArrayList<>();
        for (TDomainLoad load : message.getLoads()) {
            loads.add(new DomainLoad(
                    domain,
                    new UpstreamId(load.getUpstream()),
                    new ClassId(load.getClassId()),
                    load.getOpenStreams(),
                    nowMillis));
        }
        reportsBySender.put(sender, loads);
        reportsBySender
                .values()
                .removeIf(report ->
                        report.isEmpty() || nowMillis - report.getFirst().asOfMillis() > REPORT_LIFETIME_MILLIS);
        Map<String, DomainLoad> sums = new TreeMap<>();
        for (List<DomainLoad> report : reportsBySender.values()) {
            for (DomainLoad load : report) {
                sums.merge(
                        load.failureDomain() + " " + load.upstream() + " " + load.classId(), load, DomainLoad::merge);
            }
        }
        return new ArrayList<>(sums.values());
    }
}
