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

/** Builds the route table from the plan, the VM list, the VMs' reports and the catalogue. */
public final class RouteBuilder {
    private final NodeId self;

    /**
     * Creates a builder for the routes of one node.
     *
     * @param self id of this node
     */
    public RouteBuilder(NodeId self) {
        this.self = self;
    }

    /**
     * Builds the route table.
     *
     * @param nowMillis current monotonic time, in milliseconds
     * @param plan the newest plan; null if none is known yet
     * @param listedVms upstream VMs of the failure domain in the VM list, by id
     * @param reports the newest report on each VM
     * @param inputs data that applies to all targets
     * @return routes to the targets that accept requests now
     */
    public RouteTable build(
            long nowMillis, Plan plan, Map<VmId, Vm> listedVms, Map<VmId, VmReport> reports, Inputs inputs) {
        Map<TargetId, Route> routes = new TreeMap<>();
        if (plan != null) {
            ServableReplicaFinder replicaFinder =
                    new ServableReplicaFinder(inputs.catalogue().policy().failMillis());
            for (ServableReplica replica : replicaFinder.findServable(nowMillis, plan, listedVms, reports)) {
                TargetId id =
                        TargetId.of(replica.replica().id(), replica.replica().generation());
                if (inputs.isFailed(id, nowMillis - replica.oldestReportAgeMillis())) {
                    continue;
                }
                replicaRoute(plan.failureDomain(), replica, inputs)
                        .ifPresent(route -> routes.put(route.target().id(), route));
            }
        }
        for (Vm vm : listedVms.values()) {
            serviceRoute(vm, reports.get(vm.id()), inputs)
                    .ifPresent(route -> routes.put(route.target().id(), route));
        }
        return new RouteTable(routes);
    }

    /**
     * The data that applies to all targets.
     *
     * @param catalogue the catalogue in force
     * @param nodes ids of the live nodes of the failure domain, sorted; they share the capacity of each target
     * @param failedAtMillis monotonic time of the last failed attempt at each target, in milliseconds
     */
    public record Inputs(Catalogue catalogue, List<NodeId> nodes, Map<TargetId, Long> failedAtMillis) {
        /** Copies the list of nodes. */
        public Inputs {
            nodes = new ArrayList<>(nodes);
        }

        /** Returns whether an attempt at the target failed and not all its VMs have been observed since then. */
        boolean isFailed(TargetId target, long observedAtMillis) {
            Long failedMillis = failedAtMillis.get(target);
            return failedMillis != null && observedAtMillis <= failedMillis;
        }
    }

    private Optional<Route> replicaRoute(FailureDomainId failureDomain, ServableReplica servable, Inputs inputs) {
        var replica = servable.replica();
        Optional<ModelEntry> model = inputs.catalogue().find("model " + replica.model(), ModelEntry.class);
        if (model.isEmpty()) {
            return Optional.empty();
        }
        TargetId id = TargetId.of(replica.id(), replica.generation());
        int streamLimit = CapacitySplit.streamsOf(model.get().maxStreamsPerReplica(), id, inputs.nodes(), self);
        TargetHealth health = replica.spanning() ? TargetHealth.SLOW : TargetHealth.HEALTHY;
        Target target = new Target(id, replica.model(), failureDomain, streamLimit, health);
        return Optional.of(new Route(target, replica.id(), servable.firstMember(), servable.address()));
    }

    private Optional<Route> serviceRoute(Vm vm, VmReport report, Inputs inputs) {
        Optional<ServiceEntry> service = inputs.catalogue().find("service " + vm.upstream(), ServiceEntry.class);
        if (service.isEmpty() || report == null || report.health() == Health.FAILED) {
            return Optional.empty();
        }
        TargetId id = TargetId.of(vm.id());
        int callLimit = CapacitySplit.streamsOf(service.get().maxInFlightPerVm(), id, inputs.nodes(), self);
        TargetHealth health = vm.state() == VmState.LEAVING ? TargetHealth.LEAVING : TargetHealth.HEALTHY;
        Target target = new Target(id, vm.upstream(), vm.failureDomain(), callLimit, health);
        return Optional.of(new Route(target, null, vm.id(), vm.address()));
    }
}
