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

/** An event that is published to all plug-ins of a node. */
public sealed interface NodeEvent {
    /**
     * A catalogue version came into force.
     *
     * @param catalogue the new version
     */
    record CatalogueAdopted(Catalogue catalogue) implements NodeEvent {}

    /**
     * The VM list was read from the platform.
     *
     * @param vms all VMs of the list
     */
    record VmsListed(List<Vm> vms) implements NodeEvent {}

    /**
     * The membership has a new report on an upstream VM.
     *
     * @param report the newest report
     */
    record VmReported(VmReport report) implements NodeEvent {}

    /**
     * The set of failed nodes has changed.
     *
     * @param nodes ids of all failed nodes
     */
    record FailedNodesChanged(Set<NodeId> nodes) implements NodeEvent {}

    /**
     * The engine on a VM has reported its load in answer to a probe.
     *
     * @param vm the VM
     * @param load the load, and how old it was when the engine reported it
     * @param sentAtMillis monotonic time at which the probe was sent, in milliseconds
     */
    record LoadReported(VmId vm, EngineLoad load, long sentAtMillis) implements NodeEvent {}

    /**
     * The node adopted a newer plan of the failure domain.
     *
     * @param plan the newer plan
     */
    record PlanAdopted(Plan plan) implements NodeEvent {}

    /**
     * An attempt to send a request to a target failed. The target gets no requests until all its VMs have answered a later
     * probe.
     *
     * @param target the target
     * @param atMillis monotonic time of the failure, in milliseconds
     */
    record TargetFailed(TargetId target, long atMillis) implements NodeEvent {}

    /**
     * The set of targets that accept requests, or one of their routes, has changed.
     *
     * @param table the new routes
     */
    record RoutesChanged(RouteTable table) implements NodeEvent {}

    /** The node has begun a graceful stop and accepts no new work. */
    record Draining() implements NodeEvent {}
}
