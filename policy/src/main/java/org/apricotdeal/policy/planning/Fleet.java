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
 * What one node knows of the failure domain's VMs at one moment: the VM list, the newest reports, and what follows from
 * them for planning. A VM of which nothing was ever heard is unknown, not failed: it stays where it is and enters nothing.
 */
final class Fleet {
    private final Map<VmId, Vm> listed;
    private final Map<VmId, VmReport> reports;
    private final Set<VmId> unfit;
    private final Set<VmId> emptied;

    /**
     * Creates a view.
     *
     * @param listed the VM list by VM
     * @param reports the newest reports by VM
     * @param unfit VMs that did not load their weights in time
     * @param emptied leaving VMs whose requests in progress need not be waited for any longer
     */
    Fleet(Map<VmId, Vm> listed, Map<VmId, VmReport> reports, Set<VmId> unfit, Set<VmId> emptied) {
        this.listed = new TreeMap<>(listed);
        this.reports = reports;
        this.unfit = unfit;
        this.emptied = emptied;
    }

    Iterable<Vm> vms() {
        return listed.values();
    }

    VmReport report(VmId vm) {
        return reports.get(vm);
    }

    EngineState state(VmId vm) {
        VmReport report = reports.get(vm);
        return report == null ? null : report.state();
    }

    String address(VmId vm) {
        return listed.get(vm).address();
    }

    boolean isListed(VmId vm) {
        return listed.containsKey(vm);
    }

    FabricDomainId fabricDomain(VmId vm) {
        Vm found = listed.get(vm);
        return found == null ? null : found.fabricDomain();
    }

    /**
     * A member is lost when its VM has failed, its engine has restarted, it did not load its weights in time, or it leaves
     * and nothing runs on it any more.
     */
    boolean isLost(PlannedMember member) {
        VmReport report = reports.get(member.vm());
        if (isLeaving(member.vm()) && emptied.contains(member.vm())) {
            return true;
        }
        if (unfit.contains(member.vm())) {
            return true;
        }
        if (report == null) {
            return !listed.isEmpty() && !isListed(member.vm());
        }
        if (report.health() == Health.FAILED) {
            return true;
        }
        return report.state() != null && !member.bootId().equals(report.state().bootId());
    }

    /** A VM leaves when the platform says so, or no longer lists it while it still answers. */
    boolean isLeaving(VmId vm) {
        Vm found = listed.get(vm);
        return found == null || found.state() == VmState.LEAVING;
    }

    boolean isStraggler(VmId vm) {
        VmReport report = reports.get(vm);
        return report != null && report.straggler();
    }

    /** Tells whether a VM may enter a replica of a model. */
    boolean isUsable(VmId vm, UpstreamId model) {
        Vm found = listed.get(vm);
        VmReport report = reports.get(vm);
        return found != null
                && found.state() == VmState.LIVE
                && found.upstream().equals(model)
                && report != null
                && report.state() != null
                && report.health() == Health.ALIVE
                && !unfit.contains(vm);
    }

    /** Tells whether a VM holds a model's weights. */
    boolean isWarm(VmId vm, UpstreamId model) {
        EngineState state = state(vm);
        return state != null && state.phase() != EnginePhase.LOADING && model.equals(state.loadedModel());
    }

    /** Tells whether every member reports the replica as planned. */
    boolean isSettled(PlannedReplica replica) {
        for (PlannedMember member : replica.members()) {
            if (isLost(member) || !replica.isJoined(member, state(member.vm()))) {
                return false;
            }
        }
        return true;
    }
}
