package org.apricotdeal.node.fleet;

import java.util.List;

import org.apricotdeal.catalogue.model.Catalogue;
import org.apricotdeal.engine.EngineState;
import org.apricotdeal.kernel.id.VmId;
import org.apricotdeal.platform.Vm;
import org.apricotdeal.policy.membership.Heartbeat;
import org.apricotdeal.policy.planning.Plan;
import org.apricotdeal.policy.routing.TargetId;

/** What the fleet duty is told. */
sealed interface FleetEvent {
    /** The VM list was read. */
    record Listed(List<Vm> vms) implements FleetEvent {}

    /** A catalogue version came into force. */
    record CatalogueAdopted(Catalogue catalogue) implements FleetEvent {}

    /** A newer plan is known. */
    record PlanAdopted(Plan plan) implements FleetEvent {}

    /** A VM answered a probe; the state is null for a plain service. */
    record Answered(VmId vm, long sentAtMillis, EngineState state) implements FleetEvent {}

    /** An attempt at a target failed. */
    record TargetFailed(TargetId target, long atMillis) implements FleetEvent {}

    /** A heartbeat arrived. */
    record Heard(Heartbeat heartbeat) implements FleetEvent {}
}
