package org.apricotdeal.node.kernel;

import java.util.List;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.node.fleet.RouteTable;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.policy.membership.VmReport;
import org.apricotdeal.policy.planning.Plan;

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
     * A newer plan of the failure domain is known.
     *
     * @param plan the plan
     */
    record PlanAdopted(Plan plan) implements NodeEvent {}

    /**
     * The targets that requests can go to have changed.
     *
     * @param table the targets
     */
    record RoutesChanged(RouteTable table) implements NodeEvent {}

    /** The node begins to stop: no new work is taken. */
    record Draining() implements NodeEvent {}
}
