package org.apricotdeal.relay.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.ColdStart;
import org.apricotdeal.relay.model.RelayCatalogue;
import org.apricotdeal.relay.model.UpstreamEntry;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.ColdBounds;
import org.apricotdeal.relay.policy.ColdVm;
import org.apricotdeal.relay.policy.RelayEvent;
import org.apricotdeal.relay.policy.VmTable;

/** Tells the dispatcher which VMs tolerate only a limited rate of requests while they are cold, and until when. */
final class ColdVmFeed {
    private final ColdBounds bounds;
    private final DecisionLog log;
    private Map<VmId, ColdVm> published = Map.of();
    private final Set<VmId> cold = new HashSet<>();
    private final Set<VmId> unknown = new HashSet<>();
    private volatile Map<VmId, ColdVm> coldVms = Map.of();

    /**
     * Creates a feed that has published nothing.
     *
     * @param bounds bound on the requests to a cold VM
     * @param log receives the changes
     * @param metrics receives the number of cold VMs
     */
    ColdVmFeed(ColdBounds bounds, DecisionLog log, MetricRegistry metrics) {
        this.bounds = bounds;
        this.log = log;
        metrics.register("vms.cold", (Gauge<Integer>) () -> coldVms.size());
    }

    /** Returns the VMs that were cold at the last update and tolerate only a limited rate of requests. */
    Map<VmId, ColdVm> coldVms() {
        return coldVms;
    }

    /** Returns whether a VM was cold at the last update, so that its end is still to be reported. */
    boolean hasColdVms() {
        return !cold.isEmpty();
    }

    /**
     * Compares the VMs with those published last.
     *
     * @param table state of the VMs
     * @param catalogue catalogue in force
     * @param nowMillis monotonic time
     * @return event for the dispatcher; empty if nothing has changed
     */
    Optional<RelayEvent> update(VmTable table, RelayCatalogue catalogue, long nowMillis) {
        Map<VmId, ColdVm> vms = new HashMap<>();
        for (UpstreamVm vm : table.all()) {
            UpstreamEntry upstream = catalogue.upstreams().get(vm.upstream());
            ColdStart coldStart = upstream == null ? ColdStart.UNLIMITED : upstream.coldStart();
            int maxPerSecond = bounds.maxPerSecond(coldStart);
            if (maxPerSecond > 0) {
                logUnknown(vm);
                vms.put(vm.id(), new ColdVm(table.coldUntilMillis(vm.id(), coldStart.startMillis()), maxPerSecond));
            }
        }
        logChanges(vms, nowMillis);
        if (vms.equals(published)) {
            return Optional.empty();
        }
        published = vms;
        return Optional.of(new RelayEvent.ColdVmsChanged(vms));
    }

    private void logUnknown(UpstreamVm vm) {
        if (vm.coldRemainingMillis().isPresent()) {
            unknown.remove(vm.id());
        } else if (unknown.add(vm.id())) {
            log.state("vm_coldness_unknown").with("vm", vm.id()).write();
        }
    }

    private void logChanges(Map<VmId, ColdVm> vms, long nowMillis) {
        cold.removeIf(id -> {
            ColdVm vm = vms.get(id);
            boolean warm = vm == null || nowMillis >= vm.untilMillis();
            if (warm) {
                log.state("vm_warm").with("vm", id).write();
            }
            return warm;
        });
        vms.forEach((id, vm) -> {
            if (nowMillis < vm.untilMillis() && cold.add(id)) {
                log.state("vm_cold")
                        .with("vm", id)
                        .with("forMillis", vm.untilMillis() - nowMillis)
                        .with("maxPerSecond", vm.maxPerSecond())
                        .write();
            }
        });
        unknown.retainAll(vms.keySet());
        coldVms = cold.stream().collect(Collectors.toUnmodifiableMap(id -> id, vms::get));
    }
}
