package org.apricotdeal.policy.planning;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.apricotdeal.engine.EnginePhase;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.FabricDomainId;
import org.apricotdeal.kernel.id.UpstreamId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.VmReport;

/**
 * The state of a failure domain's VMs as one node knows it: the VM list, the newest reports, and the conclusions that the
 * planner draws from them. A VM that has never been reported is unknown, not failed: it stays in its replica, but does not
 * become a member of another.
 */
final class FleetSnapshot {
    private final Map<VmId, Vm> listedVms;
    private final Map<VmId, VmReport> reports;
    private final Set<VmId> quarantined;
    private final Set<VmId> drained;

    /**
     * Creates a snapshot.
     *
     * @param listedVms the listed VMs by id
     * @param reports the newest report of each VM
     * @param quarantined VMs that did not load their weights in time
     * @param drained leaving VMs that have no requests in progress, or whose drain timeout has expired
     */
    FleetSnapshot(Map<VmId, Vm> listedVms, Map<VmId, VmReport> reports, Set<VmId> quarantined, Set<VmId> drained) {
        this.listedVms = new TreeMap<>(listedVms);
        this.reports = reports;
        this.quarantined = quarantined;
        this.drained = drained;
    }

    Iterable<Vm> vms() {
        return listedVms.values();
    }

    VmReport report(VmId vm) {
        return reports.get(vm);
    }

    EngineState state(VmId vm) {
        VmReport report = reports.get(vm);
        return report == null ? null : report.state();
    }

    String address(VmId vm) {
        return listedVms.get(vm).address();
    }

    boolean isListed(VmId vm) {
        return listedVms.containsKey(vm);
    }

    FabricDomainId fabricDomain(VmId vm) {
        Vm listedVm = listedVms.get(vm);
        return listedVm == null ? null : listedVm.fabricDomain();
    }

    /**
     * Tells whether a member is lost. A member is lost if its engine has restarted, or if its VM has failed, is neither
     * listed nor reported, did not load its weights in time, or is leaving and drained.
     */
    boolean isLost(PlannedMember member) {
        VmReport report = reports.get(member.vm());
        if (isLeaving(member.vm()) && drained.contains(member.vm())) {
            return true;
        }
        if (quarantined.contains(member.vm())) {
            return true;
        }
        if (report == null) {
            return !listedVms.isEmpty() && !isListed(member.vm());
        }
        if (report.health() == Health.FAILED) {
            return true;
        }
        return report.state() != null && !member.bootId().equals(report.state().bootId());
    }

    /** Tells whether the platform marks a VM as leaving or no longer lists it, even if the VM still answers. */
    boolean isLeaving(VmId vm) {
        Vm listedVm = listedVms.get(vm);
        return listedVm == null || listedVm.state() == VmState.LEAVING;
    }

    boolean isStraggler(VmId vm) {
        VmReport report = reports.get(vm);
        return report != null && report.straggler();
    }

    /** Tells whether a VM may become a member of a replica of a model. */
    boolean isUsable(VmId vm, UpstreamId model) {
        Vm listedVm = listedVms.get(vm);
        VmReport report = reports.get(vm);
        return listedVm != null
                && listedVm.state() == VmState.LIVE
                && listedVm.upstream().equals(model)
                && report != null
                && report.state() != null
                && report.health() == Health.ALIVE
                && !quarantined.contains(vm);
    }

    /** Tells whether a VM's engine has a model's weights loaded. */
    boolean isWarm(VmId vm, UpstreamId model) {
        EngineState state = state(vm);
        return state != null && state.phase() != EnginePhase.LOADING && model.equals(state.loadedModel());
    }

    /** Tells whether every member of a replica reports that it has joined the replica as planned. */
    boolean matchesPlan(PlannedReplica replica) {
        for (PlannedMember member : replica.members()) {
            if (isLost(member) || !replica.isJoined(member, state(member.vm()))) {
                return false;
            }
        }
        return true;
    }
}
