package org.apricotdeal.node.fleet;

import java.util.List;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.policy.membership.Heartbeat;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.routing.TargetId;

/** An event that the fleet duty handles. */
sealed interface FleetEvent {
    /** The VM list was read from the platform. */
    record VmsListed(List<Vm> vms) implements FleetEvent {}

    /** A catalogue version came into force. */
    record CatalogueAdopted(Catalogue catalogue) implements FleetEvent {}

    /** The node adopted a newer plan. */
    record PlanAdopted(Plan plan) implements FleetEvent {}

    /** A VM answered a probe that was sent at the given monotonic time; the state is null for a plain service. */
    record ProbeAnswered(VmId vm, long sentAtMillis, EngineState state) implements FleetEvent {}

    /** An attempt to send a request to a target failed at the given monotonic time. */
    record TargetFailed(TargetId target, long atMillis) implements FleetEvent {}

    /** A heartbeat of a peer was received. */
    record HeartbeatReceived(Heartbeat heartbeat) implements FleetEvent {}
}
