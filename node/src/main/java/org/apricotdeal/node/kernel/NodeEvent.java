package org.apricotdeal.node.kernel;

import java.util.List;
import java.util.Set;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.engine.EngineLoad;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.node.fleet.RouteTable;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.policy.membership.VmReport;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.routing.TargetId;

/** A change that several duties of a node take note of. */
public sealed interface NodeEvent {
    /**
     * A catalogue version came into force.
     *
     * @param catalogue the catalogue
     */
    record CatalogueAdopted(Catalogue catalogue) implements NodeEvent {}

    /**
     * The VM list was read.
     *
     * @param vms all VMs
     */
    record VmsListed(List<Vm> vms) implements NodeEvent {}

    /**
     * Something new is known of an upstream VM.
     *
     * @param report the newest report
     */
    record VmReported(VmReport report) implements NodeEvent {}

    /**
     * The nodes that count as failed have changed.
     *
     * @param nodes all failed nodes
     */
    record FailedNodes(Set<NodeId> nodes) implements NodeEvent {}

    /**
     * A VM's engine has reported its load.
     *
     * @param vm the VM
     * @param load the load, with its age when the engine reported it
     * @param sentAtMillis monotonic time at which the engine was asked
     */
    record LoadProbed(VmId vm, EngineLoad load, long sentAtMillis) implements NodeEvent {}

    /**
     * A newer plan of the failure domain is known.
     *
     * @param plan the plan
     */
    record PlanAdopted(Plan plan) implements NodeEvent {}

    /**
     * An attempt at a target failed. The target takes no requests until all its VMs have answered a later probe.
     *
     * @param target the target
     * @param atMillis monotonic time of the failure
     */
    record TargetFailed(TargetId target, long atMillis) implements NodeEvent {}

    /**
     * The targets that requests can go to have changed.
     *
     * @param table the targets
     */
    record RoutesChanged(RouteTable table) implements NodeEvent {}

    /** The node begins to stop: no new work is taken. */
    record Draining() implements NodeEvent {}
}
