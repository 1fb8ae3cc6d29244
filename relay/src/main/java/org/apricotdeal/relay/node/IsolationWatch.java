package org.apricotdeal.relay.node;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.IsolationDetector;
import org.apricotdeal.relay.policy.VmTable;

/** Runs the {@link IsolationDetector} of a node, and logs its changes. */
final class IsolationWatch {
    /** Number of silent VMs that a report of a peer may always contain, however small the fleet is. */
    private static final int MIN_REPORTED_VMS_LIMIT = 4;

    private final FailureDomainId ownDomain;
    private final DecisionLog log;
    private final IsolationDetector detector = new IsolationDetector();
    private volatile boolean isolated;
    private long sinceMillis;

    IsolationWatch(FailureDomainId ownDomain, DecisionLog log, MetricRegistry metrics) {
        this.ownDomain = ownDomain;
        this.log = log;
        metrics.register("isolated", (Gauge<Integer>) () -> isolated ? 1 : 0);
    }

    boolean isIsolated() {
        return isolated;
    }

    /**
     * Takes another node's report of silent VMs; returns false if it is not to be believed: a node that finds many VMs silent is
     * probably isolated or overloaded itself.
     */
    boolean acceptsReport(Set<VmId> silentVms, int listedCount, long nowMillis) {
        if (silentVms.size() > Math.max(MIN_REPORTED_VMS_LIMIT, listedCount / 4)) {
            return false;
        }
        detector.recordPeerReport(silentVms, nowMillis);
        return true;
    }

    /** Evaluates the VMs that this node may ask; returns those that it should ask now. */
    Set<VmId> update(VmTable table, Predicate<UpstreamVm> mayAsk, boolean peersHeard, long nowMillis) {
        Set<VmId> listed = new HashSet<>();
        Set<VmId> nearby = new HashSet<>();
        for (UpstreamVm vm : table.all()) {
            if (mayAsk.test(vm)) {
                listed.add(vm.id());
                if (vm.failureDomain().equals(ownDomain)) {
                    nearby.add(vm.id());
                }
            }
        }
        Set<VmId> silent = listed.stream().filter(table::isUnresponsive).collect(Collectors.toSet());
        detector.update(listed, nearby, silent, peersHeard, nowMillis);
        if (detector.isIsolated() != isolated) {
            isolated = detector.isIsolated();
            log.state(isolated ? "isolated_from_vms" : "reaches_vms_again")
                    .with("silentVms", silent.size())
                    .with("listedVms", listed.size())
                    .with("isolatedMillis", isolated ? 0 : nowMillis - sinceMillis)
                    .write();
            sinceMillis = nowMillis;
        }
        return detector.isSuspected() || isolated ? listed : Set.of();
    }
}
