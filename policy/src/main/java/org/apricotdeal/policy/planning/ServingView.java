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
 * Decides which planned replicas can take work now. A replica is servable while every member is listed and not leaving,
 * is not failed, and has reported the plan's replica, generation and members lately. Whatever the plan says, the engines'
 * own states decide; a node with an old plan therefore never routes to a replica whose members have moved on for longer
 * than the report's greatest age.
 */
public final class ServingView {
    private final long maxAgeMillis;
    private final Set<PlannerFault> faults;

    /**
     * Creates the decision.
     *
     * @param maxAgeMillis age from which a report counts for nothing: the detection window
     */
    public ServingView(long maxAgeMillis) {
        this(maxAgeMillis, Set.of());
    }

    /**
     * Creates the decision with deliberate faults, for tests of the checks.
     *
     * @param maxAgeMillis age from which a report counts for nothing
     * @param faults the faults
     */
    public ServingView(long maxAgeMillis, Set<PlannerFault> faults) {
        this.maxAgeMillis = maxAgeMillis;
        this.faults = Set.copyOf(faults);
    }

    /**
     * Finds the replicas that can take work.
     *
     * @param nowMillis time on the clock of the reports
     * @param plan the newest committed plan that the node knows
     * @param listed the VM list by VM
     * @param reports the newest reports by VM
     * @return the servable replicas, in the plan's order
     */
    public List<ServableReplica> servable(
            long nowMillis, Plan plan, Map<VmId, Vm> listed, Map<VmId, VmReport> reports) {
        List<ServableReplica> servable = new ArrayList<>();
        for (PlannedReplica replica : plan.replicas()) {
            if (!isServable(nowMillis, replica, listed, reports)) {
                continue;
            }
            VmId first = replica.members().getFirst().vm();
            servable.add(new ServableReplica(
                    replica, first, listed.get(first).address(), oldestMillis(nowMillis, replica, reports)));
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

    private static long oldestMillis(long nowMillis, PlannedReplica replica, Map<VmId, VmReport> reports) {
        long oldest = 0;
        for (PlannedMember member : replica.members()) {
            VmReport report = reports.get(member.vm());
            oldest = Math.max(oldest, report == null ? 0 : report.ageMillis(nowMillis));
        }
        return oldest;
    }
}
