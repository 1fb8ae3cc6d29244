package org.apricotdeal.relay.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.relay.model.UpstreamVm;
import org.apricotdeal.relay.policy.Target;
import org.apricotdeal.relay.policy.TargetId;

/**
 * Decides for the fleet duty which VMs get neither polls nor orders because of the operator's evacuations, and reports what
 * this node still runs in an evacuated failure domain. Until the operator's words are known, no VM gets any.
 *
 * <p>Load pattern: a failure domain is emptied for seconds to hours while its VMs go on writing their entries. Polls that
 * are left out are caught up when the domain returns.
 */
final class FleetEvacuations {
    /** Time between two lines on what still runs. */
    private static final long REPORT_PERIOD_MILLIS = 2_000;

    private final DecisionLog log;
    private final MetricRegistry metrics;
    private final Set<VmId> missedPolls = new HashSet<>();
    private final Map<FailureDomainId, Integer> running = new ConcurrentHashMap<>();
    private Set<FailureDomainId> domains = Set.of();
    private boolean known;
    private long reportedMillis = Long.MIN_VALUE / 2;

    FleetEvacuations(DecisionLog log, MetricRegistry metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Sets the evacuated failure domains; returns the VMs that may have to be polled now. */
    List<VmId> change(Set<FailureDomainId> changed) {
        domains.stream().filter(domain -> !changed.contains(domain)).forEach(domain -> {
            running.remove(domain);
            metrics.remove(gauge(domain));
        });
        domains = changed;
        known = true;
        reportedMillis = Long.MIN_VALUE / 2;
        List<VmId> toPoll = List.copyOf(missedPolls);
        missedPolls.clear();
        return toPoll;
    }

    /** Returns the number of requests that this node runs in each evacuated failure domain; none before the first count. */
    Map<FailureDomainId, Integer> running() {
        return Map.copyOf(running);
    }

    /** Returns whether the operator's words are known. */
    boolean isKnown() {
        return known;
    }

    /** Returns whether a failure domain is being evacuated. */
    boolean contains(FailureDomainId domain) {
        return domains.contains(domain);
    }

    /** Returns whether a VM may be polled; remembers it otherwise. */
    boolean mayPoll(UpstreamVm vm) {
        if (known && !domains.contains(vm.failureDomain())) {
            return true;
        }
        missedPolls.add(vm.id());
        return false;
    }

    /** Returns the share of the weight store that the planner of each of the failure domains may use. */
    double loadShare(List<FailureDomainId> all) {
        long left = all.stream().filter(domain -> !domains.contains(domain)).count();
        return 1.0 / Math.max(1, left);
    }

    /** Counts what this node still runs in evacuated failure domains, and logs it until nothing does. */
    void tick(long nowMillis, List<Target> targets, Map<TargetId, Integer> runningByTarget) {
        if (domains.isEmpty()) {
            return;
        }
        Map<FailureDomainId, Integer> counts = new HashMap<>();
        domains.forEach(domain -> counts.put(domain, 0));
        for (Target target : targets) {
            counts.computeIfPresent(
                    target.failureDomain(), (domain, count) -> count + runningByTarget.getOrDefault(target.id(), 0));
        }
        boolean due = nowMillis - reportedMillis >= REPORT_PERIOD_MILLIS;
        reportedMillis = due ? nowMillis : reportedMillis;
        counts.forEach((domain, count) -> {
            Integer before = running.put(domain, count);
            if (before == null) {
                metrics.gauge(gauge(domain), () -> (Gauge<Integer>) () -> running.getOrDefault(domain, 0));
            }
            boolean ended = count == 0 && (before == null || before > 0);
            if (ended || (due && count > 0)) {
                log.state("evacuation_running")
                        .with("failureDomain", domain)
                        .with("requests", count)
                        .write();
            }
        });
    }

    private static String gauge(FailureDomainId domain) {
        return "evacuated." + domain + ".running";
    }
}
