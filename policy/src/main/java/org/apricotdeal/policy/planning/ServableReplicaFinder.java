package org.apricotdeal.policy.planning;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.VmReport;

/**
 * Finds the planned replicas that can serve requests now. A replica is servable if every member is listed, not leaving and
 * not failed, and has recently reported the planned replica, generation and members. The states that the engines report
 * decide, not the plan alone. A node with an outdated plan therefore stops routing to a replica at the latest when the last
 * report that still matches that plan exceeds the maximum age.
 */
public final class ServableReplicaFinder {
    private final long maxAgeMillis;
    private final Set<PlannerFault> faults;

    /**
     * Creates the finder.
     *
     * @param maxAgeMillis maximum age of a report that is used: the failure detection time
     */
    public ServableReplicaFinder(long maxAgeMillis) {
        this(maxAgeMillis, Set.of());
    }

    /**
     * Creates the finder with injected faults, to test that checks detect them.
     *
     * @param maxAgeMillis maximum age of a report that is used
     * @param faults the injected faults
     */
    public ServableReplicaFinder(long maxAgeMillis, Set<PlannerFault> faults) {
        this.maxAgeMillis = maxAgeMillis;
        this.faults = Set.copyOf(faults);
    }

    /**
     * Finds the replicas that can serve requests.
     *
     * @param nowMillis time on the clock of the reports
     * @param plan the newest committed plan that the node knows
     * @param listed the listed VMs by id
     * @param reports the newest report of each VM
     * @return the servable replicas, in the order of the plan
     */
    public List<ServableReplica> findServable(
            long nowMillis, Plan plan, Map<VmId, Vm> listed, Map<VmId, VmReport> reports) {
        List<ServableReplica> servable = new ArrayList<>();
        for (PlannedReplica replica : plan.replicas()) {
            if (!isServable(nowMillis, replica, listed, reports)) {
                continue;
            }
            VmId first = replica.members().getFirst().vm();
            servable.add(new ServableReplica(
                    replica, first, listed.get(first).address(), oldestReportMillis(nowMillis, replica, reports)));
        }
        return servable;
    }

    private boolean isServable(
            long nowMillis, PlannedReplica replica, Map<VmId, Vm> listed, Map<VmId, VmReport> reports) {
        boolean first = true;
        for (PlannedMember member : replica.members()) {
            boolean skip = !first && faults.contains(PlannerFault.IGNORE_LOST_MEMBER);
            first = false;
            if (skip) {
                continue;
            }
            Vm vm = listed.get(member.vm());
            VmReport report = reports.get(member.vm());
            if (vm == null || vm.state() == VmState.LEAVING || report == null) {
                return false;
            }
            if (report.health() == Health.FAILED || report.ageMillis(nowMillis) > maxAgeMillis) {
                return false;
            }
            if (!replica.isJoined(member, report.state())) {
                return false;
            }
        }
        return !replica.members().isEmpty();
    }

    private static long oldestReportMillis(long nowMillis, PlannedReplica replica, Map<VmId, VmReport> reports) {
        long oldest = 0;
        for (PlannedMember member : replica.members()) {
            VmReport report = reports.get(member.vm());
            oldest = Math.max(oldest, report == null ? 0 : report.ageMillis(nowMillis));
        }
        return oldest;
    }
}
