package org.apricotdeal.node.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.catalogue.model.ModelEntry;
import org.apricotdeal.catalogue.model.ServiceEntry;
import org.apricotdeal.kernel.id.FailureDomainId;
import org.apricotdeal.kernel.id.NodeId;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.platform.VmState;
import org.apricotdeal.policy.limits.CapacitySplit;
import org.apricotdeal.policy.membership.Health;
import org.apricotdeal.policy.membership.VmReport;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.planning.ServableReplica;
import org.apricotdeal.policy.planning.ServableReplicaFinder;
import org.apricotdeal.policy.routing.Target;
import org.apricotdeal.policy.routing.TargetHealth;
import org.apricotdeal.policy.routing.TargetId;

/** Builds the table of targets from the plan, the VM list, the VMs' reports and the catalogue. */
public final class RouteBuilder {
    private final NodeId self;

    /**
     * Creates a builder.
     *
     * @param self this node
     */
    public RouteBuilder(NodeId self) {
        this.self = self;
    }

    /**
     * Builds the table.
     *
     * @param nowMillis monotonic time
     * @param plan the newest plan; null before the first
     * @param listed upstream VMs of the failure domain
     * @param reports newest reports by VM
     * @param inputs what applies to all targets
     * @return the targets that take requests now
     */
    public RouteTable build(
            long nowMillis, Plan plan, Map<VmId, Vm> listed, Map<VmId, VmReport> reports, Inputs inputs) {
        Map<TargetId, Route> routes = new TreeMap<>();
        if (plan != null) {
            ServableReplicaFinder view =
                    new ServableReplicaFinder(inputs.catalogue().policy().failMillis());
            for (ServableReplica replica : view.findServable(nowMillis, plan, listed, reports)) {
                TargetId id =
                        TargetId.of(replica.replica().id(), replica.replica().generation());
                if (inputs.isFailed(id, nowMillis - replica.oldestReportAgeMillis())) {
                    continue;
                }
                replicaRoute(plan.failureDomain(), replica, inputs)
                        .ifPresent(route -> routes.put(route.target().id(), route));
            }
        }
        for (Vm vm : listed.values()) {
            serviceRoute(vm, reports.get(vm.id()), inputs)
                    .ifPresent(route -> routes.put(route.target().id(), route));
        }
        return new RouteTable(routes);
    }

    /**
     * What applies to all targets.
     *
     * @param catalogue the catalogue in force
     * @param nodes serving nodes of the failure domain, sorted
     * @param failedAtMillis monotonic time of the last failed attempt, by target
     */
    public record Inputs(Catalogue catalogue, List<NodeId> nodes, Map<TargetId, Long> failedAtMillis) {
        /** Copies the list. */
        public Inputs {
            nodes = new ArrayList<>(nodes);
        }

        /** Tells whether a target has failed and not all its VMs have been seen since. */
        boolean isFailed(TargetId target, long seenAtMillis) {
            Long failedMillis = failedAtMillis.get(target);
            return failedMillis != null && seenAtMillis <= failedMillis;
        }
    }

    private Optional<Route> replicaRoute(FailureDomainId failureDomain, ServableReplica servable, Inputs inputs) {
        var replica = servable.replica();
        Optional<ModelEntry> model = inputs.catalogue().find("model " + replica.model(), ModelEntry.class);
        if (model.isEmpty()) {
            return Optional.empty();
        }
        TargetId id = TargetId.of(replica.id(), replica.generation());
        int streams = CapacitySplit.partOf(model.get().maxStreamsPerReplica(), id, inputs.nodes(), self);
        TargetHealth health = replica.spanning() ? TargetHealth.SLOW : TargetHealth.HEALTHY;
        Target target = new Target(id, replica.model(), failureDomain, streams, health);
        return Optional.of(new Route(target, replica.id(), servable.firstMember(), servable.address()));
    }

    private Optional<Route> serviceRoute(Vm vm, VmReport report, Inputs inputs) {
        Optional<ServiceEntry> service = inputs.catalogue().find("service " + vm.upstream(), ServiceEntry.class);
        if (service.isEmpty() || report == null || report.health() == Health.FAILED) {
            return Optional.empty();
        }
        TargetId id = TargetId.of(vm.id());
        int calls = CapacitySplit.partOf(service.get().maxInFlightPerVm(), id, inputs.nodes(), self);
        TargetHealth health = vm.state() == VmState.LEAVING ? TargetHealth.LEAVING : TargetHealth.HEALTHY;
        Target target = new Target(id, vm.upstream(), vm.failureDomain(), calls, health);
        return Optional.of(new Route(target, null, vm.id(), vm.address()));
    }
}
