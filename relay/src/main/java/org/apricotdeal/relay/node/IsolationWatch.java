package org.apricotdeal.relay.node;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.dynatrace.hash4j.hashing.Hashing;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.IsolationDetector;
import org.apricotdeal.relay.policy.VmTable;

/** Runs the {@link IsolationDetector} of a node, and logs its changes. */
final class IsolationWatch {
    /** Number of silent VMs that a report of a peer may always contain, however small the fleet is. */
    private static final int MIN_REPORTED_VMS_LIMIT = 4;

    /** Number of VMs in this failure domain, and of others, by which a node finds out whether it is isolated. */
    private static final int SAMPLE_VMS = 10;

    private final String node;
    private final FailureDomainId ownDomain;
    private final DecisionLog log;
    private final IsolationDetector detector = new IsolationDetector();
    private volatile boolean isolated;
    private long sinceMillis;

    IsolationWatch(String node, FailureDomainId ownDomain, DecisionLog log, MetricRegistry metrics) {
        this.node = node;
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

    /** Evaluates the VMs that this node may ask; returns those that it should ask now, a sample of them. */
    Set<VmId> update(VmTable table, Predicate<UpstreamVm> mayAsk, boolean peersHeard, long nowMillis) {
        List<UpstreamVm> askable = table.all().stream().filter(mayAsk).toList();
        Set<VmId> silent = askable.stream()
                .map(UpstreamVm::id)
                .filter(table::isUnresponsive)
                .collect(Collectors.toSet());
        Set<VmId> listed = Set.of();
        Set<VmId> nearby = Set.of();
        if (silent.size() >= IsolationDetector.MIN_SILENT_VMS) {
            nearby = sample(askable, vm -> vm.failureDomain().equals(ownDomain));
            listed = new HashSet<>(sample(askable, vm -> !vm.failureDomain().equals(ownDomain)));
            listed.addAll(nearby);
        }
        detector.update(listed, nearby, silent, peersHeard, nowMillis);
        if (detector.isIsolated() != isolated) {
            isolated = detector.isIsolated();
            log.state(isolated ? "isolated_from_vms" : "reaches_vms_again")
                    .with("silentVms", silent.size())
                    .with("listedVms", askable.size())
                    .with("isolatedMillis", isolated ? 0 : nowMillis - sinceMillis)
                    .write();
            sinceMillis = nowMillis;
        }
        return detector.isSuspected() || isolated ? listed : Set.of();
    }

    /** Returns some of the VMs: the same ones each time, others than those of most other nodes. */
    private Set<VmId> sample(List<UpstreamVm> vms, Predicate<UpstreamVm> choice) {
        return vms.stream()
                .filter(choice)
                .map(UpstreamVm::id)
                .sorted(Comparator.comparing(vm -> Hashing.komihash4_3().hashCharsToLong(node + "/" + vm.value())))
                .limit(SAMPLE_VMS)
                .collect(Collectors.toSet());
    }
}
