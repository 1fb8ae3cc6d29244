package org.apricotdeal.node.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.PolicyEntry;
import org.apricotdeal.engine.EngineClient;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.http.HttpEngineClient;
import org.apricotdeal.kernel.duty.Duty;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.node.kernel.NodeEvent;
import org.apricotdeal.node.kernel.NodeKernel;
import org.apricotdeal.node.kernel.NodePlugin;
import org.apricotdeal.node.peer.PeerBook;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.VmReport;
import org.apricotdeal.policy.planning.Plan;

/** Probes the VMs of the node's failure domain and keeps the table of targets up to date. */
public final class FleetPlugin implements NodePlugin {
    private static final int RING_SLOTS = 4_096;
    private static final long TICK_MILLIS = 50;

    private final Map<VmId, Vm> listed = new TreeMap<>();
    private final Map<VmId, VmReport> reports = new HashMap<>();
    private Catalogue catalogue = Catalogue.EMPTY;
    private Plan plan;
    private RouteTable table = RouteTable.EMPTY;
    private long nextProbeMillis;
    private NodeKernel kernel;
    private PeerBook peers;
    private VmProber prober;
    private RouteBuilder builder;
    private Duty<FleetEvent> duty;

    @Override
    public String name() {
        return "fleet";
    }

    @Override
    public void register(NodeKernel withKernel) {
        kernel = withKernel;
        kernel.offer(EngineClient.class, new HttpEngineClient(kernel.httpClient()));
    }

    @Override
    public void start(NodeKernel withKernel) {
        peers = kernel.require(PeerBook.class);
        builder = new RouteBuilder(kernel.settings().node().id());
        duty = kernel.duty("fleet", RING_SLOTS, TICK_MILLIS, this::take, this::tick);
        prober = new VmProber(
                kernel.require(EngineClient.class), kernel.httpClient(), kernel.clock(), event -> duty.offer(event));
        kernel.subscribe(this::subscribe);
    }

    private void subscribe(NodeEvent event) {
        switch (event) {
            case NodeEvent.VmsListed(List<Vm> vms) -> duty.offer(new FleetEvent.Listed(vms));
            case NodeEvent.CatalogueAdopted(Catalogue adopted) -> duty.offer(new FleetEvent.CatalogueAdopted(adopted));
            case NodeEvent.PlanAdopted(Plan adopted) -> duty.offer(new FleetEvent.PlanAdopted(adopted));
            default -> {}
        }
    }

    private void take(FleetEvent event) {
        switch (event) {
            case FleetEvent.Listed(List<Vm> vms) -> takeList(vms);
            case FleetEvent.CatalogueAdopted(Catalogue adopted) -> catalogue = adopted;
            case FleetEvent.PlanAdopted(Plan adopted) -> plan = adopted;
            case FleetEvent.Answered(VmId vm, long sentAtMillis, EngineState state) ->
                report(new VmReport(vm, Health.ALIVE, state, sentAtMillis, false));
            case FleetEvent.Silent silent -> {}
        }
        refresh();
    }

    private void takeList(List<Vm> vms) {
        listed.clear();
        for (Vm vm : vms) {
            boolean own = vm.failureDomain().equals(kernel.settings().node().failureDomain());
            if (own && !vm.upstream().value().equals(PeerBook.ENTRY_UPSTREAM)) {
                listed.put(vm.id(), vm);
            }
        }
        reports.keySet().retainAll(listed.keySet());
    }

    private void tick() {
        long nowMillis = kernel.clock().monotonicMillis();
        if (nowMillis >= nextProbeMillis) {
            nextProbeMillis = nowMillis + kernel.settings().timing().probeMillis();
            probeAll();
        }
        checkSilence(nowMillis);
        refresh();
    }

    private void probeAll() {
        long timeoutMillis = catalogue.policy().failMillis();
        for (Vm vm : listed.values()) {
            boolean isModel =
                    catalogue.find("model " + vm.upstream(), ModelEntry.class).isPresent();
            prober.probe(vm, isModel, timeoutMillis);
        }
    }

    private void checkSilence(long nowMillis) {
        PolicyEntry policy = catalogue.policy();
        for (VmReport report : List.copyOf(reports.values())) {
            long silentMillis = report.ageMillis(nowMillis);
            Health health = silentMillis > policy.failMillis()
                    ? Health.FAILED
                    : silentMillis > policy.suspectMillis() ? Health.SUSPECT : Health.ALIVE;
            if (health != report.health()) {
                report(new VmReport(report.vm(), health, report.state(), report.observedMillis(), false));
            }
        }
    }

    private void report(VmReport report) {
        if (listed.containsKey(report.vm())) {
            reports.put(report.vm(), report);
            kernel.publish(new NodeEvent.VmReported(report));
        }
    }

    private void refresh() {
        RouteTable next = builder.build(
                kernel.clock().monotonicMillis(), plan, listed, reports, new RouteBuilder.Inputs(catalogue, nodes()));
        if (!next.equals(table)) {
            table = next;
            kernel.publish(new NodeEvent.RoutesChanged(table));
        }
    }

    private List<NodeId> nodes() {
        List<NodeId> nodes = new ArrayList<>();
        nodes.add(kernel.settings().node().id());
        for (PeerBook.Peer peer : peers.of(kernel.settings().node().failureDomain())) {
            nodes.add(peer.node());
        }
        nodes.sort(null);
        return nodes;
    }
}
